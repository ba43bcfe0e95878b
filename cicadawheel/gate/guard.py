"""Guards the upstreams of a service against requests that crash them."""

import logging
from collections.abc import Callable
from typing import Protocol

from cicadawheel.gate.crash import CrashWatch, LostCall
from cicadawheel.gate.suspects import Suspects, Treatment
from cicadawheel.http.upstream import ExchangeEnd, UpstreamPool
from cicadawheel.ids import Fingerprint, NodeId
from cicadawheel.logs import log_event
from cicadawheel.messages import CallOpen, CrashNotice, RefusalReason
from cicadawheel.timer import Clock

log = logging.getLogger(__name__)


class JudgedCall(LostCall, Protocol):
    """A call that may crash its upstream; ``alone`` lets nothing run beside it."""

    call: CallOpen
    alone: bool


class GatePeers(Protocol):
    """Reaches the other gates of the service, and control."""

    def testers(self) -> list[NodeId]:
        """Return the other nodes of the service that may run a suspect."""

    def tell(self, notice: CrashNotice) -> None:
        """Tell the other gates of a crash or the end of a test."""

    def condemn(self, fingerprint: Fingerprint, reason: str) -> None:
        """Have a request refused everywhere."""


class NoPeers:
    """Stands in while a gate has nobody to tell."""

    def testers(self) -> list[NodeId]:
        """Return an empty list."""
        return []

    def tell(self, notice: CrashNotice) -> None:
        """Tell nobody."""

    def condemn(self, fingerprint: Fingerprint, reason: str) -> None:
        """Tell nobody."""


class CrashGuard:
    """Judges the calls of one gate by the crashes of its service.

    Parameters
    ----------
    node : NodeId
        The node of the gate.
    pool : UpstreamPool
        Shows whether the upstream listens.
    clock : Clock
        Where the time comes from.
    on_died : Callable
        Called when the upstream has died.
    on_condemned : Callable
        Called with each request that is condemned.
    """

    def __init__(
        self,
        node: NodeId,
        pool: UpstreamPool,
        clock: Clock,
        on_died: Callable[[], None],
        on_condemned: Callable[[Fingerprint], None],
    ):
        self.suspects = Suspects(node)
        self.crashes = CrashWatch(self.suspects, pool, self._died, clock)
        self.peers: GatePeers = NoPeers()
        self.clock = clock
        self._on_died = on_died
        self._on_condemned = on_condemned

    def treat(self, call: JudgedCall, now_ms: float) -> RefusalReason | None:
        """Return why a call is refused, or None; a suspect is to run alone."""
        treatment = self.suspects.treat(call.call.fingerprint, now_ms)
        if treatment is Treatment.REFUSE:
            return RefusalReason.QUARANTINED
        if treatment is Treatment.ELSEWHERE:
            return RefusalReason.SUSPECTED
        call.alone = treatment is Treatment.ALONE
        return None

    def answered(self, fingerprint: Fingerprint, now_ms: float) -> None:
        """Take note of a whole answer, which clears a suspect."""
        notice = self.suspects.answered(fingerprint, now_ms)
        if notice is not None:
            log_event(log, "suspect_cleared", fingerprint=fingerprint)
            self.peers.tell(notice)

    def exchange_lost(self, call: JudgedCall, end: ExchangeEnd) -> None:
        """Find out whether the upstream has died, then refuse the call."""
        self.suspects.lost(call.call.fingerprint, self.clock.now_ms())
        self.crashes.exchange_lost(call, end, self.peers.testers())

    def upstream_reached(self) -> None:
        """Take note of a connection to the upstream."""
        self.crashes.dead = False

    def upstream_restarted(self) -> None:
        """Take note of a new boot of the upstream."""
        self.crashes.upstream_restarted(self.peers.testers(), self.clock.now_ms())

    def noticed(self, notice: CrashNotice) -> None:
        """Take what another gate of the service tells of a crash."""
        derived = self.suspects.learn(notice, self.clock.now_ms())
        self._log_suspected(notice)
        self._condemn(derived or notice)

    def _died(self, notice: CrashNotice | None) -> None:
        self._on_died()
        verdicts = () if notice is None else notice.verdicts
        log_event(log, "upstream_died", in_flight=len(verdicts))
        if notice is not None:
            self.peers.tell(notice)
            self._log_suspected(notice)
            self._condemn(notice)

    def _log_suspected(self, notice: CrashNotice) -> None:
        for fingerprint in self.suspects.suspected(notice):
            log_event(
                log,
                "request_suspected",
                fingerprint=fingerprint,
                origin=notice.origin,
                crash=notice.number,
                tester=self.suspects.tester(fingerprint),
            )

    def _condemn(self, notice: CrashNotice) -> None:
        reason = f"crashed upstreams, last at {notice.origin}"
        for fingerprint in self.suspects.condemned(notice):
            log_event(log, "request_condemned", fingerprint=fingerprint)
            self.peers.condemn(fingerprint, reason)
            self._on_condemned(fingerprint)
