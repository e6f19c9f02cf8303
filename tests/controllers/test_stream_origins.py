"""Origins of streams are kept for a time; the newest one wins."""

import types

from hypothesis import given
from hypothesis import strategies as st

from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction import ids


def origin(number, request_id="a1"):
    return fm.StreamOrigin(
        ids.RequestId(request_id), ids.SoftwareVersion(f"v{number}"), number
    )


class Clock(types.SimpleNamespace):
    def now_ms(self):
        return self.time_ms


@given(st.permutations(range(5)))
def test_highest_number_wins_in_any_order(numbers):
    table = stream_origins.OriginTable(Clock(time_ms=0.0))
    for number in numbers:
        table.put(origin(number))
    assert table.get("a1") == origin(4)
    assert not table.put(origin(4))


def test_origins_expire_and_the_oldest_are_dropped(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 2)
    clock = Clock(time_ms=0.0)
    table = stream_origins.OriginTable(clock)
    for request_id in ("a1", "a2", "a3"):
        table.put(origin(1, request_id))
    assert table.get("a1") is None
    clock.time_ms = stream_origins.ORIGIN_TTL_MS / 2
    table.put(origin(1, "a2"))
    clock.time_ms = stream_origins.ORIGIN_TTL_MS + 1
    assert table.get("a3") is None
    assert table.all() == (origin(1, "a2"),)


def test_only_new_direct_origins_are_forwarded():
    hub = stream_origins.OriginHub(Clock(time_ms=0.0))
    hub.put(origin(1), direct=True)
    assert hub.take_unforwarded() == {"a1": origin(1)}
    hub.put(origin(1), direct=True)
    hub.put(origin(2), direct=False)
    assert not hub.take_unforwarded()
