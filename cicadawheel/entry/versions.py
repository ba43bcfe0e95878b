"""Selects the version of a service for a call, and holds the selected upstream."""

from typing import Protocol

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.ids import ServiceName
from cicadawheel.release.chooser import VersionChoice


class Versions(Protocol):
    """Selects versions for calls, and records the results of the calls."""

    def choose(self, service: ServiceName, retry: bool = False) -> VersionChoice:
        """Return the version for a call."""

    def preferred(self, service: ServiceName, choice: VersionChoice) -> Member | None:
        """Return the preferred upstream of a choice, or None."""

    def record(
        self,
        service: ServiceName,
        choice: VersionChoice,
        route: str,
        failed: bool,
        latency_ms: float,
    ) -> None:
        """Record the result of a call that reached an upstream."""


class Pick(msgspec.Struct, frozen=True):
    """The upstream of an attempt, the choice that led to it, and the time.

    ``work_ms`` is `Candidate.work_done_ms` of the upstream at that time.
    """

    member: Member
    choice: VersionChoice
    at_ms: float
    work_ms: float = 0.0
