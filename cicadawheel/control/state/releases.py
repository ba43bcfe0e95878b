"""Pure functions that apply release commands to the configuration."""

from msgspec.structs import replace

from cicadawheel.configuration import Configuration, ReleaseRule, ReleaseState
from cicadawheel.control.command import AdvanceRelease, StartRelease, StopRelease
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import ServiceName, VersionName
from cicadawheel.release.plan import ACTIVE_STATES, ENDED_STATES

ALLOWED_AFTER_DONE = (ReleaseState.TAKEN_BACK, ReleaseState.RISING)


def start_release(configuration: Configuration, command: StartRelease) -> Configuration:
    """Return the configuration with a new release, staged with a share of 0.

    Raises
    ------
    CommandRefusedError
        The service is unknown, already runs the version, has a release in progress,
        has no version to roll back to, or the deadline has passed.
    """
    rule = configuration.services.get(command.service)
    if rule is None:
        known = ", ".join(sorted(configuration.services)) or "none"
        raise _refuse(f"service {command.service} is unknown; known: {known}")
    current = configuration.release_of(command.service)
    if current is not None and current.state in ACTIVE_STATES:
        raise _refuse(
            f"release of {current.version} is {current.state.value} for service "
            f"{command.service}; stop it first"
        )
    if rule.current_version == command.version:
        raise _refuse(f"service {command.service} runs version {command.version}")
    if not rule.current_version:
        raise _refuse(
            f"service {command.service} runs no version yet; the first that its "
            "upstreams announce needs no release"
        )
    if command.deadline_at_ms <= command.now_ms:
        late_ms = command.now_ms - command.deadline_at_ms
        raise _refuse(f"the deadline passed {late_ms} ms ago")
    release = ReleaseRule(
        service=command.service,
        version=command.version,
        old_version=rule.current_version,
        state=ReleaseState.STAGED,
        share=0.0,
        started_at_ms=command.now_ms,
        deadline_at_ms=command.deadline_at_ms,
    )
    withdrawn = tuple(
        pair
        for pair in configuration.withdrawn
        if pair != (command.service, command.version)
    )
    return replace(_put_release(configuration, release), withdrawn=withdrawn)


def stop_release(configuration: Configuration, command: StopRelease) -> Configuration:
    """Return the configuration with a service's release rolled back.

    Raises
    ------
    CommandRefusedError
        The service has no release, or its release has already ended.
    """
    release = configuration.release_of(command.service)
    if release is None or release.state in ENDED_STATES:
        raise _refuse(f"service {command.service} has no release to stop")
    stopped = replace(
        release, state=ReleaseState.STOPPED, share=0.0, reason="stopped by an operator"
    )
    return _withdraw(_put_release(configuration, stopped), stopped)


def advance_release(
    configuration: Configuration, command: AdvanceRelease
) -> Configuration:
    """Return the configuration with a release advanced or rolled back.

    Raises
    ------
    CommandRefusedError
        The release does not exist or has ended, or its state does not allow the
        step.
    """
    release = configuration.release_of(command.service)
    if release is None or release.version != command.version:
        raise _refuse(
            f"service {command.service} has no release of version {command.version}"
        )
    _check_step(configuration, release, command)
    advanced = replace(
        release, state=command.state, share=command.share, reason=command.reason
    )
    after = _put_release(configuration, advanced)
    if command.state is ReleaseState.TAKEN_BACK:
        return _withdraw(after, advanced)
    if command.state is ReleaseState.DONE:
        done = replace(advanced, done_at_ms=release.done_at_ms or command.now_ms)
        after = _put_release(configuration, done)
        return _set_version(after, release.service, release.version)
    return _set_version(after, release.service, release.old_version)


def _check_step(
    configuration: Configuration, release: ReleaseRule, command: AdvanceRelease
) -> None:
    if release.state in ENDED_STATES:
        raise _refuse(
            f"release of {release.version} is {release.state.value}; only an "
            "operator can start it anew"
        )
    if release.state is ReleaseState.DONE and command.state not in ALLOWED_AFTER_DONE:
        raise _refuse(f"release of {release.version} is done")
    if command.state is ReleaseState.STOPPED:
        raise _refuse("only an operator can stop a release")
    if not 0.0 <= command.share <= 1.0:
        raise _refuse(f"share {command.share} isn't between 0 and 1")
    limit = configuration.services[release.service].habits.proof_share_limit
    if command.state is ReleaseState.STAGED and command.share > limit:
        raise _refuse(f"share {command.share} is above the proof limit of {limit}")


def _withdraw(configuration: Configuration, release: ReleaseRule) -> Configuration:
    pair = (release.service, release.version)
    if pair not in configuration.withdrawn:
        configuration = replace(
            configuration, withdrawn=(*configuration.withdrawn, pair)
        )
    return _set_version(configuration, release.service, release.old_version)


def _set_version(
    configuration: Configuration, service: ServiceName, version: VersionName
) -> Configuration:
    rule = replace(configuration.services[service], current_version=version)
    return replace(configuration, services={**configuration.services, service: rule})


def _put_release(configuration: Configuration, release: ReleaseRule) -> Configuration:
    others = (
        other for other in configuration.releases if other.service != release.service
    )
    return replace(configuration, releases=(*others, release))


def _refuse(message: str) -> CommandRefusedError:
    return CommandRefusedError(message, step="release")
