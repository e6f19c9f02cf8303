"""Bench ``rollout``: many rollouts of good and bad versions, in virtual time.

Each kind of version is rolled out to a service of streams and to one of
calls, with and without crashes of a zone, at times while the control leader
is lost and instances restart.
"""

import collections
import random
import time

import msgspec

from oriolejunction.bench import result
from oriolejunction.bench import rollout_entry
from oriolejunction.bench import rollout_servers as servers
from oriolejunction.bench import rollout_world
from oriolejunction.standin import version_faults
from oriolejunction import states

GOOD = "good"
FAULT_BY_KIND = {
    GOOD: version_faults.NO_FAULT,
    "fails": version_faults.VersionFault(failing=0.4),
    "fails_all": version_faults.VersionFault(failing=1.0),
    "slow": version_faults.VersionFault(slow=0.7),
    "fails_later": version_faults.VersionFault(failing=0.5, after_ms=4_000.0),
    "fails_under_load": version_faults.VersionFault(
        failing=0.6, min_running=3
    ),
    "slow_on_one_route": version_faults.VersionFault(slow=0.9, route="chat"),
    "fails_on_one_route": version_faults.VersionFault(
        failing=0.7, route="order"
    ),
}
# Rollouts of each kind, service and crash setting.
GOOD_ROUNDS, BAD_ROUNDS = 25, 4
# Aims of the design page.
MAX_EXPOSURE_PART = 0.7
MAX_ROLLBACK_PART = 0.5
MAX_COMPLETION_PART = 0.9
_Run = tuple[rollout_entry.Setup, rollout_entry.Outcome]


def easier(fault: version_faults.VersionFault) -> version_faults.VersionFault:
    """Return a fault that shows with less load: a call runs for 0.1 s."""
    return msgspec.structs.replace(
        fault, min_running=min(2, fault.min_running)
    )


def setups(seed: int) -> list[tuple[str, rollout_entry.Setup]]:
    """Return the rollouts of a run, with the kind of each version."""
    planned = []
    for kind, fault in FAULT_BY_KIND.items():
        for load in (servers.STREAMS, servers.CALLS):
            if fault.route and fault.route not in load.per_s_by_route:
                continue
            rounds = GOOD_ROUNDS if kind == GOOD else BAD_ROUNDS
            for number in range(2 * rounds):
                planned.append(
                    (
                        kind,
                        rollout_entry.Setup(
                            load,
                            fault if load.is_stream else easier(fault),
                            has_crashes=number % 2 == 1,
                            seed=seed * 10_000 + len(planned),
                            loses_leader=number % 5 == 4,
                            restarts_instances=number % 7 == 6,
                        ),
                    )
                )
    return planned


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run the rollouts until the time is up, at least one of each kind."""
    until_s = time.monotonic() + options.seconds
    runs: dict[str, list[_Run]] = collections.defaultdict(list)
    planned = setups(options.seed)
    # Each kind gets its part of the time.
    random.Random(options.seed).shuffle(planned)
    for kind, setup in planned:
        if runs[kind] and time.monotonic() > until_s:
            continue
        runs[kind].append((setup, rollout_world.World(setup).run()))
    figures: dict[str, object] = {
        "planned": len(planned),
        "rollouts": sum(map(len, runs.values())),
    }
    for kind in FAULT_BY_KIND:
        figures[kind] = _figures(kind, runs[kind])
    figures["all_bad"] = _figures(
        "all_bad",
        [run for kind, each in runs.items() if kind != GOOD for run in each],
    )
    violations = sum(
        _violations(kind, *each) for kind in runs for each in runs[kind]
    )
    return result.BenchResult("rollout", options.seed, figures, violations)


def _exposure_part(outcome: rollout_entry.Outcome) -> float:
    """Return the requests at the target as a part of their bound."""
    bounds = rollout_entry.BOUNDS
    return outcome.exposed / (
        bounds.exposure_share * outcome.requests + bounds.exposure_tolerance
    )


def _rollback_ms(outcome: rollout_entry.Outcome) -> float:
    """Return the time from the 50th bad answer to the last request."""
    if outcome.bad_50_ms is None or outcome.last_target_ms is None:
        return 0.0
    return max(0.0, outcome.last_target_ms - outcome.bad_50_ms)


def _violations(
    kind: str, setup: rollout_entry.Setup, outcome: rollout_entry.Outcome
) -> int:
    """Return how many rules a rollout broke."""
    broken = outcome.mixed + outcome.after_end
    if kind != GOOD and outcome.bad:
        rollback_ms = rollout_entry.BOUNDS.rollback_ms
        broken += _exposure_part(outcome) > 1.0
        broken += _rollback_ms(outcome) > rollback_ms
    return broken


def _figures(kind: str, runs: list[_Run]) -> dict[str, object]:
    """Return the figures of the rollouts of one kind of version."""
    outcomes = [outcome for _, outcome in runs]
    states_seen = collections.Counter(each.state.value for each in outcomes)
    figures: dict[str, object] = {
        "rollouts": len(runs),
        **{
            state.value: states_seen[state.value]
            for state in states.RolloutState
        },
        "sent_after_end": sum(each.after_end for each in outcomes),
        "mixed_streams": sum(each.mixed for each in outcomes),
    }
    if kind == GOOD:
        parts = sorted(
            outcome.ended_ms / setup.duration_ms
            for setup, outcome in runs
            if outcome.state is states.RolloutState.COMPLETED
        )
        figures["completion_part_p99"] = _quantile(parts, 0.99)
        figures["completion_part_worst"] = _quantile(parts, 1.0)
        figures["completed_in_time"] = sum(
            part <= MAX_COMPLETION_PART for part in parts
        )
        figures["requests_broken_by_completion"] = sum(
            each.broken for each in outcomes
        )
        return figures
    exposed = sorted(_exposure_part(each) for each in outcomes)
    rollback_ms = sorted(_rollback_ms(each) for each in outcomes)
    figures["exposure_part_p99"] = _quantile(exposed, 0.99)
    figures["exposure_part_worst"] = _quantile(exposed, 1.0)
    figures["rollback_p99_ms"] = _quantile(rollback_ms, 0.99)
    figures["rollback_worst_ms"] = _quantile(rollback_ms, 1.0)
    figures["above_aims"] = sum(
        _exposure_part(each) > MAX_EXPOSURE_PART
        or _rollback_ms(each)
        > MAX_ROLLBACK_PART * rollout_entry.BOUNDS.rollback_ms
        for each in outcomes
    )
    figures["without_bad_answer"] = sum(not each.bad for each in outcomes)
    return figures


def _quantile(ordered: list[float], part: float) -> float | None:
    if not ordered:
        return None
    index = min(len(ordered) - 1, int(part * len(ordered)))
    return round(ordered[index], 3)
