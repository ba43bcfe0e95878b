"""A model of VMs that slow down for periods of half a second, as on the platform."""

PERIOD_MS = 500.0
SLOW_SHARE = 0.25
SLOWNESS = 7.0
WORK_MS = 160.0
TARGET_MS = 500.0
REPORT_INTERVAL_MS = 25.0
SLOTS = 9


def period_number(now_ms):
    """Return the number of the period at a time."""
    return int(now_ms / PERIOD_MS)


def ends_ms(slowness_at, now_ms, work_ms):
    """Return the end time of work that begins now on a VM of changing slowness."""
    while work_ms > 0:
        slowness = slowness_at(now_ms)
        done_ms = min(
            work_ms, ((period_number(now_ms) + 1) * PERIOD_MS - now_ms) / slowness
        )
        work_ms -= done_ms
        now_ms += done_ms * slowness
    return now_ms
