"""Slots that are reserved for requests of a higher priority."""

from cicadawheel.reserve import SlotReserve


# Guards against requests that take longer the more priorities routes have had before.
def test_priorities_without_requests_are_forgotten():
    reserve = SlotReserve()
    for priority in range(1_000):
        reserve.record_request(priority, 0.0)
    assert reserve.usable(500, 8) < 8
    reserve.record_request(500, 60_000.0)
    assert reserve.usable(500, 8) == 8
    assert len(reserve._counts) == 1
