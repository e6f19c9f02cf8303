"""Choice of plain servers by stated loads, for many instances at once."""

import random

import pytest

from oriolejunction import backends
from oriolejunction.bench import call_simulation
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import backend_health
from oriolejunction.controllers import backend_view
from oriolejunction.controllers import engine_speeds
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import reported_loads
from oriolejunction.controllers.overload import server_departures
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers.overload import server_limits
from oriolejunction.controllers.overload import server_pauses
from oriolejunction.controllers import rollout_gate
from oriolejunction.controllers import rollout_use
from oriolejunction import gateway_messages
from oriolejunction import ids

DESK = ids.ServiceName("desk")
DURATION_MS = 8_000.0


def run(uses_loads, **load):
    return call_simulation.Simulation(uses_loads, **load).run(DURATION_MS)


@pytest.mark.parametrize(
    "load",
    [
        {"per_s": 260.0, "speeds": (0.7, 0.7, 1.7, 1.0)},
        {"per_s": 200.0, "speeds": (1.0, 1.0, 1.0, 4.0)},
    ],
)
def test_slower_servers_get_fewer_calls(load):
    """Load: 68 instances, some three calls a second each, uneven servers."""
    by_own, by_reported = run(False, **load), run(True, **load)
    assert by_reported.late < 0.6 * by_own.late
    assert by_reported.most_by_server < by_own.most_by_server


def test_instances_do_not_all_choose_the_same_server():
    """Load: figures that are a second old, at 0.8 of the capacity."""
    result = run(True, per_s=330.0)
    assert result.rejections == 0
    assert result.late < 0.03 * result.calls


def test_calls_use_other_zones_before_they_wait_in_their_own():
    """Load: one zone has twice the calls that its server can run."""
    load = {"per_s": 260.0, "speeds": (1.0, 1.0, 1.0), "wave": 0.9}
    assert in_time_in_worst_zone(run(True, **load)) > in_time_in_worst_zone(
        run(False, **load)
    )
    calm = run(True, per_s=60.0, wave=0.0)
    assert calm.cross_zone < 0.15 * calm.calls


def in_time_in_worst_zone(result):
    return min(
        1 - result.missed_by_zone[zone] / result.calls_by_zone[zone]
        for zone in range(3)
    )


def test_calls_turned_away_in_a_burst_are_held_back_and_served():
    """Load: bursts of more calls than all servers have room for."""
    burst = {"per_s": 150.0, "burst": 140}
    sent_on, held = run(True, hold_ms=0.0, **burst), run(True, **burst)
    assert held.rejections < 0.8 * sent_on.rejections
    assert held.failed < 0.3 * sent_on.failed


def test_choices_without_stated_loads_are_as_before():
    """Each choice, and the use of random numbers, must be the same."""
    clock = clocks.ManualClock()
    blackboard = blackboards.Blackboard()
    listed = {
        ids.BackendId(f"s{n}"): backends.Backend(
            ids.BackendId(f"s{n}"), DESK, f"s{n}", ids.ZoneId(f"z{n % 3}")
        )
        for n in range(4)
    }
    blackboard.backends.claim_writer("test")(
        backends.BackendSnapshot(listed, 0.0)
    )
    own, health = load_table.LoadTable(), backend_health.BackendHealth(clock)
    rng, former_rng = random.Random(3), random.Random(3)
    loads = reported_loads.ReportedLoads(clock, rng)
    view = backend_view.BackendView(
        blackboard,
        own,
        engine_speeds.EngineSpeeds(clock),
        health,
        server_intake.ServerIntake(
            server_limits.ServerLimits(
                clock, random.Random(4), lambda _: 1.0, lambda: True
            ),
            server_pauses.ServerPauses(clock, random.Random(4)),
            server_departures.ServerDepartures(clock),
        ),
        loads,
        ids.ZoneId("z1"),
        rng,
        rollout_gate.RolloutGate(clock, None, 0),
    )
    use = rollout_use.RolloutUse(DESK, "r", is_stream=False)

    def former_cost(backend):
        return (
            own.calls(backend.backend_id)
            + 4.0 * health.failure_rate(backend.backend_id)
            + 0.4 * (backend.zone != "z1")
            + former_rng.uniform(0, 0.2)
        )

    for step in range(500):
        chosen = view.choose_for_call(use)
        assert chosen is min(listed.values(), key=former_cost)
        own.begin_call(chosen.backend_id)
        if step % 3 == 0:
            health.record_outcome(chosen.backend_id, step % 2 == 0)
            own.end_call(chosen.backend_id)
            loads.observe(chosen.backend_id, None, 0, step % 5 == 0, 0.0)
        clock.advance(20)
    assert rng.getstate() == former_rng.getstate()
    loads.observe(
        chosen.backend_id, gateway_messages.ServerLoad(1, 0, 6), 0, False, 0.0
    )
    assert loads.are_known
