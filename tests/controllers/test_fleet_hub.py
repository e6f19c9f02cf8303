"""Each entry instance receives the sums over the others."""

import collections

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import tracked_sums
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import routing_table


def report(instance, number, streams=1, boot="b"):
    return fm.EntryReport(
        ids.InstanceId(instance),
        boot,
        number,
        loads=(fm.BackendLoad(ids.BackendId("e1"), streams, 10, 5),),
        suspects=(ids.BackendId(f"s{instance}"),),
        crashes=tuple(
            fm.EngineCrash(ids.Fingerprint("f"), ids.BackendId(engine))
            for engine in ("e1", f"c{instance}")
        ),
        speeds=(fm.EngineSpeed(ids.BackendId("e1"), 30.0, 120.0),),
    )


def first_update(hub, receiver):
    """Return the first update for an instance."""
    return hub.update_for(ids.InstanceId(receiver), -1)


def test_own_report_is_left_out():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    for name in "abc":
        hub.put(report(name, 1), direct=True)
    update = first_update(hub, "a")
    (load,) = update.loads
    assert (load.streams, load.kv_tokens, load.prefill_tokens) == (2, 20, 10)
    assert update.suspects == ("sb", "sc")
    assert {crash.backend_id for crash in update.crashes} == {"e1", "cb", "cc"}
    assert update.speeds[0].event_ms == 30.0
    assert hub.entry_count() == 3


def test_uses_of_others_are_summed_and_expire():
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    service = ids.ServiceName("llm")
    for number, name in enumerate("abc", start=1):
        hub.put(
            msgspec.structs.replace(
                report(name, 1),
                uses=(fm.ServiceUse(service, 10 * number, number),),
            ),
            direct=True,
        )
    own = ids.InstanceId("a")
    assert hub.uses_of_others(own) == (fm.ServiceUse(service, 50, 5),)
    changed = hub.put(
        msgspec.structs.replace(
            report("b", 2), uses=(fm.ServiceUse(service, 21, 3),)
        ),
        direct=True,
    )
    assert not changed
    assert hub.uses_of_others(own) == (fm.ServiceUse(service, 51, 6),)
    clock.advance(fleet_hub.REPORT_TTL_MS + 1.0)
    assert hub.uses_of_others(own) == ()


def test_late_report_does_not_replace_a_newer_one():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(report("a", 2, streams=7), direct=True)
    assert not hub.put(report("a", 1, streams=1), direct=False)
    (load,) = first_update(hub, "b").loads
    assert load.streams == 7


def test_restarted_instance_numbers_its_reports_from_one():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(report("a", 9, streams=7), direct=True)
    assert hub.put(report("a", 1, streams=1, boot="c"), direct=True)
    (load,) = first_update(hub, "b").loads
    assert load.streams == 1


def test_repeated_unchanged_report_is_no_change():
    """Load: every instance sends a report each second, even when idle."""
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(report("a", 1), direct=True)
    number = hub.change_number
    assert not hub.put(report("a", 2), direct=True)
    assert hub.change_number == number
    assert [each.number for each in hub.take_unforwarded()] == [2]


def test_report_of_a_silent_instance_expires():
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    hub.put(report("a", 1), direct=True)
    number = hub.change_number
    clock.advance(fleet_hub.REPORT_TTL_MS + 1)
    (load,) = hub.update_for(ids.InstanceId("b"), number).loads
    assert load.streams == 0
    assert hub.change_number > number


def test_update_holds_only_changes():
    """Load: many instances watch many engines, few of which change."""
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    loads = tuple(
        fm.BackendLoad(ids.BackendId(f"e{n}"), 1, 10, 0) for n in range(100)
    )
    hub.put(fm.EntryReport(ids.InstanceId("a"), "b", 1, loads), direct=True)
    number = hub.change_number
    loads = (fm.BackendLoad(ids.BackendId("e0"), 2, 20, 5), *loads[1:])
    hub.put(fm.EntryReport(ids.InstanceId("a"), "b", 2, loads), direct=True)
    update = hub.update_for(ids.InstanceId("x"), number)
    assert [load.backend_id for load in update.loads] == ["e0"]
    assert not update.complete
    assert hub.update_for(ids.InstanceId("x"), update.seen).loads == ()


def test_idle_backends_are_dropped_once_there_are_too_many():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    for number in range(3 * tracked_sums.MAX_IDLE_BACKENDS):
        load = fm.BackendLoad(ids.BackendId(f"e{number}"), 1, 1, 1)
        hub.put(
            fm.EntryReport(ids.InstanceId("a"), "b", number, (load,)), True
        )
    update = hub.update_for(ids.InstanceId("x"), 1)
    assert update.complete
    assert len(update.loads) <= tracked_sums.MAX_IDLE_BACKENDS + 1


def test_only_direct_reports_are_forwarded():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(report("a", 1), direct=True)
    hub.put(report("b", 1), direct=False)
    assert [r.instance for r in hub.take_unforwarded()] == ["a"]
    assert hub.take_unforwarded() == ()


PUT = st.tuples(
    st.sampled_from("abc"),
    st.integers(1, 9),
    st.dictionaries(st.sampled_from("xyz"), st.integers(1, 5)),
)


