"""The version of a service that a call goes to, and the upstream picked for it."""

from typing import Protocol

import msgspec

from cicadawheel.configuration import Member
from cicadawheel.ids import ServiceName
from cicadawheel.release.chooser import VersionChoice


class Versions(Protocol):
    """Says which version of a service a call goes to, and learns how it ends."""

    def choose(self, service: ServiceName, retry: bool = False) -> VersionChoice:
        """Return where a call goes."""

    def preferred(self, service: ServiceName, choice: VersionChoice) -> Member | None:
        """Return the upstream that a choice prefers, or None."""

    def record(
        self,
        service: ServiceName,
        choice: VersionChoice,
        route: str,
        failed: bool,
        latency_ms: float,
    ) -> None:
        """Take note of a call that reached an upstream."""


class Pick(msgspec.Struct, frozen=True):
    """The upstream of an attempt, the choice that led to it, and its time.

    ``work_ms`` is the work that a slot of the upstream had done by then.
    """

    member: Member
    choice: VersionChoice
    at_ms: float
    work_ms: float = 0.0
