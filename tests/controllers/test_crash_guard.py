"""Requests that crash engines are blocked; innocent ones are not."""

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import crash_guard
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import routing_table

POISON = ids.Fingerprint("poison")
ZONE = ids.ZoneId("z0")


def engine(number):
    return ids.BackendId(f"e{number}")


def crash(guard, clock, number, apart_ms=2_000.0, sent_ms=None):
    sent_ms = clock.now_ms() if sent_ms is None else sent_ms
    guard.record_crash(POISON, engine(number), ZONE, sent_ms)
    clock.advance(apart_ms)


def tell(clock, guard, *others, suspects=()):
    """Tell a guard, by a hub, what the others saw."""
    hub = fleet_hub.FleetHub(clock)
    for number, other in enumerate(others):
        instance = ids.InstanceId(f"i{number}")
        report = fm.EntryReport(
            instance,
            "b",
            1,
            suspects=suspects,
            crashes=other.crashes(),
            answered=other.answered(),
        )
        hub.put(report, direct=True)
    update = hub.update_for(ids.InstanceId("other"), fm.NO_CHANGE_SEEN)
    reply = fm.WatchReply(
        fresh=True,
        seen=update.seen,
        boot="b",
        table_version=routing_table.TableVersion(1),
        suspects=update.suspects,
        crashes=update.crashes,
        answered=update.answered,
    )
    listed = {
        backend_id: backends.Backend(
            backend_id, ids.ServiceName("llm"), "127.0.0.1:1", ZONE
        )
        for backend_id in suspects
    }
    view = fleet_view.apply_reply(fleet_view.FleetView(), reply, 0.0)
    guard.update_reported(view, listed)


def test_third_crash_blocks_the_request():
    clock = clocks.ManualClock(1_000.0)
    guard = crash_guard.CrashGuard(clock)
    for number in range(3):
        assert not guard.is_blocked(POISON)
        crash(guard, clock, number)
    assert guard.is_blocked(POISON)
    clock.advance(crash_guard.CRASH_TTL_MS)
    assert not guard.is_blocked(POISON)


def test_crashes_reported_by_others_count():
    clock = clocks.ManualClock(1_000.0)
    guard, one, two = (crash_guard.CrashGuard(clock) for _ in range(3))
    crash(guard, clock, 0)
    crash(one, clock, 1)
    tell(clock, guard, one)
    assert not guard.is_blocked(POISON)
    crash(two, clock, 2)
    tell(clock, guard, one, two)
    assert guard.is_blocked(POISON)


def test_crash_seen_by_several_instances_counts_once():
    """Load: an engine crashes while three instances send it a request."""
    clock = clocks.ManualClock(1_000.0)
    guard, *others = (crash_guard.CrashGuard(clock) for _ in range(4))
    for each in (guard, *others):
        crash(each, clock, 1)
    tell(clock, guard, *others)
    assert not guard.is_blocked(POISON)


def test_correlated_crashes_of_a_zone_do_not_count():
    """Load: five engines of a zone crash together, every few seconds."""
    clock = clocks.ManualClock(1_000.0)
    guard = crash_guard.CrashGuard(clock)
    for wave in range(4):
        for number in range(4):
            guard.record_loss(engine(f"{wave}{number}"), ZONE)
        crash(guard, clock, f"{wave}9", 6_000.0)
    assert not guard.is_blocked(POISON)


def test_crash_beside_losses_that_others_saw_does_not_count():
    """Load: each instance loses one engine of a zone that fails."""
    clock = clocks.ManualClock(1_000.0)
    guard, other = (crash_guard.CrashGuard(clock) for _ in range(2))
    for wave in range(3):
        crash(guard, clock, f"{wave}0", 200.0)
        tell(clock, guard, other, suspects=(engine(f"{wave}1"),))
        clock.advance(6_000.0)
    assert guard.crashes() == ()
    assert not guard.is_blocked(POISON)


def test_zone_lost_by_one_request_on_each_engine_does_not_block_it():
    """Load: callers share a request, and their zone's engines are lost."""
    clock = clocks.ManualClock(1_000.0)
    guard, *others = (crash_guard.CrashGuard(clock) for _ in range(4))
    for number, other in enumerate(others):
        crash(other, clock, number, 0.0, sent_ms=900.0)
    tell(clock, guard, *others, suspects=tuple(map(engine, range(3))))
    assert not guard.is_blocked(POISON)


def test_quick_retries_that_crash_one_zone_block_the_request():
    """Load: a request is retried at once at one instance after the other."""
    clock = clocks.ManualClock(1_000.0)
    guards = [crash_guard.CrashGuard(clock) for _ in range(3)]
    for number, guard in enumerate(guards):
        crash(guard, clock, number, 100.0)
        crashed = tuple(engine(each) for each in range(number + 1))
        for other in guards:
            tell(clock, other, *guards, suspects=crashed)
        clock.advance(100.0)
    assert all(guard.is_blocked(POISON) for guard in guards)


def test_crashes_of_the_same_engine_count_once():
    clock = clocks.ManualClock(1_000.0)
    guard = crash_guard.CrashGuard(clock)
    for _ in range(5):
        crash(guard, clock, 1)
    assert guard.crashes() == (fm.EngineCrash(POISON, engine(1)),)


def test_answer_at_any_instance_clears_a_request():
    """Load: an instance that just started meets only lost engines."""
    clock = clocks.ManualClock(1_000.0)
    guard, answering = (crash_guard.CrashGuard(clock) for _ in range(2))
    answering.record_answer(POISON)
    for number in range(3):
        crash(guard, clock, number)
    assert guard.is_blocked(POISON)
    tell(clock, answering, guard)
    assert not answering.is_blocked(POISON)
    tell(clock, guard, answering)
    assert not guard.is_blocked(POISON)
    clock.advance(crash_guard.CRASH_TTL_MS)
    tell(clock, guard, answering)
    for number in range(3, 6):
        crash(guard, clock, number)
    assert guard.is_blocked(POISON)
