"""Requests that crash engines are blocked; innocent ones are not."""

from oriolejunction import clock as clocks
from oriolejunction.controllers import crash_guard
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import routing_table

POISON = ids.Fingerprint("poison")
ZONE = ids.ZoneId("z0")


def crash(guard, clock, number, apart_ms=2_000.0):
    guard.record_crash(POISON, ids.BackendId(f"e{number}"), ZONE)
    clock.advance(apart_ms)


def reported(clock, *guards):
    """Return the crashes as the hub tells them to another instance."""
    hub = fleet_hub.FleetHub(clock)
    for number, guard in enumerate(guards):
        instance = ids.InstanceId(f"i{number}")
        hub.put(
            fm.EntryReport(instance, "b", 1, crashes=guard.crashes()),
            direct=True,
        )
    update = hub.update_for(ids.InstanceId("other"), fm.NO_CHANGE_SEEN)
    reply = fm.WatchReply(
        fresh=True,
        seen=update.seen,
        boot="b",
        table_version=routing_table.TableVersion(1),
        crashes=update.crashes,
    )
    view = fleet_view.apply_reply(fleet_view.FleetView(), reply, 0.0)
    return view.crashes_by_request


def test_third_crash_blocks_the_request():
    clock = clocks.ManualClock(1_000.0)
    guard = crash_guard.CrashGuard(clock)
    for number in range(3):
        assert not guard.is_blocked(POISON, {})
        crash(guard, clock, number)
    assert guard.is_blocked(POISON, {})
    clock.advance(crash_guard.CRASH_TTL_MS)
    assert not guard.is_blocked(POISON, {})


def test_crashes_reported_by_others_count():
    clock = clocks.ManualClock(1_000.0)
    guard, one, two = (crash_guard.CrashGuard(clock) for _ in range(3))
    crash(guard, clock, 0)
    crash(one, clock, 1)
    assert not guard.is_blocked(POISON, reported(clock, one))
    crash(two, clock, 2)
    assert guard.is_blocked(POISON, reported(clock, one, two))


def test_crash_seen_by_several_instances_counts_once():
    """Load: an engine crashes while three instances send it a request."""
    clock = clocks.ManualClock(1_000.0)
    guard, *others = (crash_guard.CrashGuard(clock) for _ in range(4))
    for each in (guard, *others):
        crash(each, clock, 1)
    assert not guard.is_blocked(POISON, reported(clock, *others))


def test_correlated_crashes_of_a_zone_do_not_count():
    """Load: five engines of a zone crash together, every few seconds."""
    clock = clocks.ManualClock(1_000.0)
    guard = crash_guard.CrashGuard(clock)
    for wave in range(4):
        for number in range(4):
            guard.record_loss(ids.BackendId(f"e{wave}{number}"), ZONE)
        crash(guard, clock, f"{wave}9", 6_000.0)
    assert not guard.is_blocked(POISON, {})


def test_crashes_of_the_same_engine_count_once():
    clock = clocks.ManualClock(1_000.0)
    guard = crash_guard.CrashGuard(clock)
    for _ in range(5):
        crash(guard, clock, 1)
    assert guard.crashes() == (fm.EngineCrash(POISON, ids.BackendId("e1")),)
