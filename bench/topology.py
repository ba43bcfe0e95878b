"""The topologies of the deployments that the bench starts."""

from pathlib import Path

import msgspec

from bench.behaviour import Behaviour
from bench.calls import CallKind

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
FIRST_VERSION = "1"


class ServiceSize(msgspec.Struct, frozen=True):
    """The upstreams of one service, assigned to the data centres round-robin."""

    service: str
    upstreams: int
    slots: int
    connections: int = 200
    version: str = FIRST_VERSION
    behaviour: Behaviour = Behaviour()


class Override(msgspec.Struct, frozen=True):
    """A setting that overrides the default."""

    section: str
    key: str
    value: str


class Topology(msgspec.Struct, frozen=True):
    """A deployment: its data centres, services, and control replicas.

    Several upstreams in one process save memory, but crash together.
    """

    name: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    answers: Path | None = None
    replicas: int = 3
    seed: int = 1
    overrides: tuple[Override, ...] = ()
    upstreams_per_process: int = 1

    @property
    def nodes(self) -> int:
        """The number of nodes, which equals the number of upstreams."""
        return sum(size.upstreams for size in self.services)


def kushiro(service_time_ms: float = 5.0) -> Topology:
    """Return the current deployment of Kushiro."""
    behaviour = Behaviour(service_time_ms=service_time_ms, service_sigma=0.3)
    return Topology(
        name="kushiro",
        data_centres=("kushiro-a", "kushiro-b", "kushiro-c"),
        services=(
            ServiceSize("booking", 5, 10, behaviour=behaviour),
            ServiceSize("materials", 3, 10, behaviour=behaviour),
        ),
        answers=EXAMPLES / "kushiro.ini",
    )


def cofio(service_time_ms: float = 10.0) -> Topology:
    """Return the current deployment of Cofio."""
    behaviour = Behaviour(service_time_ms=service_time_ms, service_sigma=0.5)
    return Topology(
        name="cofio",
        data_centres=("cofio-a", "cofio-b", "cofio-c", "cofio-d"),
        services=(
            ServiceSize("reminders", 5, 6, behaviour=behaviour),
            ServiceSize("artwork", 4, 6, behaviour=behaviour),
        ),
        answers=EXAMPLES / "cofio.ini",
    )


def fleet(nodes: int, upstreams_per_process: int = 25) -> Topology:
    """Return Kushiro's data centres with many upstreams of a single service."""
    behaviour = Behaviour(service_time_ms=5.0, cold_concurrency=0)
    return Topology(
        name=f"fleet-{nodes}",
        data_centres=("kushiro-a", "kushiro-b", "kushiro-c"),
        services=(ServiceSize("booking", nodes, 10, behaviour=behaviour),),
        answers=EXAMPLES / "kushiro.ini",
        upstreams_per_process=upstreams_per_process,
    )


KUSHIRO_CALLS = (
    CallKind("calendar", "booking", path="/availability/2026-12", weight=6.0),
    CallKind(
        "search", "booking", "POST", "/availability/search", body_bytes=64, weight=2.0
    ),
    CallKind(
        "book",
        "booking",
        "POST",
        "/bookings",
        body_bytes=200,
        never_repeat=True,
        weight=2.0,
    ),
    CallKind(
        "upload",
        "materials",
        "PUT",
        "/materials/script",
        body_bytes=300_000,
        never_repeat=True,
        weight=0.3,
    ),
    CallKind(
        "download",
        "materials",
        path="/materials/script",
        answer_bytes=300_000,
        weight=0.7,
    ),
)

COFIO_CALLS = (
    CallKind("dates", "reminders", path="/dates/today", weight=8.0),
    CallKind(
        "send",
        "reminders",
        "POST",
        "/sends",
        body_bytes=300,
        never_repeat=True,
        weight=1.0,
    ),
    CallKind("designs", "artwork", path="/designs/1", answer_bytes=20_000, weight=1.0),
)
