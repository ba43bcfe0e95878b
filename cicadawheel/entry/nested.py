"""Plans a nested call: one that an upstream makes while it runs an outer request."""

from msgspec.structs import replace

from cicadawheel.entry.plan import CallPlan
from cicadawheel.gate.runs import Run

MIN_LEFT_MS = 1.0
"""The least time that a call gets, although its outer request has none left."""

TARGET_MISSED_MS = -1.0
"""Stands for a target that has passed, as 0 means that there is none."""


def plan_nested(plan: CallPlan, outer: Run, now_ms: float) -> CallPlan:
    """Return the plan of a nested call, which serves its outer request.

    It has the higher of both priorities, and no more time than the outer request.
    """
    left_ms = max(MIN_LEFT_MS, outer.deadline_at_ms - now_ms)
    return replace(
        plan,
        priority=min(plan.priority, outer.priority),
        deadline_ms=min(plan.deadline_ms, left_ms),
        target_ms=_target_ms(plan, outer, now_ms),
        spent_ms=outer.spent_ms(now_ms),
    )


def _target_ms(plan: CallPlan, outer: Run, now_ms: float) -> float:
    if not outer.target_at_ms:
        return plan.target_ms
    left_ms = outer.target_at_ms - now_ms
    if left_ms <= 0.0:
        return TARGET_MISSED_MS
    return min(plan.target_ms or left_ms, left_ms)