@hypothesis.given(st.lists(st.tuples(PUT, st.booleans(), st.booleans())))
def test_updates_add_up_to_the_sums_of_the_newest_reports(steps):
    """After its last update a watcher knows all, whatever the order."""
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    newest, received_ms = {}, {}
    view = fleet_view.FleetView()
    seen = -1
    for (name, number, streams), is_updated, is_late in steps:
        if is_late:
            clock.advance(fleet_hub.REPORT_TTL_MS / 2 + 1)
        loads = tuple(
            fm.BackendLoad(ids.BackendId(key), count, count, 0)
            for key, count in sorted(streams.items())
        )
        hub.put(fm.EntryReport(ids.InstanceId(name), "b", number, loads), True)
        age_ms = clock.now_ms() - received_ms.get(name, 0.0)
        known = newest.get(name, (0, {}))
        if age_ms > fleet_hub.REPORT_TTL_MS or number >= known[0]:
            newest[name] = (number, streams)
            received_ms[name] = clock.now_ms()
        if is_updated:
            view, seen = apply_update(hub, view, seen)
    view, _ = apply_update(hub, view, seen)
    expected = collections.Counter()
    for name, (_, streams) in newest.items():
        if name != "a" and (
            clock.now_ms() - received_ms[name] <= fleet_hub.REPORT_TTL_MS
        ):
            expected.update(streams)
    streams_by_id = {
        key: load.streams for key, load in view.load_by_id.items()
    }
    assert streams_by_id == dict(expected)


def apply_update(hub, view, seen):
    """Apply the next update for instance `a` to its fleet view."""
    update = hub.update_for(ids.InstanceId("a"), seen)
    reply = fm.WatchReply(
        fresh=True,
        seen=update.seen,
        boot="b",
        table_version=routing_table.TableVersion(1),
        whole=update.complete,
        loads=update.loads,
    )
    return fleet_view.apply_reply(view, reply, 0.0), update.seen


def helper_report(number, is_open=True):
    return fm.EntryReport(
        ids.InstanceId(f"n{number}"),
        "b",
        1 if is_open else 2,
        helpers=(f"10.0.0.{number}:7200",) if is_open else (),
    )


def test_each_instance_is_told_of_some_helpers_but_itself():
    """Load: half of many instances ask the others for help at once."""
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    for number in range(40):
        hub.put(helper_report(number), direct=True)
    for number in range(20):
        hub.put(helper_report(number, is_open=False), direct=True)
    told = collections.Counter()
    for number in range(20):
        helpers = first_update(hub, f"n{number}").helpers
        assert len(set(helpers)) == fleet_hub.MAX_HELPERS
        told.update(helpers)
    assert set(told) <= {f"10.0.0.{number}:7200" for number in range(20, 40)}
    assert len(told) >= 15
    assert max(told.values()) <= 15
    assert "10.0.0.30:7200" not in first_update(hub, "n30").helpers


def test_helper_that_no_longer_reports_is_dropped():
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    hub.put(helper_report(1), direct=True)
    assert first_update(hub, "n2").helpers == ("10.0.0.1:7200",)
    clock.advance(fleet_hub.REPORT_TTL_MS + 1)
    assert first_update(hub, "n2").helpers == ()


@pytest.mark.parametrize("newest", ["helpers", "rollout_counts", "leaving"])
def test_report_is_read_by_an_older_replica_and_an_older_one_here(newest):
    """Load: instances and replicas of two versions during an update.

    The older version does not have the field `newest` and those after it.
    """
    fields = msgspec.structs.fields(fm.EntryReport)
    names = [field.name for field in fields]
    count = names.index(newest)
    older = msgspec.defstruct(
        "OlderReport",
        [(f.name, f.type, f.default) for f in fields[3:count]],
        array_like=True,
    )
    new = msgspec.structs.replace(
        helper_report(1), leaving=(fm.LeavingServer(ids.BackendId("e"), 1, 2),)
    )
    known = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=list)
    assert getattr(msgspec.convert(known, fm.EntryReport), newest) == getattr(
        new, newest
    )
    converted = msgspec.convert(known[:count], fm.EntryReport)
    assert getattr(converted, newest) == ()
    longer = msgspec.msgpack.encode(msgspec.to_builtins(new)[3:])
    assert msgspec.msgpack.decode(longer, type=older).limits == ()


def test_leaving_servers_outlive_the_report_and_its_instance():
    """Fault: an instance that started again sent work to a server that left.

    The other ones had not been told, or forgot it with its reports.
    """
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    hub.put(report("a", 1), direct=True)
    before = hub.change_number
    server = fm.LeavingServer(ids.BackendId("e1"), 5, 20)
    told = msgspec.structs.replace(report("a", 2), leaving=(server,))
    assert hub.put(told, direct=True)
    assert hub.change_number > before
    # What others pass on is no news, and makes no updates.
    passed_on = msgspec.structs.replace(told, number=3)
    assert not hub.put(passed_on, direct=False)
    hub.put(report("a", 1, boot="next"), direct=True)
    clock.advance(fleet_hub.REPORT_TTL_MS + 1)
    (left,) = first_update(hub, "a").leaving
    assert (left.backend_id, left.born) == ("e1", 5)
    assert left.age_ms == 20 + fleet_hub.REPORT_TTL_MS + 1
