"""Requests that crash engines are blocked; innocent ones are not."""

from oriolejunction import clock as clocks
from oriolejunction.controllers import crash_guard
from oriolejunction import ids

POISON = ids.Fingerprint("poison")
ZONE = ids.ZoneId("z0")


def crash(guard, clock, number, apart_ms=2_000.0):
    guard.record_crash(POISON, ids.BackendId(f"e{number}"), ZONE)
    clock.advance(apart_ms)


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
    guard = crash_guard.CrashGuard(clock)
    crash(guard, clock, 0)
    assert not guard.is_blocked(POISON, {POISON: 1})
    assert guard.is_blocked(POISON, {POISON: 2})


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
    assert guard.crashes() == {POISON: 1}
