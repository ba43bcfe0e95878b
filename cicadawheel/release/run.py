"""Evaluates one active release at the leader and decides its next step."""

from collections.abc import Iterable

import msgspec

from cicadawheel.configuration import (
    Member,
    ReleaseRule,
    ReleaseState,
    ServiceRule,
)
from cicadawheel.control.command import AdvanceRelease
from cicadawheel.release.blocks import Blocks, add_evidence
from cicadawheel.release.evidence import LocalWithdrawal, RouteEvidence
from cicadawheel.release.judge import Judgement, Verdict, VersionJudge
from cicadawheel.release.plan import (
    REOPENED_SHARE,
    make_stages,
    slack_ms,
    stage_index,
    stage_ms,
)
from cicadawheel.release.sketch import total_ms

FIRST_CALLS_MIN = 10
USABLE_SLOT_SHARE = 0.8

IDLE_MS = 5_000
"""Without evidence for this long, a service is taken to have no calls in flight."""


class VersionSlots(msgspec.Struct, frozen=True):
    """The number of upstreams and slots of one version that accept new calls."""

    upstreams: int
    slots: int


def version_slots(members: Iterable[Member], version: str) -> VersionSlots:
    """Return the capacity of a version, from the members of its service."""
    available = [
        member for member in members if member.version == version and not member.leaving
    ]
    return VersionSlots(len(available), sum(member.slots for member in available))


