"""Short soaks of the real programs, and seeds that failed in the past."""

import pytest

from tests.soak import schedule
from tests.soak import soak as soaks

LENGTH_S = 6.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_guarantees_hold_under_faults(tmp_path, seed):
    assert await soaks.Soak(tmp_path, seed).run(LENGTH_S) == []


async def test_guarantees_hold_after_an_interrupted_first_start(tmp_path):
    soak = soaks.Soak(tmp_path, 4, interrupt_start=True)
    assert await soak.run(LENGTH_S) == []


async def test_pauses_that_servers_ask_for_are_kept_under_faults(tmp_path):
    soak = soaks.Soak(tmp_path, 3, asks_for_pauses=True)
    assert await soak.run(LENGTH_S) == []


async def test_large_tables_and_odd_entries_under_faults(tmp_path):
    """Load: versions of thousands of routes follow each other."""
    soak = soaks.Soak(tmp_path, 6, has_large_tables=True, has_odd_entries=True)
    assert await soak.run(LENGTH_S) == []


# Seed 5: the proxy forwarded bytes after others that it had dropped.
# Seed 104: the platform's list could not be read at startup, and the task
# that reads it ended.
@pytest.mark.parametrize(("seed", "length_s"), [(5, 8.0), (104, 10.0)])
async def test_seed_that_failed_before(tmp_path, seed, length_s):
    assert await soaks.Soak(tmp_path, seed).run(length_s) == []


def test_same_seed_draws_the_same_faults():
    assert schedule.draw_faults(5, 30.0) == schedule.draw_faults(5, 30.0)
    assert schedule.draw_faults(5, 30.0) != schedule.draw_faults(6, 30.0)
    kinds = {e.fault for n in range(20) for e in schedule.draw_faults(n, 30.0)}
    assert kinds == set(schedule.Fault)
    assert schedule.draw_rests(5, 30.0) == schedule.draw_rests(5, 30.0)


def test_each_update_ends_with_the_new_build_everywhere():
    for seed in range(20):
        steps = schedule.draw_update(seed, controls=2, nodes=5)
        assert steps == schedule.draw_update(seed, controls=2, nodes=5)
        is_new_by_node = {step.node: step.is_new_build for step in steps}
        assert is_new_by_node == dict.fromkeys(range(5), True)
        assert not any(step.is_new_machine for step in steps)
        replaced = schedule.draw_update(seed, 2, 5, new_machines=True)
        assert any(step.is_new_machine for step in replaced)


async def test_stopped_servers_and_full_disks_under_faults(tmp_path):
    """Load: servers stand still for a second, and go on with what waited."""
    soak = soaks.Soak(tmp_path, 7, stops_servers=True, fills_disks=True)
    assert await soak.run(LENGTH_S) == []


def test_stops_and_full_disks_follow_each_other():
    for seed in range(20):
        stops = schedule.draw_stops(seed, 20.0, servers=6)
        disks = schedule.draw_full_disks(seed, 20.0, replicas=3)
        for events in (stops, disks):
            ends_s = [each.at_s + each.duration_s for each in events]
            assert all(
                end_s < later.at_s for end_s, later in zip(ends_s, events[1:])
            )
        assert {len(each.servers) for each in stops} <= {1, 3, 6}


# Callers got 502 for answers behind copies, at each of these seeds.
@pytest.mark.parametrize("seed", [62002, 62010])
async def test_repeated_answers_of_restarted_servers(tmp_path, seed):
    """Load: refusals come twice, and servers are back under new ids."""
    soak = soaks.Soak(tmp_path, seed, repeats_answers=True)
    assert await soak.run(LENGTH_S) == []


def test_restarts_of_servers_overlap():
    restarts = schedule.draw_restarts(1, 20.0, servers=2)
    assert any(
        later.at_s < earlier.at_s + earlier.lag_s
        for earlier, later in zip(restarts, restarts[1:])
        if earlier.server == later.server
    )
