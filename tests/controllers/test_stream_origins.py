"""Origins of streams are kept for a time; the newest one wins."""

from hypothesis import given
from hypothesis import strategies as st

from oriolejunction import clock as clocks
from oriolejunction.controllers import origin_retention
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction import ids


def origin(number, request_id="a1"):
    return fm.StreamOrigin(
        ids.RequestId(request_id), ids.SoftwareVersion(f"v{number}"), number
    )


def new_table(clock):
    return stream_origins.OriginTable(
        clock, origin_retention.OriginRetention(clock)
    )


@given(st.permutations(range(5)))
def test_highest_number_wins_in_any_order(numbers):
    table = new_table(clocks.ManualClock())
    for number in numbers:
        table.put(origin(number))
    assert table.get("a1") == origin(4)
    assert not table.put(origin(4))


def test_origins_expire_and_the_oldest_are_dropped(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 2)
    clock = clocks.ManualClock()
    table = new_table(clock)
    for request_id in ("a1", "a2", "a3"):
        table.put(origin(1, request_id))
    assert table.get("a1") is None
    clock.advance(origin_retention.MAX_RETURN_MS)
    table.put(origin(1, "a2"))
    clock.advance(origin_retention.MAX_RETURN_MS + 1)
    assert table.get("a3") is None
    assert table.all() == (origin(1, "a2"),)


def test_only_new_direct_origins_are_forwarded():
    hub = stream_origins.OriginHub(clocks.ManualClock())
    hub.put(origin(1), direct=True)
    assert hub.take_unforwarded() == {"a1": origin(1)}
    hub.put(origin(1), direct=True)
    hub.put(origin(2), direct=False)
    assert not hub.take_unforwarded()