class ReleaseRun:
    """Evaluates one release and decides its next step.

    Parameters
    ----------
    release : ReleaseRule
        The release when this run was created.
    rule : ServiceRule
        The configuration of its service.
    now_ms : int
        The current Unix time, taken as the start of the current stage.
    """

    def __init__(self, release: ReleaseRule, rule: ServiceRule, now_ms: int):
        self.started_at_ms = release.started_at_ms
        self.rule = rule
        self._judge = VersionJudge(rule.habits, len(rule.routes))
        self._stages = make_stages(rule.habits)
        self._share = release.share
        self._stage_started_ms = now_ms
        self._stage_ms = self._stage_length_ms(release, now_ms)
        self._blocks: Blocks = {}
        self._withdrawn = ""
        self._in_flight = 0.0
        self._last_evidence_ms = now_ms

    def add(self, release: ReleaseRule, evidence: Iterable[RouteEvidence]) -> None:
        """Add the evidence of an entry."""
        for route in evidence:
            add_evidence(self._blocks, release, route)

    def add_withdrawal(self, node: str, withdrawal: LocalWithdrawal) -> None:
        """Note that an entry has withdrawn the version."""
        self._withdrawn = f"{withdrawal.reason} (seen by {node})"

    def step(
        self, release: ReleaseRule, members: tuple[Member, ...], now_ms: int
    ) -> AdvanceRelease | None:
        """Return the command that is due, or None."""
        self._evaluate_blocks(now_ms)
        self._update_stage(release, now_ms)
        judgement = self._judge.judge()
        old = version_slots(members, release.old_version)
        rollback_reason = self._withdrawn or (
            judgement.reason if judgement.verdict is Verdict.BAD else ""
        )
        if rollback_reason:
            return self._roll_back(release, old, rollback_reason, now_ms)
        if release.state is ReleaseState.DONE:
            return self._reopen(release, old, judgement, now_ms)
        new = version_slots(members, release.version)
        waiting_for = self._waiting_for(release, new, judgement, now_ms)
        if not waiting_for:
            return self._advance(release, judgement, now_ms)
        if self._is_newly_late(release, now_ms):
            reason = f"the deadline has passed: {waiting_for}"
            return _command(release, ReleaseState.LATE, release.share, reason, now_ms)
        return None

    def _is_newly_late(self, release: ReleaseRule, now_ms: int) -> bool:
        if release.done_at_ms or release.state is ReleaseState.LATE:
            return False
        return now_ms >= release.deadline_at_ms

    def _evaluate_blocks(self, now_ms: int) -> None:
        blocks, self._blocks = self._blocks, {}
        self._judge.add(blocks)
        period_ms = now_ms - self._last_evidence_ms
        if not blocks:
            if period_ms > IDLE_MS:
                self._in_flight = 0.0
            return
        self._last_evidence_ms = now_ms
        if period_ms <= 0:
            return
        busy_ms = sum(
            total_ms(block.new.latencies) + total_ms(block.old.latencies)
            for block in blocks.values()
        )
        self._in_flight = busy_ms / period_ms

    def _update_stage(self, release: ReleaseRule, now_ms: int) -> None:
        if release.share == self._share:
            return
        self._share = release.share
        self._stage_started_ms = now_ms
        self._stage_ms = self._stage_length_ms(release, now_ms)
        self._judge.start_stage()

    def _waiting_for(
        self,
        release: ReleaseRule,
        new: VersionSlots,
        judgement: Judgement,
        now_ms: int,
    ) -> str:
        if not new.upstreams:
            return f"no upstream of version {release.version} takes calls"
        index = stage_index(self._stages, release.share)
        if index < 0:
            return ""
        left_ms = self._stage_started_ms + self._stage_ms - now_ms
        if left_ms > 0:
            return f"share {release.share:g} is held for {left_ms / 1_000:.0f} s more"
        missing = self._missing_evidence(release, index, judgement, now_ms)
        return missing or self._missing_slots(release, new, index)

    def _missing_evidence(
        self, release: ReleaseRule, index: int, judgement: Judgement, now_ms: int
    ) -> str:
        calls_min = self.rule.habits.calls_min
        required = calls_min if index else min(calls_min, FIRST_CALLS_MIN)
        if judgement.new_calls < required:
            return f"{judgement.new_calls} calls of {required} seen at this share"
        left_ms = release.deadline_at_ms - now_ms
        remaining_slack_ms = slack_ms(self._stages, index, left_ms, self.rule.habits)
        if index and judgement.verdict is not Verdict.GOOD and remaining_slack_ms > 0:
            return judgement.reason
        return ""

    def _missing_slots(
        self, release: ReleaseRule, new: VersionSlots, index: int
    ) -> str:
        needed = self._in_flight * self._next_share(index)
        usable = new.slots * USABLE_SLOT_SHARE
        if needed <= usable:
            return ""
        return (
            f"share {self._next_share(index):g} needs {needed:.1f} slots, the "
            f"{new.upstreams} upstreams of version {release.version} have "
            f"{usable:.1f} to spare"
        )

    def _advance(
        self, release: ReleaseRule, judgement: Judgement, now_ms: int
    ) -> AdvanceRelease:
        index = stage_index(self._stages, release.share) + 1
        if index == len(self._stages):
            reason = judgement.reason
            return _command(release, ReleaseState.DONE, 1.0, reason, now_ms)
        stage = self._stages[index]
        reason = judgement.reason if index else "the first calls"
        late = release.state is ReleaseState.LATE
        state = ReleaseState.LATE if late else stage.state
        return _command(release, state, stage.share, reason, now_ms)

    def _roll_back(
        self, release: ReleaseRule, old: VersionSlots, reason: str, now_ms: int
    ) -> AdvanceRelease | None:
        if release.state is ReleaseState.DONE and not old.upstreams:
            return None
        return _command(release, ReleaseState.TAKEN_BACK, 0.0, reason, now_ms)

    def _reopen(
        self,
        release: ReleaseRule,
        old: VersionSlots,
        judgement: Judgement,
        now_ms: int,
    ) -> AdvanceRelease | None:
        needed = self._in_flight * (1.0 - REOPENED_SHARE)
        if judgement.verdict is not Verdict.SUSPECT:
            return None
        if needed > old.slots * USABLE_SLOT_SHARE:
            return None
        reason = f"compared again with the old version: {judgement.reason}"
        return _command(release, ReleaseState.RISING, REOPENED_SHARE, reason, now_ms)

    def _next_share(self, index: int) -> float:
        next_index = index + 1
        return self._stages[next_index].share if next_index < len(self._stages) else 1.0

    def _stage_length_ms(self, release: ReleaseRule, now_ms: int) -> float:
        index = stage_index(self._stages, release.share)
        if index < 0 or release.state is ReleaseState.DONE:
            return 0.0
        left_ms = release.deadline_at_ms - now_ms
        return stage_ms(self._stages, index, left_ms, self.rule.habits)


def _command(
    release: ReleaseRule,
    state: ReleaseState,
    share: float,
    reason: str,
    now_ms: int,
) -> AdvanceRelease:
    return AdvanceRelease(
        now_ms=now_ms,
        service=release.service,
        version=release.version,
        state=state,
        share=share,
        reason=reason,
    )
