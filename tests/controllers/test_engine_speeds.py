"""Speeds of engines whose streams are slowed by prefills of others."""

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import engine_speeds
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

FAST, SLOW, NEW = (ids.BackendId(name) for name in ("fast", "slow", "new"))


def speeds_of(clock=None):
    return engine_speeds.EngineSpeeds(clock or clocks.ManualClock())


def test_neighbours_prefill_does_not_make_an_engine_look_slow():
    """Load: gaps rise from 20 to 160 ms during another stream's prefill."""
    speeds = speeds_of()
    for gap_ms in [20.0] * 12 + [160.0] * 5 + [20.0] * 3:
        speeds.add_gap(FAST, gap_ms)
    assert speeds.event_ms(FAST) == 20.0


def test_engine_that_turns_slow_is_known_within_ten_events():
    """Load: an engine becomes 3.5 times slower in the middle of a stream."""
    speeds = speeds_of()
    for gap_ms in [20.0] * 100 + [70.0] * 10:
        speeds.add_gap(FAST, gap_ms)
    assert speeds.event_ms(FAST) == 70.0


def test_newer_observations_of_others_replace_old_own_ones():
    """Load: an engine turned slow after this instance last used it."""
    clock = clocks.ManualClock()
    speeds = speeds_of(clock)
    for _ in range(8):
        speeds.add_gap(FAST, 20.0)
    speeds.update_reported({FAST: fm.EngineSpeed(FAST, 70.0, 0.0)})
    assert speeds.event_ms(FAST) == 20.0
    clock.advance(engine_speeds.FRESH_MS + 1.0)
    assert speeds.event_ms(FAST) == 70.0


def test_prefill_of_an_engine_known_by_its_events_is_estimated():
    """Load: engines are replaced, and their first prefills met others."""
    speeds = speeds_of()
    speeds.update_reported(
        {
            FAST: fm.EngineSpeed(FAST, 20.0, 90.0),
            NEW: fm.EngineSpeed(NEW, 20.0, 90.0),
            SLOW: fm.EngineSpeed(SLOW, 50.0, 0.0),
        }
    )
    assert speeds.prefill_ms_per_k(SLOW) == 225.0


def test_engine_back_on_its_machine_is_as_fast_as_before():
    """Load: a zone's engines crash and return as new incarnations."""
    speeds = speeds_of()
    before, after = backend(SLOW, "10.0.0.1:1"), backend(NEW, "10.0.0.1:1")
    other = backend(FAST, "10.0.0.2:1", "desk")
    speeds.update_listed({SLOW: before})
    for _ in range(8):
        speeds.add_gap(SLOW, 70.0)
    speeds.add_prefill(SLOW, 8_000, 2_400.0)
    speeds.update_listed({FAST: other})
    speeds.update_listed({FAST: other, NEW: after})
    assert speeds.event_ms(NEW) == 70.0
    assert speeds.prefill_ms_per_k(NEW) == 300.0


def test_engine_on_an_address_of_another_service_inherits_nothing():
    """Load: addresses are used again by engines of other services."""
    speeds = speeds_of()
    speeds.update_listed({SLOW: backend(SLOW, "10.0.0.1:1", "desk")})
    for _ in range(8):
        speeds.add_gap(SLOW, 70.0)
    speeds.update_listed({NEW: backend(NEW, "10.0.0.1:1")})
    unknown_ms = engine_speeds.UNKNOWN_FACTOR * speeds.typical_event_ms()
    assert speeds.event_ms(NEW) == unknown_ms


def backend(backend_id, address, service="llm"):
    return backends.Backend(
        backend_id, ids.ServiceName(service), address, ids.ZoneId("z0")
    )
