"""Taking data centres out and in: capacity checks and progress."""

from collections.abc import Iterable, Mapping

import msgspec

from cicadawheel.configuration import Configuration, DataCentreState, Member
from cicadawheel.control.lease import MissingNode, NodeLoad
from cicadawheel.ids import DataCentreName, NodeId, Revision, ServiceName

USABLE_SLOT_SHARE = 0.8


class ServiceLoad(msgspec.Struct, frozen=True):
    """The load of a service, and the capacity of its remaining upstreams."""

    service: ServiceName
    needed_slots: int
    usable_slots: float
    upstreams: int

    @property
    def carried(self) -> bool:
        """Whether the remaining upstreams have enough capacity."""
        return self.upstreams > 0 and self.needed_slots <= self.usable_slots

    def __str__(self) -> str:
        """Return the load and the capacity as one clause."""
        return (
            f"{self.service} needs {self.needed_slots} slots, the remaining "
            f"{self.upstreams} upstreams have {self.usable_slots:.0f} to spare"
        )


class MoveCheck(msgspec.Struct, frozen=True):
    """Whether a data centre can be taken out, with the figures of each service."""

    data_centre: DataCentreName
    services: tuple[ServiceLoad, ...]

    @property
    def carried(self) -> bool:
        """Whether the remaining upstreams have enough capacity for every service."""
        return all(service.carried for service in self.services)

    @property
    def lost(self) -> bool:
        """Whether a service would have no upstream left."""
        return any(service.upstreams == 0 for service in self.services)

    def refusal(self) -> str:
        """Return the reason for a refusal, or an empty string."""
        overloaded = [str(service) for service in self.services if not service.carried]
        if not overloaded:
            return ""
        return (
            f"without data centre {self.data_centre} the load can't be carried: "
            f"{'; '.join(overloaded)}; --force takes it out all the same"
        )


class MoveProgress(msgspec.Struct, frozen=True):
    """The progress of a move.

    ``in_flight`` counts the calls in the data centre, in flight or queued.
    ``unknown`` lists its nodes whose load is unknown.
    """

    data_centre: DataCentreName
    state: DataCentreState
    revision: Revision
    missing: tuple[MissingNode, ...]
    in_flight: int
    unknown: tuple[NodeId, ...]

    @property
    def in_force(self) -> bool:
        """Whether every member has applied the configuration of the move."""
        return not self.missing

    @property
    def done(self) -> bool:
        """Whether the move is in force and, if moving out, no calls are in flight."""
        if self.state is DataCentreState.IN:
            return self.in_force
        return self.in_force and self.in_flight == 0 and not self.unknown


def check_capacity(
    configuration: Configuration,
    members: Iterable[Member],
    loads: Mapping[NodeId, NodeLoad],
    data_centre: DataCentreName,
) -> MoveCheck:
    """Return whether the other data centres have capacity for a data centre's load.

    A member with unknown load counts as fully loaded if it is in the data centre,
    and as having no free slots otherwise.
    """
    members = tuple(members)
    leaving_members = [
        member for member in members if member.data_centre == data_centre
    ]
    services = sorted({member.service for member in leaving_members})
    return MoveCheck(
        data_centre,
        tuple(
            _service_load(configuration, members, loads, data_centre, service)
            for service in services
        ),
    )


def move_progress(
    configuration: Configuration,
    members: Iterable[Member],
    loads: Mapping[NodeId, NodeLoad],
    missing: tuple[MissingNode, ...],
    data_centre: DataCentreName,
) -> MoveProgress:
    """Return the progress of a move.

    Parameters
    ----------
    configuration : Configuration
        The configuration that contains the move.
    members : Iterable of Member
        All members.
    loads : Mapping of NodeId to NodeLoad
        The last load reported by each gate since it applied the move.
    missing : tuple of MissingNode
        The members that have not applied the configuration, from `LeaseTable`.
    data_centre : DataCentreName
        The data centre that is moved.
    """
    nodes = [member.node for member in members if member.data_centre == data_centre]
    known = [loads[node] for node in nodes if node in loads]
    return MoveProgress(
        data_centre=data_centre,
        state=configuration.data_centres[data_centre].state,
        revision=configuration.revision,
        missing=missing,
        in_flight=sum(load.in_flight + load.queued for load in known),
        unknown=tuple(sorted(node for node in nodes if node not in loads)),
    )


def _service_load(
    configuration: Configuration,
    members: tuple[Member, ...],
    loads: Mapping[NodeId, NodeLoad],
    data_centre: DataCentreName,
    service: ServiceName,
) -> ServiceLoad:
    needed = 0
    usable = 0.0
    upstreams = 0
    for member in members:
        if member.service != service:
            continue
        load = loads.get(member.node)
        remains = member.data_centre != data_centre
        if remains and not _accepts_new_calls(configuration, member):
            continue
        if remains:
            upstreams += 1
            usable += 0.0 if load is None else load.limit * USABLE_SLOT_SHARE
        if load is not None:
            needed += load.in_flight + load.queued
        elif not remains:
            needed += member.slots
    return ServiceLoad(service, needed, usable, upstreams)


def _accepts_new_calls(configuration: Configuration, member: Member) -> bool:
    if member.leaving or not configuration.takes_new_work(member.data_centre):
        return False
    if configuration.is_withdrawn(member.service, member.version):
        return False
    rule = configuration.services.get(member.service)
    current = "" if rule is None else rule.current_version
    return current in ("", member.version)
