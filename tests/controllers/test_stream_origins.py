"""Origins of streams are kept for a time; the newest one wins."""

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
import msgspec
from structlog import testing

from oriolejunction import clock as clocks
from oriolejunction.controllers import aged_records
from oriolejunction.controllers import drop_log
from oriolejunction.controllers import origin_backlog
from oriolejunction.controllers import origin_retention
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction import ids


def origin(number, request_id="a1", ended=False):
    return fm.StreamOrigin(
        ids.RequestId(request_id),
        ids.SoftwareVersion(f"v{number}"),
        number,
        ended,
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


@given(st.permutations(range(3)), st.booleans())
def test_two_versions_under_one_number_are_ambiguous(order, ended):
    """Fault: whichever record was relayed last decided the version.

    An instance passed a request on that it had recorded at another version.
    """
    table = new_table(clocks.ManualClock())
    records = (
        fm.StreamOrigin("a1", "v1", 1),
        fm.StreamOrigin("a1", "v2", 1, ended),
        fm.StreamOrigin("a1", "v1", 1),
    )
    for index in order:
        table.put(records[index])
    assert table.get("a1").ambiguous
    table.put(fm.StreamOrigin("a1", "v2", 2))
    assert table.get("a1") == fm.StreamOrigin("a1", "v2", 2)


def test_replies_with_two_versions_under_one_number_are_ambiguous():
    replies = [
        fm.OriginReply(fm.StreamOrigin("a1", software, number))
        for software, number in (("v1", 1), ("v2", 1), ("v1", 0))
    ]
    assert stream_origins.join_replies(replies).origin.ambiguous
    newer = fm.OriginReply(fm.StreamOrigin("a1", "v2", 2))
    assert (
        stream_origins.join_replies([*replies, newer]).origin == newer.origin
    )


def test_origins_expire_one_by_one():
    """Records of streams that are over stay, or those that run expire."""
    clock = clocks.ManualClock()
    table = new_table(clock)
    for request_id in ("a1", "a2", "a3"):
        table.put(origin(1, request_id))
    table.put(origin(1, "a3", ended=True))
    clock.advance(origin_retention.MAX_RETURN_MS)
    table.put(origin(1, "a2"))
    assert table.get("a3") == origin(1, "a3", ended=True)
    clock.advance(1)
    assert table.get("a3") is None
    assert table.get("a1") == origin(1)
    clock.advance(origin_retention.MAX_RETURN_MS)
    assert table.all() == (origin(1, "a2"),)


def test_streams_that_may_be_taken_up_are_dropped_last(monkeypatch):
    """A full table drops running streams and tells nobody."""
    size_bytes = aged_records.RECORD_BYTES + len("a1")
    monkeypatch.setattr(stream_origins, "MAX_BYTES", 3 * size_bytes)
    clock = clocks.ManualClock()
    table = new_table(clock)
    with testing.capture_logs() as lines:
        for number in range(1, 4):
            table.put(origin(1, f"a{number}"))
            clock.advance(origin_retention.MAX_RETURN_MS / 2)
        table.put(origin(1, "a3", ended=True))
        table.put(origin(1, "a4"))
        assert table.all() == tuple(origin(1, f"a{n}") for n in (1, 2, 4))
        table.put(origin(1, "a5"))
        assert table.all() == tuple(origin(1, f"a{n}") for n in (2, 4, 5))
        table.put(origin(1, "a6"))
        clock.advance(drop_log.MIN_INTERVAL_MS)
        table.put(origin(1, "a6"))
    counts = [(e.get("ended"), e.get("not_ended")) for e in lines]
    assert counts == [(1, None), (None, 2)]


def test_full_table_needs_no_more_memory_than_its_bound(monkeypatch):
    """A bound by number lets long ids or versions fill the memory."""
    monkeypatch.setattr(stream_origins, "MAX_BYTES", 4 << 20)
    table = new_table(clocks.ManualClock())
    encode = msgspec.msgpack.Encoder().encode
    decode = msgspec.msgpack.Decoder(fm.StreamOrigin).decode
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(40_000):
            table.put(decode(encode(origin(1, f"{number:016x}"))))
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(table.all()) < 40_000
    assert after - before <= stream_origins.MAX_BYTES


def test_only_new_direct_origins_are_forwarded():
    hub = stream_origins.OriginHub(clocks.ManualClock())
    hub.put(origin(1), direct=True)
    assert hub.take_unforwarded() == {"a1": origin(1)}
    hub.put(origin(1), direct=True)
    hub.put(origin(2), direct=False)
    assert not hub.take_unforwarded()


def test_backlog_keeps_the_newest_origins(monkeypatch):
    """Records for a replica that can't be reached fill the memory."""
    monkeypatch.setattr(origin_backlog, "MAX_WAITING", 2)
    backlog = origin_backlog.OriginBacklog(clocks.ManualClock())
    backlog.add([origin(1, "a1"), origin(1, "a2")])
    taken = backlog.take(1)
    backlog.add([origin(2, "a1")])
    backlog.put_back(taken)
    with testing.capture_logs() as lines:
        backlog.add([origin(1, "a3")])
    assert [each["origins"] for each in lines] == [1]
    assert backlog.take(9) == (origin(1, "a2"), origin(1, "a3"))
    assert not backlog
