"""Records by id are kept for their time; the oldest are dropped first."""

from hypothesis import given
from hypothesis import strategies as st

from oriolejunction import clock as clocks
from oriolejunction.controllers import aged_records

KEPT_MS = 80.0
STEPS = st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 30)))


@given(STEPS)
def test_records_are_kept_for_their_time_after_the_last_put(steps):
    """A record is lost early, or others keep it from expiring."""
    clock = clocks.ManualClock()
    records = aged_records.AgedRecords(clock, lambda: KEPT_MS)
    put_ms = {}
    for number, (record_id, pause_ms) in enumerate(steps, 1):
        records.put(record_id, number)
        put_ms[record_id] = (clock.now_ms(), number)
        clock.advance(pause_ms)
        known = dict(records.items())
        for each, (at_ms, value) in put_ms.items():
            age_ms = clock.now_ms() - at_ms
            if age_ms <= KEPT_MS or each in known:
                assert records.get(each) == value
                assert age_ms <= KEPT_MS * 9 / 8
        assert records.size_bytes == len(known) * (
            aged_records.RECORD_BYTES + 1
        )
    while records.remove_oldest():
        pass
    assert records.size_bytes == 0
