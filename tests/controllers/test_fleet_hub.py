"""Each entry instance learns the sums of the others."""

import collections

import hypothesis
from hypothesis import strategies as st

from oriolejunction import clock as clocks
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import routing_table


def share(instance, number, streams=1, boot="b"):
    return fm.EntryReport(
        ids.InstanceId(instance),
        boot,
        number,
        loads=(fm.BackendLoad(ids.BackendId("e1"), streams, 10, 5),),
        suspects=(ids.BackendId(f"s{instance}"),),
        crashes=(fm.CrashCount(ids.Fingerprint("f"), 1),),
        speeds=(fm.EngineSpeed(ids.BackendId("e1"), 30.0, 120.0),),
    )


def told(hub, asker):
    """Return all that an instance is told which was told nothing yet."""
    return hub.update_for(ids.InstanceId(asker), -1)


def test_own_share_is_left_out():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    for name in "abc":
        hub.put(share(name, 1), direct=True)
    news = told(hub, "a")
    (load,) = news.loads
    assert (load.streams, load.kv_tokens, load.prefill_tokens) == (2, 20, 10)
    assert news.suspects == ("sb", "sc")
    assert news.crashes[0].crashes == 2
    assert news.speeds[0].event_ms == 30.0
    assert hub.entry_count() == 3


def test_late_share_does_not_replace_a_newer_one():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 2, streams=7), direct=True)
    assert not hub.put(share("a", 1, streams=1), direct=False)
    (load,) = told(hub, "b").loads
    assert load.streams == 7


def test_restarted_instance_counts_from_one_again():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 9, streams=7), direct=True)
    assert hub.put(share("a", 1, streams=1, boot="c"), direct=True)
    (load,) = told(hub, "b").loads
    assert load.streams == 1


def test_share_told_again_unchanged_is_no_news():
    """Load: every instance tells its share each second, idle or not."""
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 1), direct=True)
    number = hub.change_number
    assert not hub.put(share("a", 2), direct=True)
    assert hub.change_number == number
    assert [each.number for each in hub.take_unforwarded()] == [2]


def test_silent_instance_is_forgotten():
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    hub.put(share("a", 1), direct=True)
    number = hub.change_number
    clock.advance(fleet_hub.REPORT_TTL_MS + 1)
    (load,) = hub.update_for(ids.InstanceId("b"), number).loads
    assert load.streams == 0
    assert hub.change_number > number


def test_only_what_changed_is_told():
    """Load: many instances watch many engines, of which few change."""
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    loads = tuple(
        fm.BackendLoad(ids.BackendId(f"e{n}"), 1, 10, 0) for n in range(100)
    )
    hub.put(fm.EntryReport(ids.InstanceId("a"), "b", 1, loads), direct=True)
    number = hub.change_number
    loads = (fm.BackendLoad(ids.BackendId("e0"), 2, 20, 5), *loads[1:])
    hub.put(fm.EntryReport(ids.InstanceId("a"), "b", 2, loads), direct=True)
    news = hub.update_for(ids.InstanceId("x"), number)
    assert [load.backend_id for load in news.loads] == ["e0"]
    assert not news.whole
    assert hub.update_for(ids.InstanceId("x"), news.seen).loads == ()


def test_ended_work_is_not_remembered_for_ever():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    for number in range(3 * fleet_hub.MAX_IDLE_BACKENDS):
        load = fm.BackendLoad(ids.BackendId(f"e{number}"), 1, 1, 1)
        hub.put(
            fm.EntryReport(ids.InstanceId("a"), "b", number, (load,)), True
        )
    news = hub.update_for(ids.InstanceId("x"), 1)
    assert news.whole
    assert len(news.loads) <= fleet_hub.MAX_IDLE_BACKENDS + 1


def test_only_direct_shares_are_handed_on():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 1), direct=True)
    hub.put(share("b", 1), direct=False)
    assert [s.instance for s in hub.take_unforwarded()] == ["a"]
    assert hub.take_unforwarded() == ()


PUT = st.tuples(
    st.sampled_from("abc"),
    st.integers(1, 9),
    st.dictionaries(st.sampled_from("xyz"), st.integers(1, 5)),
)


@hypothesis.given(st.lists(st.tuples(PUT, st.booleans(), st.booleans())))
def test_changes_add_up_to_the_sums_of_the_newest_shares(steps):
    """Whatever is told when, a watcher knows all once it is told last."""
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    newest, heard_ms = {}, {}
    sight = fleet_view.FleetView()
    seen = -1
    for (name, number, streams), is_told, is_late in steps:
        if is_late:
            clock.advance(fleet_hub.REPORT_TTL_MS / 2 + 1)
        loads = tuple(
            fm.BackendLoad(ids.BackendId(key), count, count, 0)
            for key, count in sorted(streams.items())
        )
        hub.put(fm.EntryReport(ids.InstanceId(name), "b", number, loads), True)
        alive = clock.now_ms() - heard_ms.get(name, 0.0)
        known = newest.get(name, (0, {}))
        if alive > fleet_hub.REPORT_TTL_MS or number >= known[0]:
            newest[name] = (number, streams)
            heard_ms[name] = clock.now_ms()
        if is_told:
            sight, seen = take(hub, sight, seen)
    sight, _ = take(hub, sight, seen)
    expected = collections.Counter()
    for name, (_, streams) in newest.items():
        if name != "a" and (
            clock.now_ms() - heard_ms[name] <= fleet_hub.REPORT_TTL_MS
        ):
            expected.update(streams)
    held = {key: load.streams for key, load in sight.load_by_id.items()}
    assert held == dict(expected)


def take(hub, sight, seen):
    """Take in what instance `a` is told."""
    news = hub.update_for(ids.InstanceId("a"), seen)
    reply = fm.WatchReply(
        fresh=True,
        seen=news.seen,
        boot="b",
        table_version=routing_table.TableVersion(1),
        whole=news.whole,
        loads=news.loads,
    )
    return fleet_view.apply_reply(sight, reply, 0.0), news.seen
