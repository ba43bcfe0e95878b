"""Tracks requests that may crash the upstreams that run them.

The gates of a service notify each other of crashes, so that a suspect runs at one gate
only, without other requests beside it, until it is cleared or condemned.

Does no I/O and reads no clock: callers pass events with their time, and get notices.
"""

import hashlib
from collections import Counter, OrderedDict, deque
from enum import Enum

import msgspec

from cicadawheel.ids import Fingerprint, NodeId
from cicadawheel.messages import CrashNotice, SuspectState, SuspectVerdict

LOST_WINDOW_MS = 1_000.0
SUSPICION_MS = 60_000.0
CONDEMNED_MS = 600_000.0
ANSWERED_LIMIT = 4_096
ANSWERED_MS = 60_000.0
SUSPECT_LIMIT = 1_000
CRASH_LIMIT = 32
CRASHES_TO_SUSPECT = 2
# A gate sends these states only for requests that were answered recently.
ANSWERED_STATES = (SuspectState.CLEARED, SuspectState.NOTED)


class Treatment(Enum):
    """How a gate serves a request."""

    FREE = "free"
    ALONE = "alone"
    ELSEWHERE = "elsewhere"
    REFUSE = "refuse"


class Suspect(msgspec.Struct):
    """A suspected or condemned request, and the only gate that may run it.

    ``test_failed`` is set if the upstream died during a test at this gate.
    """

    state: SuspectState
    tester: NodeId
    until_ms: float
    test_failed: bool = False


class SuspectReport(msgspec.Struct, frozen=True):
    """One suspect, for operators."""

    fingerprint: Fingerprint
    state: SuspectState
    tester: NodeId
    left_ms: float


class _LostRequest(msgspec.Struct, frozen=True):
    fingerprint: Fingerprint
    at_ms: float


