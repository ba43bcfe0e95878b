"""Pure functions that apply operator commands to the configuration."""

from collections.abc import Iterable

from msgspec.structs import replace

from cicadawheel.configuration import (
    Configuration,
    DataCentreRule,
    DataCentreState,
    Member,
    ServiceRule,
)
from cicadawheel.control.command import (
    ApplyConfiguration,
    OperatorCommand,
    SetDataCentre,
    StartRelease,
    StopRelease,
)
from cicadawheel.control.state.releases import start_release, stop_release
from cicadawheel.errors import CommandRefusedError
from cicadawheel.ids import DataCentreName, ServiceName, VersionName
from cicadawheel.release.plan import deadline_warning


def change_configuration(
    now: Configuration, command: OperatorCommand, members: Iterable[Member]
) -> Configuration:
    """Return the configuration after an operator command.

    Raises
    ------
    CommandRefusedError
        The command is not valid for the current configuration.
    """
    match command:
        case ApplyConfiguration():
            return apply_rules(now, command.configuration, members)
        case SetDataCentre():
            return set_data_centre(now, command, members)
        case StartRelease():
            return start_release(now, command)
        case StopRelease():
            return stop_release(now, command)
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
    now: Configuration, wanted: Configuration, members: Iterable[Member]
) -> Configuration:
    """Return the wanted rules merged with the current runtime state.

    A data centre that is out stays out, even if the new rules no longer name it,
    because its upstreams may still be registered. Withdrawn versions stay withdrawn,
    and releases in progress continue.
    """
    services = {
        name: _keep_version(rule, now.services.get(name))
        for name, rule in wanted.services.items()
    }
    data_centres = _keep_states(now.data_centres, wanted.data_centres)
    releases = tuple(held for held in now.releases if held.service in services)
    merged = replace(
        wanted,
        revision=now.revision,
        services=services,
        data_centres=data_centres,
        releases=releases,
        withdrawn=now.withdrawn,
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
    now: Configuration, command: SetDataCentre, members: Iterable[Member]
) -> Configuration:
    """Return the configuration with a data centre taken out or brought back in.

    Raises
    ------
    CommandRefusedError
        The command isn't forced, and either the data centre is unknown or one of
        its services would be left without an upstream.
    """
    rule = now.data_centres.get(command.data_centre)
    if rule is None and command.force:
        rule = DataCentreRule(command.data_centre)
    if rule is None:
        known = ", ".join(sorted(now.data_centres)) or "none"
        raise CommandRefusedError(
            f"data centre {command.data_centre} is unknown; known: {known}",
            step="data centre",
        )
    changed = replace(rule, state=command.state)
    data_centres = {**now.data_centres, command.data_centre: changed}
    after = replace(now, data_centres=data_centres)
    if command.state is DataCentreState.OUT and not command.force:
        _check_served(command.data_centre, after, tuple(members))
    return after


def _check_served(
    data_centre: DataCentreName, after: Configuration, members: tuple[Member, ...]
) -> None:
    leaving = {held.service for held in members if held.data_centre == data_centre}
    served = {
        held.service
        for held in members
        if after.takes_new_work(held.data_centre) and not held.leaving
    }
    lost = sorted(leaving - served)
    if lost:
        raise CommandRefusedError(
            f"without data centre {data_centre} no upstream is left for "
            f"{', '.join(lost)}; --force takes it out all the same",
            step="data centre",
        )


def _keep_version(wanted: ServiceRule, held: ServiceRule | None) -> ServiceRule:
    version = VersionName("") if held is None else held.current_version
    return replace(wanted, current_version=version)


def _keep_states(
    held: dict[DataCentreName, DataCentreRule],
    wanted: dict[DataCentreName, DataCentreRule],
) -> dict[DataCentreName, DataCentreRule]:
    """Return the wanted data centres and those out of use, with current states."""
    kept = {
        name: rule for name, rule in held.items() if rule.state is DataCentreState.OUT
    }
    for name, rule in wanted.items():
        state = held[name].state if name in held else rule.state
        kept[name] = replace(rule, state=state)
    return kept
