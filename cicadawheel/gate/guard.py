"""Protects the upstreams of a service from requests that crash them."""

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
    """A call that may be a suspect; with ``alone`` set, nothing else runs beside it."""

    call: CallOpen
    alone: bool


class GatePeers(Protocol):
    """Connects a gate with the other gates of its service and with control."""

    def testers(self) -> list[NodeId]:
        """Return the other nodes of the service that may test a suspect."""

    def notify(self, notice: CrashNotice) -> None:
        """Send the other gates a notice of a crash or of a finished test."""

    def condemn(self, fingerprint: Fingerprint, reason: str) -> None:
        """Ask control to quarantine a request at all gates."""


class NoPeers:
    """Null object for a gate without peers."""

    def testers(self) -> list[NodeId]:
        """Return an empty list."""
        return []

    def notify(self, notice: CrashNotice) -> None:
        """Do nothing."""

    def condemn(self, fingerprint: Fingerprint, reason: str) -> None:
        """Do nothing."""


class CrashGuard:
    """Decides how the calls of one gate run, from the crashes of its service.

    Parameters
    ----------
    node : NodeId
        The node of the gate.
    pool : UpstreamPool
        Checks whether the upstream still listens.
    clock : Clock
        The source of the time.
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

    def screen(self, call: JudgedCall, now_ms: float) -> RefusalReason | None:
        """Return the reason to refuse a call, or None; mark suspects to run alone."""
        treatment = self.suspects.treatment(call.call.fingerprint, now_ms)
        if treatment is Treatment.REFUSE:
            return RefusalReason.QUARANTINED
        if treatment is Treatment.ELSEWHERE:
            return RefusalReason.SUSPECTED
        call.alone = treatment is Treatment.ALONE
        return None

    def answered(self, fingerprint: Fingerprint, now_ms: float) -> None:
        """Record a complete answer, which clears a suspect."""
        notice = self.suspects.answered(fingerprint, now_ms)
        if notice is not None:
            log_event(log, "suspect_cleared", fingerprint=fingerprint)
            self.peers.notify(notice)

    def exchange_lost(self, call: JudgedCall, end: ExchangeEnd) -> None:
        """Refuse the call after a check whether the upstream has died."""
        self.suspects.exchange_lost(call.call.fingerprint, self.clock.now_ms())
        self.crashes.exchange_lost(call, end, self.peers.testers())

    def upstream_reached(self) -> None:
        """Record that the upstream accepts connections."""
        self.crashes.dead = False

    def upstream_restarted(self) -> None:
        """Handle a new boot of the upstream."""
        self.crashes.upstream_restarted(self.peers.testers(), self.clock.now_ms())

    def notice_received(self, notice: CrashNotice) -> None:
        """Handle a crash notice of another gate of the service."""
        derived = self.suspects.apply_notice(notice, self.clock.now_ms())
        self._log_suspected(notice)
        self._condemn(derived or notice)

    def _died(self, notice: CrashNotice | None) -> None:
        self._on_died()
        verdicts = () if notice is None else notice.verdicts
        log_event(log, "upstream_died", in_flight=len(verdicts))
        if notice is not None:
            self.peers.notify(notice)
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
