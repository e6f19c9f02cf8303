"""Rollouts in virtual time, with the real decisions of both sides."""

import random

import pytest

from oriolejunction.bench import rollout
from oriolejunction.bench import rollout_entry
from oriolejunction.bench import rollout_servers
from oriolejunction.bench import rollout_world
from oriolejunction.standin import version_faults
from oriolejunction import states


def roll_out(kind, load=rollout_servers.CALLS, **changes):
    """Run one rollout of a kind of version."""
    setup = rollout_entry.Setup(
        load, rollout.FAULT_BY_KIND[kind], has_crashes=True, seed=3, **changes
    )
    return rollout_world.World(setup).run()


@pytest.mark.parametrize(
    "load", [rollout_servers.CALLS, rollout_servers.STREAMS]
)
@pytest.mark.parametrize("kind", ["fails", "slow"])
def test_bad_versions_stay_within_the_bound(kind, load):
    """Fails if both sides together exceed the exposure bound."""
    outcome = roll_out(kind, load, loses_leader=True, restarts_instances=True)
    assert outcome.state is states.RolloutState.ROLLED_BACK
    bounds = rollout_entry.BOUNDS
    assert (
        0
        < outcome.exposed
        <= (
            bounds.exposure_share * outcome.requests
            + bounds.exposure_tolerance
        )
    )
    assert (outcome.mixed, outcome.after_end) == (0, 0)


def test_a_good_version_of_calls_completes_in_time():
    """Fails if allowances are not used, or routes stay uncovered."""
    outcome = roll_out("good")
    assert outcome.state is states.RolloutState.COMPLETED
    assert outcome.ended_ms <= 12_000.0
    assert (outcome.mixed, outcome.after_end) == (0, 0)


@pytest.mark.parametrize(
    ("fault", "age_ms", "running", "route", "is_bad"),
    [
        (version_faults.NO_FAULT, 9e9, 99, "look", False),
        (version_faults.VersionFault(failing=1.0), 0.0, 1, "look", True),
        (version_faults.VersionFault(slow=1.0), 0.0, 1, "look", True),
        (version_faults.VersionFault(1.0, after_ms=5.0), 4.0, 1, "x", False),
        (version_faults.VersionFault(1.0, min_running=2), 0.0, 1, "x", False),
        (version_faults.VersionFault(1.0, route="y"), 0.0, 1, "x", False),
    ],
)
def test_versions_are_bad_where_their_fault_says(
    fault, age_ms, running, route, is_bad
):
    """Fails if a stand-in's fault shows at the wrong time or place."""
    rng = random.Random(1)
    answer = version_faults.draw(fault, age_ms, running, route, rng)
    assert answer.is_bad is is_bad
