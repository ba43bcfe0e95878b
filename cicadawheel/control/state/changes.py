"""Pure functions that apply operator commands to the configuration."""

from collections.abc import Iterable

from msgspec.structs import replace

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    Member,
    Routing,
    ServiceRule,
)
from cicadawheel.control.command import (
    ANY_RELEASE,
    ANY_REVISION,
    ApplyConfiguration,
    OperatorCommand,
    SetDataCentre,
    StartRelease,
    StopRelease,
)
from cicadawheel.control.state.releases import start_release, stop_release
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import DataCentreName, Revision, ServiceName, VersionName
from cicadawheel.release.plan import ACTIVE_STATES, deadline_warning


def has_taken_effect(current: Configuration, command: OperatorCommand) -> bool:
    """Return whether another copy of a command has done what it asks for.

    Commands that expect nothing are not compared.
    """
    match command:
        case SetDataCentre() if command.expected_state_revision != ANY_REVISION:
            rule = current.data_centres.get(command.data_centre)
            return rule is not None and rule.state is command.state
        case StartRelease() if command.expected_start_ms != ANY_RELEASE:
            release = current.release_of(command.service)
            return (
                release is not None
                and release.started_at_ms != command.expected_start_ms
                and release.version == command.version
                and release.state in ACTIVE_STATES
            )
    return False


def is_superseded(current: Configuration, command: OperatorCommand) -> bool:
    """Return whether what a command expects to replace was replaced before."""
    match command:
        case SetDataCentre() if command.expected_state_revision != ANY_REVISION:
            rule = current.data_centres.get(command.data_centre)
            newest = Revision(0) if rule is None else rule.state_revision
            return newest != command.expected_state_revision
        case StartRelease() if command.expected_start_ms != ANY_RELEASE:
            release = current.release_of(command.service)
            started_at_ms = 0 if release is None else release.started_at_ms
            return started_at_ms != command.expected_start_ms
    return False


def change_configuration(
    current: Configuration,
    command: OperatorCommand,
    members: Iterable[Member],
    revision: Revision,
) -> Configuration:
    """Return the configuration after an operator command.

    ``revision`` is the one that the changed configuration gets.

    Raises
    ------
    CommandRefusedError
        The command is not valid for the current configuration.
    """
    match command:
        case ApplyConfiguration():
            return apply_rules(current, command.configuration, members)
        case SetDataCentre():
            return set_data_centre(current, command, members, revision)
        case StartRelease():
            return start_release(current, command)
        case StopRelease():
            return stop_release(current, command)
    raise CommandRefusedError(f"{type(command).__name__} is unknown", step="change")


def describe_change(command: OperatorCommand) -> str:
    """Return a one-clause description of a command's effect."""
    match command:
        case SetDataCentre():
            return f"data centre {command.data_centre} is {command.state.value}"
        case StartRelease():
            return f"release of {command.service} {command.version} is started"
        case StopRelease():
            return f"release of {command.service} is stopped"
    return "configuration is applied"


def change_warning(after: Configuration, command: OperatorCommand) -> str:
    """Return a warning for the operator about an applied command, or ``""``."""
    if not isinstance(command, StartRelease):
        return ""
    release = after.release_of(command.service)
    return deadline_warning(release, after.services[command.service].habits)


def apply_rules(
    current: Configuration, wanted: Configuration, members: Iterable[Member]
) -> Configuration:
    """Return the wanted rules merged with the current runtime state.

    A data centre that is out stays out, even if the new rules no longer name it,
    because its upstreams may still be registered. Withdrawn versions stay withdrawn,
    and releases in progress continue.
    """
    services = {
        name: _keep_version(rule, current.services.get(name))
        for name, rule in wanted.services.items()
    }
    data_centres = _keep_states(current.data_centres, wanted.data_centres)
    releases = tuple(
        release for release in current.releases if release.service in services
    )
    routing = wanted.call_routing()
    merged = replace(
        wanted,
        routing=Routing.BY_SERVICE if routing is Routing.UNSET else routing,
        revision=current.revision,
        services=services,
        data_centres=data_centres,
        releases=releases,
        withdrawn=current.withdrawn,
    )
    return set_initial_versions(merged, members)


def set_initial_versions(
    configuration: Configuration, members: Iterable[Member]
) -> Configuration:
    """Return the configuration with a current version for each served service.

    A service without a current version takes that of its first registered upstream,
    so that another version started later gets no calls before its release.
    """
    initialised: dict[ServiceName, ServiceRule] = {}
    for member in sorted(members, key=lambda member: member.epoch):
        rule = configuration.services.get(member.service)
        if rule is None or rule.current_version or member.service in initialised:
            continue
        if configuration.is_withdrawn(member.service, member.version):
            continue
        initialised[member.service] = replace(rule, current_version=member.version)
    if not initialised:
        return configuration
    return replace(configuration, services={**configuration.services, **initialised})


def set_data_centre(
    current: Configuration,
    command: SetDataCentre,
    members: Iterable[Member],
    revision: Revision,
) -> Configuration:
    """Return the configuration with a data centre taken out or brought back in.

    Raises
    ------
    CommandRefusedError
        The command isn't forced, and either the data centre is unknown or one of
        its services would be left without an upstream.
    """
    rule = current.data_centres.get(command.data_centre)
    if rule is None and command.force:
        rule = DataCentreRule(command.data_centre)
    if rule is None:
        known = ", ".join(sorted(current.data_centres)) or "none"
        raise CommandRefusedError(
            f"data centre {command.data_centre} is unknown; known: {known}",
            step="data centre",
        )
    if rule.state is not command.state:
        rule = replace(rule, state=command.state, state_revision=revision)
    data_centres = {**current.data_centres, command.data_centre: rule}
    after = replace(current, data_centres=data_centres)
    if command.state is DataCentreState.OUT and not command.force:
        _check_served(command.data_centre, after, tuple(members))
    return after


def _check_served(
    data_centre: DataCentreName, after: Configuration, members: tuple[Member, ...]
) -> None:
    leaving = {
        member.service for member in members if member.data_centre == data_centre
    }
    served = {
        member.service
        for member in members
        if after.takes_new_work(member.data_centre) and not member.leaving
    }
    lost = sorted(leaving - served)
    if lost:
        raise CommandRefusedError(
            f"without data centre {data_centre} no upstream is left for "
            f"{', '.join(lost)}; --force takes it out all the same",
            step="data centre",
        )


def _keep_version(wanted: ServiceRule, current: ServiceRule | None) -> ServiceRule:
    version = VersionName("") if current is None else current.current_version
    return replace(wanted, current_version=version)


def _keep_states(
    current: dict[DataCentreName, DataCentreRule],
    wanted: dict[DataCentreName, DataCentreRule],
) -> dict[DataCentreName, DataCentreRule]:
    """Return the wanted data centres and those out of use, with current states."""
    kept = {
        name: rule
        for name, rule in current.items()
        if rule.state is DataCentreState.OUT
    }
    for name, rule in wanted.items():
        known = current.get(name, rule)
        kept[name] = replace(
            rule, state=known.state, state_revision=known.state_revision
        )
    return kept
