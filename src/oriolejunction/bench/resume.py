"""Bench ``resume``: resume latency and extra tokens of each loss policy.

All policies run the same rounds of faults from one seed.
"""

import random

from oriolejunction.bench import result
from oriolejunction.bench import resume_rounds
from oriolejunction import clock as clocks
from oriolejunction.controllers import loss_policy
from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment

RESUME_BOUND_MS = 3_000.0
SLOWDOWNS = (0.5, 0.5, 1.0, 1.0, 2.0, 4.0)
POLICY_BY_NAME = {
    "restart": loss_policy.RESTART,
    "cold_continuation": loss_policy.FIXED,
    "adaptive_continuation": loss_policy.ADAPTIVE,
    "early_second_attempt": loss_policy.EARLY,
    "thrift": loss_policy.THRIFT,
}
BOUNDED_POLICIES = ("early_second_attempt", "thrift")
FAULTS = tuple(resume_rounds.RoundFault)


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run the same rounds under each loss policy."""
    figures: dict[str, object] = {}
    violations = 0
    for name, policy in POLICY_BY_NAME.items():
        figures[name], corrupt = await _measure_policy(policy, options.seed)
        violations += corrupt
        if name in BOUNDED_POLICIES and _exceeds_bound(figures[name]):
            violations += 1
    return result.BenchResult(
        "resume",
        options.seed,
        figures,
        violations + invariants.violation_count(),
    )


def _exceeds_bound(figures: dict[str, object]) -> bool:
    return figures["single_loss_p99_ms"] > RESUME_BOUND_MS


def _deployment_options(seed: int) -> local_deployment.LocalOptions:
    slowdowns = list(SLOWDOWNS)
    random.Random(seed).shuffle(slowdowns)
    zones = local_deployment.ZONES
    return local_deployment.LocalOptions(
        engines=tuple(
            local_deployment.LocalEngineOptions(
                zones[number % len(zones)], slowdown=slowdown
            )
            for number, slowdown in enumerate(slowdowns)
        )
    )


async def _measure_policy(
    policy: loss_policy.LossPolicy, seed: int
) -> tuple[dict[str, object], int]:
    async with local_deployment.run_deployment(
        _deployment_options(seed)
    ) as deployment:
        await demonstration.apply_sample_config(deployment)
        for instance in deployment.instances:
            instance.loss_policy.override = policy
        rounds = resume_rounds.Rounds(deployment, seed, clocks.SystemClock())
        counters = _Counters(deployment)
        await rounds.wait_until_engines_live()
        for fault in FAULTS:
            await rounds.run(fault)
            counters.sample()
        await rounds.close()
        return _figures(rounds.stats, counters), len(
            rounds.stats.broken_answers
        )


class _Counters:
    """Sums of the instances' counters; restarted instances stay counted."""

    def __init__(self, deployment: local_deployment.LocalDeployment) -> None:
        self._deployment = deployment
        self._value_by_source: dict[tuple[int, str], float] = {}

    def sample(self) -> None:
        """Record the current counters of all instances."""
        for instance in self._deployment.instances:
            telemetry = instance.telemetry
            for name in (
                "false_suspicions",
                "second_attempts",
                "reattached",
            ):
                counter = getattr(telemetry, name)
                total = sum(counter.values.store.values())
                self._value_by_source[id(telemetry), name] = total
            journals = instance.journals
            self._value_by_source[id(telemetry), "journal_tokens"] = (
                journals.tokens_sent
            )
            self._value_by_source[id(telemetry), "journal_bytes"] = (
                journals.bytes_sent
            )

    def total(self, name: str) -> float:
        """Return the sum of a counter over all instances."""
        return sum(
            value
            for (_, counter), value in self._value_by_source.items()
            if counter == name
        )

    def total_computed(self) -> int:
        """Return the tokens that the engines computed."""
        return sum(e.tokens_computed for e in self._deployment.engines)

    def total_prefilled_again(self) -> int:
        """Return the delivered tokens that engines prefilled again."""
        return sum(e.tokens_prefilled_again for e in self._deployment.engines)


def _figures(
    stats: resume_rounds.RoundStats, counters: _Counters
) -> dict[str, object]:
    useful = stats.useful_tokens()
    journal_tokens = counters.total("journal_tokens")
    per_token = counters.total("journal_bytes") / max(1.0, journal_tokens)
    return {
        **stats.resume_latencies.figures("resume"),
        "resumed": stats.resume_latencies.count,
        "single_loss_p99_ms": stats.single_loss_latencies.at_ms(99),
        "worst_ms_by_fault": stats.worst_ms_by_fault,
        "extra_tokens_by_fault": stats.extra_tokens_by_fault,
        "extra_tokens_per_useful_token": round(
            (counters.total_computed() - useful) / useful, 4
        ),
        "engine_loss_extra_tokens_per_useful_token": round(
            stats.engine_loss_extra_ratio(), 4
        ),
        "prefilled_again_per_useful_token": round(
            counters.total_prefilled_again() / useful, 4
        ),
        "journal_bytes_per_token": (
            round(per_token, 2) if journal_tokens else None
        ),
        "false_suspicions": counters.total("false_suspicions"),
        "second_attempts": counters.total("second_attempts"),
        "reattached": counters.total("reattached"),
        "broken": stats.broken_answers[:5],
    }