class Suspects:
    """The suspects of a service as one gate knows them.

    Parameters
    ----------
    node : NodeId
        The node of this gate.
    """

    def __init__(self, node: NodeId):
        self.node = node
        self.quarantined: frozenset[Fingerprint] = frozenset()
        self._suspects: dict[Fingerprint, Suspect] = {}
        self._lost: deque[_LostRequest] = deque()
        self._answered: OrderedDict[Fingerprint, float] = OrderedDict()
        self._crashes: deque[CrashNotice] = deque(maxlen=CRASH_LIMIT)
        self._testing: Counter[Fingerprint] = Counter()
        self._crash_number = 0

    def treatment(self, fingerprint: Fingerprint, now_ms: float) -> Treatment:
        """Return how to serve a new request."""
        if fingerprint in self.quarantined:
            return Treatment.REFUSE
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Treatment.FREE
        if now_ms >= suspect.until_ms:
            del self._suspects[fingerprint]
            return Treatment.FREE
        if suspect.state is SuspectState.CONDEMNED:
            return Treatment.REFUSE
        if suspect.tester != self.node:
            return Treatment.ELSEWHERE
        return Treatment.ALONE

    def tester(self, fingerprint: Fingerprint) -> NodeId:
        """Return the only node that may run a request, or an empty name."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.state is SuspectState.CONDEMNED:
            return NodeId("")
        return suspect.tester

    def test_started(self, fingerprint: Fingerprint) -> None:
        """Record that a suspect is sent to the upstream."""
        self._testing[fingerprint] += 1

    def test_ended(self, fingerprint: Fingerprint) -> None:
        """Record that a suspect is no longer in flight."""
        self._testing[fingerprint] -= 1
        if self._testing[fingerprint] <= 0:
            del self._testing[fingerprint]

    def answered(self, fingerprint: Fingerprint, now_ms: float) -> CrashNotice | None:
        """Record an answer; return a notice for the other gates, or None."""
        self._note_answered(fingerprint, now_ms)
        if fingerprint not in self._suspects:
            return None
        verdict = SuspectVerdict(fingerprint, SuspectState.CLEARED, self.node)
        return self._conclude(verdict, now_ms)

    def exchange_lost(self, fingerprint: Fingerprint, now_ms: float) -> None:
        """Record that a connection was lost with a request in flight."""
        self._lost.append(_LostRequest(fingerprint, now_ms))
        while self._lost[0].at_ms < now_ms - LOST_WINDOW_MS:
            self._lost.popleft()

    def upstream_died(
        self, testers: list[NodeId], now_ms: float, same_crash: bool = False
    ) -> CrashNotice | None:
        """Return the crash notice for the other gates, or None if no request was lost.

        ``testers`` are the other gates of the service. ``same_crash`` is set if the
        requests were lost in the same crash as those of the previous notice.
        """
        since_ms = now_ms - LOST_WINDOW_MS
        lost = {item.fingerprint for item in self._lost if item.at_ms >= since_ms}
        self._lost.clear()
        if not lost:
            return None
        tested = lost & self._testing.keys()
        verdicts = [self._verdict(name, tested, testers, now_ms) for name in lost]
        self._note_failed_tests(tested)
        self._crash_number += not same_crash
        notice = CrashNotice(self.node, self._crash_number, tuple(verdicts))
        return self._record_notice(notice, now_ms)

    def apply_notice(self, notice: CrashNotice, now_ms: float) -> CrashNotice | None:
        """Apply a notice of another gate; return a new one if it condemns a request."""
        recorded = self._record_notice(notice, now_ms)
        return recorded if recorded is not notice else None

    def condemned(self, notice: CrashNotice) -> list[Fingerprint]:
        """Return the requests that a notice condemns."""
        return [
            verdict.fingerprint
            for verdict in notice.verdicts
            if verdict.state is SuspectState.CONDEMNED
        ]

    def suspected(self, notice: CrashNotice) -> list[Fingerprint]:
        """Return the requests of a notice that are suspects at this gate."""
        return sorted(filter(self.tester, _suspected(notice)))

    def report(self, now_ms: float) -> list[SuspectReport]:
        """Return the suspects for operators."""
        return [
            SuspectReport(
                name, suspect.state, suspect.tester, suspect.until_ms - now_ms
            )
            for name, suspect in self._suspects.items()
        ]

    def _verdict(self, fingerprint, tested, testers, now_ms) -> SuspectVerdict:
        suspect = self._suspects.get(fingerprint)
        if fingerprint in tested and not self._ignores_failed_test(
            fingerprint, suspect, now_ms
        ):
            return SuspectVerdict(fingerprint, SuspectState.CONDEMNED, NodeId(""))
        if suspect is not None:
            return SuspectVerdict(fingerprint, suspect.state, suspect.tester)
        if self._answered_recently(fingerprint, now_ms):
            crashes = self._crash_count(fingerprint) + 1
            if crashes < CRASHES_TO_SUSPECT:
                return SuspectVerdict(fingerprint, SuspectState.NOTED, NodeId(""))
        tester = choose_tester(fingerprint, testers) or self.node
        return SuspectVerdict(fingerprint, SuspectState.SUSPECT, tester)

    def _note_failed_tests(self, tested: set[Fingerprint]) -> None:
        for name in tested & self._suspects.keys():
            self._suspects[name].test_failed = True

    def _ignores_failed_test(
        self, fingerprint: Fingerprint, suspect: Suspect | None, now_ms: float
    ) -> bool:
        """Return whether a failed test is ignored.

        For a request that was answered recently, the loss may have another cause: only
        its second failed test counts.
        """
        failed_before = suspect is not None and suspect.test_failed
        return not failed_before and self._answered_recently(fingerprint, now_ms)

    def _record_notice(self, notice: CrashNotice, now_ms: float) -> CrashNotice:
        if notice.number:
            notice = self._with_intersection(notice, now_ms)
            self._crashes.append(notice)
        for verdict in notice.verdicts:
            self._apply(verdict, now_ms)
        return notice

    def _with_intersection(self, notice: CrashNotice, now_ms: float) -> CrashNotice:
        """Condemn the only suspect that this crash shares with an earlier one.

        A request that was answered recently is condemned by tests only, as a frequent
        request is in flight in most crashes.
        """
        here = _suspected(notice)
        for earlier in self._crashes:
            if (earlier.origin, earlier.number) == (notice.origin, notice.number):
                return notice
            shared = here & _suspected(earlier)
            remaining = {name for name in shared if name in self._suspects}
            if len(remaining) == 1 and not self._answered_recently(
                min(remaining), now_ms
            ):
                return _condemn(notice, remaining.pop())
        return notice

    def _conclude(self, verdict: SuspectVerdict, now_ms: float) -> CrashNotice:
        notice = CrashNotice(self.node, 0, (verdict,))
        return self._record_notice(notice, now_ms)

    def _apply(self, verdict: SuspectVerdict, now_ms: float) -> None:
        suspect = self._suspects.get(verdict.fingerprint)
        if verdict.state in ANSWERED_STATES:
            self._note_answered(verdict.fingerprint, now_ms)
        if verdict.state is SuspectState.CLEARED:
            if suspect is not None and suspect.state is not SuspectState.CONDEMNED:
                del self._suspects[verdict.fingerprint]
        elif verdict.state is SuspectState.CONDEMNED:
            self._add_suspect(verdict, now_ms + CONDEMNED_MS)
        elif verdict.state is SuspectState.SUSPECT:
            if suspect is None:
                self._add_suspect(verdict, now_ms + SUSPICION_MS)
            elif suspect.state is SuspectState.SUSPECT:
                self._agree_on_tester(verdict, suspect)

    def _agree_on_tester(self, verdict: SuspectVerdict, suspect: Suspect) -> None:
        """Choose one of two testers, with the same result at each gate.

        A gate whose upstream crashed names another gate as the tester. Two gates that
        crash at the same time would otherwise each leave the test to the other.
        """
        testers = [verdict.tester, suspect.tester]
        suspect.tester = choose_tester(verdict.fingerprint, testers)

    def _add_suspect(self, verdict: SuspectVerdict, until_ms: float) -> None:
        if len(self._suspects) >= SUSPECT_LIMIT:
            first = min(self._suspects, key=lambda name: self._suspects[name].until_ms)
            del self._suspects[first]
        self._suspects[verdict.fingerprint] = Suspect(
            verdict.state, verdict.tester, until_ms
        )

    def _note_answered(self, fingerprint: Fingerprint, now_ms: float) -> None:
        self._answered[fingerprint] = now_ms
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > ANSWERED_LIMIT:
            self._answered.popitem(last=False)

    def _answered_recently(self, fingerprint: Fingerprint, now_ms: float) -> bool:
        at_ms = self._answered.get(fingerprint)
        return at_ms is not None and now_ms - at_ms < ANSWERED_MS

    def _crash_count(self, fingerprint: Fingerprint) -> int:
        return sum(
            any(verdict.fingerprint == fingerprint for verdict in crash.verdicts)
            for crash in self._crashes
        )


def choose_tester(fingerprint: Fingerprint, testers: list[NodeId]) -> NodeId | None:
    """Choose a node by rendezvous hashing of the fingerprint; None without nodes."""

    def digest(node: NodeId) -> bytes:
        return hashlib.blake2b(f"{fingerprint} {node}".encode()).digest()

    return max(testers, key=digest, default=None)


def _suspected(notice: CrashNotice) -> set[Fingerprint]:
    return {
        verdict.fingerprint
        for verdict in notice.verdicts
        if verdict.state is SuspectState.SUSPECT
    }


def _condemn(notice: CrashNotice, fingerprint: Fingerprint) -> CrashNotice:
    verdicts = tuple(
        SuspectVerdict(fingerprint, SuspectState.CONDEMNED, NodeId(""))
        if verdict.fingerprint == fingerprint
        else verdict
        for verdict in notice.verdicts
    )
    return msgspec.structs.replace(notice, verdicts=verdicts)
