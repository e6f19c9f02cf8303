"""An instance gets the same view from shared sums as from its own ones."""

import hypothesis
from hypothesis import strategies as st
import msgspec

from oriolejunction import clock as clocks
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_sums
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction.peers import listing_store
from oriolejunction.peers import watch_replies
from oriolejunction import routing_table
from tests.peers import test_fleet_service

OWN = ids.InstanceId("a")
_ROWS = st.dictionaries(st.sampled_from("xyz"), st.integers(1, 99))
_REPORT = st.tuples(st.sampled_from("abc"), _ROWS, _ROWS, _ROWS, _ROWS)


class Watcher:
    """A watcher of one version of the messages, and its view."""

    def __init__(self, replies, clock, entry_boot):
        self.view = fleet_view.FleetView()
        self.sums = fleet_sums.OthersSums(clock)
        self.seen, self.boot = fm.NO_CHANGE_SEEN, ""
        self.replies, self.entry_boot = replies, entry_boot

    def watch(self):
        request = fm.WatchRequest(
            OWN,
            routing_table.NO_TABLE,
            "",
            self.seen,
            self.boot,
            self.entry_boot,
        )
        reply = msgspec.msgpack.decode(
            msgspec.msgpack.encode(self.replies.reply_to(request)),
            type=fm.WatchReply,
        )
        changed = (reply.seen, reply.boot) != (self.seen, self.boot)
        self.view = self.sums.apply(self.view, reply, changed)
        self.seen, self.boot = reply.seen, reply.boot
        return reply


def make_replies(clock):
    return watch_replies.WatchReplies(
        "boot-1",
        test_fleet_service.Replica(),
        clock,
        fleet_hub.FleetHub(clock),
        listing_store.ListingStore(clock),
    )


def make_report(name, number, loads=(), speeds=(), suspects=(), uses=()):
    loads, speeds, uses = dict(loads), dict(speeds), dict(uses)
    return fm.EntryReport(
        ids.InstanceId(name),
        f"boot-{name}",
        number,
        loads=tuple(
            fm.BackendLoad(ids.BackendId(key), count, 10 * count, 0)
            for key, count in loads.items()
        ),
        suspects=tuple(map(ids.BackendId, suspects)),
        crashes=tuple(
            fm.EngineCrash(ids.Fingerprint("f"), ids.BackendId(key))
            for key in suspects
        ),
        speeds=tuple(
            fm.EngineSpeed(ids.BackendId(key), float(value), 0.0)
            for key, value in speeds.items()
        ),
        uses=tuple(
            fm.ServiceUse(ids.ServiceName(key), count, 1)
            for key, count in uses.items()
        ),
    )


@hypothesis.given(st.lists(st.tuples(_REPORT, st.booleans(), st.booleans())))
def test_view_from_shared_sums_leaves_the_own_share_out(steps):
    """Load: own streams must not count twice, whichever report is summed."""
    clock = clocks.ManualClock()
    replies = make_replies(clock)
    watcher = Watcher(replies, clock, "boot-a")
    earlier = Watcher(replies, clock, "")
    for number, (report, is_late, is_watched) in enumerate(steps, start=1):
        if is_late:
            clock.advance(fleet_hub.REPORT_TTL_MS / 2 + 1)
        sent = make_report(report[0], number, *report[1:])
        if sent.instance == OWN:
            watcher.sums.record_report(sent)
        replies.hub.put(sent, direct=True)
        if is_watched:
            assert_same_views(watcher, earlier)
    assert_same_views(watcher, earlier)


def assert_same_views(watcher, earlier):
    watcher.watch()
    earlier.watch()
    new, old = watcher.view, earlier.view
    assert new.load_by_id == old.load_by_id
    assert new.speed_by_id == old.speed_by_id
    assert new.use_by_service == old.use_by_service
    assert new.suspects == old.suspects
    assert new.entry_count == old.entry_count
    assert {key: set(c) for key, c in new.crashes_by_request.items()} == {
        key: set(c) for key, c in old.crashes_by_request.items()
    }


def test_sums_may_include_an_earlier_own_report():
    """Load: the newest own report is still on its way to the replica."""
    clock = clocks.ManualClock()
    replies = make_replies(clock)
    watcher = Watcher(replies, clock, "boot-a")
    replies.hub.put(make_report("b", 1, {"x": 5}), direct=False)
    for number, streams in ((1, 1), (2, 3)):
        watcher.sums.record_report(make_report("a", number, {"x": streams}))
    replies.hub.put(make_report("a", 1, {"x": 1}), direct=True)
    assert watcher.watch().own_number == 1
    assert watcher.view.load_by_id[ids.BackendId("x")].streams == 5
    replies.hub.put(make_report("a", 2, {"x": 3}), direct=True)
    assert watcher.watch().own_number == 2
    assert watcher.view.load_by_id[ids.BackendId("x")].streams == 5


def test_report_of_an_earlier_incarnation_is_not_subtracted():
    """Load: an instance restarts, and its numbers begin again."""
    clock = clocks.ManualClock()
    replies = make_replies(clock)
    watcher = Watcher(replies, clock, "boot-new")
    watcher.sums.record_report(make_report("a", 1, {"x": 4}))
    replies.hub.put(make_report("a", 1, {"x": 7}), direct=True)
    assert watcher.watch().own_number == 0
    assert watcher.view.load_by_id[ids.BackendId("x")].streams == 7


def test_reply_with_loads_only_leaves_the_rest_as_it_was():
    """Load: subscribers compare what they got; equal copies cost time."""
    clock = clocks.ManualClock()
    replies = make_replies(clock)
    watcher = Watcher(replies, clock, "boot-a")
    replies.hub.put(make_report("b", 1, {"x": 1}, suspects="z"), True)
    watcher.watch()
    before = watcher.view
    replies.hub.put(make_report("b", 2, {"x": 2}, suspects="z"), True)
    assert not watcher.watch().has_observations
    assert watcher.view.suspects is before.suspects == frozenset("z")
    assert watcher.view.speed_by_id is before.speed_by_id
    assert watcher.view.load_by_id != before.load_by_id


def test_messages_without_the_new_fields_are_understood():
    """Load: instances and replicas of two versions during an update."""
    request = fm.WatchRequest(OWN, routing_table.NO_TABLE, "", 3, "b", "c")
    fields = msgspec.to_builtins(request)
    del fields["entry_boot"]
    assert msgspec.convert(fields, fm.WatchRequest).entry_boot == ""
    clock = clocks.ManualClock()
    replies = make_replies(clock)
    replies.hub.put(make_report("a", 1, {"x": 4}, suspects="x"), True)
    replies.hub.put(make_report("b", 1, {"x": 5}, suspects="y"), True)
    reply = msgspec.to_builtins(
        replies.reply_to(msgspec.convert(fields, fm.WatchRequest))
    )
    for field in ("own_number", "speed_sums", "has_observations"):
        del reply[field]
    view = fleet_sums.OthersSums(clock).apply(
        fleet_view.FleetView(), msgspec.convert(reply, fm.WatchReply), True
    )
    assert view.load_by_id[ids.BackendId("x")].streams == 5
    assert view.suspects == frozenset("y")


def test_joined_fields_are_one_message():
    parts = [
        {f"f{number}": number for number in range(first, first + 20)}
        for first in (0, 20)
    ]
    joined = watch_replies.join(map(watch_replies.encode_fields, parts))
    encoded = msgspec.msgpack.encode(joined)
    assert msgspec.msgpack.decode(encoded) == parts[0] | parts[1]
