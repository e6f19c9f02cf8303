"""Bench ``raft``: a seeded run of the Raft core under random faults."""

import random
import time

from oriolejunction.bench import raft_group
from oriolejunction.bench import result
from oriolejunction import errors
from oriolejunction import invariants

CHECK_EVERY = 50


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run random actions for `options.seconds` and count violations."""
    before = invariants.violation_count()
    group = raft_group.Group(options.seed)
    rng = random.Random(f"raft-{options.seed}")
    deadline_s = time.monotonic() + options.seconds
    actions = 0
    try:
        while time.monotonic() < deadline_s:
            for _ in range(CHECK_EVERY):
                apply_random_action(group, rng)
            actions += CHECK_EVERY
            group.check_log_matching()
    except errors.Failure:
        pass
    counts = group.counts
    return result.BenchResult(
        "raft",
        options.seed,
        {
            "steps": counts.steps,
            "actions": actions,
            "elections": counts.elections,
            "commits": counts.commits,
            "reads": counts.reads,
            "crashes": counts.crashes,
            "wipes": counts.wipes,
            "membership_changes": counts.membership_changes,
            "simulated_ms": int(group.now_ms),
        },
        invariants.violation_count() - before,
    )


def apply_random_action(group: raft_group.Group, rng: random.Random) -> None:
    """Apply one random action or fault to the group."""
    node = rng.choice(group.nodes())
    position = rng.randrange(raft_group.MAX_MESSAGES)
    action = rng.random()
    if action < 0.45:
        group.deliver(position, repeat=rng.random() < 0.1)
    elif action < 0.60:
        group.sync(node)
    elif action < 0.70:
        group.advance(rng.choice((1.0, 20.0, 100.0, 400.0)))
    elif action < 0.78:
        group.propose(node)
    elif action < 0.84:
        group.read(node)
    elif action < 0.88:
        group.drop_message(position)
    elif action < 0.90:
        group.run(rng.choice((100.0, 500.0, 2_000.0)), rng.choice((0, 0.1)))
    elif action < 0.93:
        group.restart(node)
    elif action < 0.94:
        group.crash(node, rng.random() < 0.5)
    elif action < 0.95:
        group.pause(node)
    elif action < 0.96:
        group.compact(node)
    elif action < 0.97:
        group.transfer(node, rng.choice(group.nodes()))
    elif action < 0.975:
        group.partitioned = {node.name}
    elif action < 0.985:
        group.partitioned = set()
    elif action < 0.987:
        group.wipe(node)
    else:
        group.repair_membership()
