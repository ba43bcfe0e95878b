"""A model of VMs with alternating slow and usual periods, as on the platform."""

PERIOD_MS = 500.0
SLOW_SHARE = 0.25
SLOWNESS = 7.0
WORK_MS = 160.0
TARGET_MS = 500.0
REPORT_INTERVAL_MS = 25.0
SLOTS = 9


def period_index(now_ms):
    """Return the index of the period that contains a time."""
    return int(now_ms / PERIOD_MS)


def ends_ms(slowness_at, now_ms, work_ms):
    """Return when work that starts now ends on a VM whose slowness changes."""
    while work_ms > 0:
        slowness = slowness_at(now_ms)
        done_ms = min(
            work_ms, ((period_index(now_ms) + 1) * PERIOD_MS - now_ms) / slowness
        )
        work_ms -= done_ms
        now_ms += done_ms * slowness
    return now_ms
