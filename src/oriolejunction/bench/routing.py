"""Routing over engines of unequal speed with reports that lag.

Each policy serves the same arrivals; one of the fast engines is leaving
from a third of the run on.
"""

import asyncio
import random

import aiohttp

from oriolejunction.bench import result
from oriolejunction.bench import timed_request
from oriolejunction.controllers import admission as admissions
from oriolejunction.controllers import routing
from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment
from oriolejunction import serving

SLOWDOWNS = (1.0, 1.0, 2.0, 2.0, 4.0, 8.0)
MAX_RUNNING = 8
REPORT_LAG_MS = 2_000.0
PREFILL_MS_PER_TOKEN = 0.1
CACHE_BLOCKS = 150
REQUESTS_PER_S = 14.0
PREFIXES = 12
PREFIX_CHARACTERS = 1_920
MAX_RUN_S = 12.0
WARM_UP_S = 1.5
LEAVING_LIMIT_MS = 3_000.0
POLICIES = (
    routing.RoutingPolicy.SCORED,
    routing.RoutingPolicy.RANDOM,
    routing.RoutingPolicy.ROUND_ROBIN,
)


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Serve the same arrivals under each policy."""
    seconds = min(options.seconds, MAX_RUN_S)
    asks = _plan_requests(options.seed, seconds)
    figures: dict[str, object] = {"requests": len(asks)}
    violations = 0
    for policy in POLICIES:
        figures[policy.value], broken = await _serve(policy, asks, seconds)
        violations += broken
    return result.BenchResult("routing", options.seed, figures, violations)


def _plan_requests(
    seed: int, seconds: float
) -> list[timed_request.PlannedRequest]:
    rng = random.Random(seed)
    prefixes = [
        "".join(rng.choices("abcdefgh ", k=PREFIX_CHARACTERS))
        for _ in range(PREFIXES)
    ]
    asks = []
    times = timed_request.poisson_arrivals(rng, REQUESTS_PER_S, seconds)
    for number, at_ms in enumerate(times):
        tokens = rng.randint(20, 80)
        prompt = f"{rng.choice(prefixes)} {number} [[length={tokens}]]"
        asks.append(
            timed_request.PlannedRequest(at_ms, "hakata", prompt, tokens)
        )
    return asks


def _deployment_options(
    policy: routing.RoutingPolicy,
) -> local_deployment.LocalOptions:
    zones = local_deployment.ZONES
    return local_deployment.LocalOptions(
        engines=tuple(
            local_deployment.LocalEngineOptions(
                zone=zones[number % len(zones)],
                slowdown=slowdown,
                max_running=MAX_RUNNING,
                report_lag_ms=REPORT_LAG_MS,
                prefill_ms_per_token=PREFILL_MS_PER_TOKEN,
                cache_blocks=CACHE_BLOCKS,
            )
            for number, slowdown in enumerate(SLOWDOWNS)
        ),
        serving_options=serving.ServingOptions(
            routing_policy=policy,
            admission_policy=admissions.AdmissionPolicy.NONE,
        ),
    )


async def _serve(
    policy: routing.RoutingPolicy,
    asks: list[timed_request.PlannedRequest],
    seconds: float,
) -> tuple[dict[str, object], int]:
    before = invariants.violation_count()
    async with local_deployment.run_deployment(
        _deployment_options(policy)
    ) as local:
        await demonstration.apply_sample_config(local)
        await asyncio.sleep(WARM_UP_S)
        leaving = asyncio.create_task(_leave(local, seconds / 3.0))
        seen = await timed_request.send_all(local.addresses, asks)
        await leaving
        late = sum(
            since_ms > LEAVING_LIMIT_MS
            for since_ms in local.engines[0].requests_after_leaving
        )
        sent = sum(engine.requests_run for engine in local.engines)
        false_refusals = timed_request.count_false_not_run(seen, local)
    broken = sum(one.is_corrupt for one in seen)
    figures = _figures(seen) | {
        "leaving_work_share_after_3s": late / max(1, sent),
        "false_not_run": false_refusals,
        "broken_answers": broken,
        "failed": sum(bool(one.error_code) for one in seen),
    }
    violated = invariants.violation_count() - before
    return figures, late + false_refusals + broken + violated


async def _leave(
    local: local_deployment.LocalDeployment, after_s: float
) -> None:
    await asyncio.sleep(after_s)
    async with aiohttp.ClientSession() as session:
        await session.post(
            local.addresses.engine_urls[0] + "/fault", json={"kind": "leave"}
        )


def _figures(seen: list[timed_request.RequestResult]) -> dict[str, object]:
    first, between = result.Latencies(), result.Latencies()
    for one in seen:
        if one.first_token_ms is not None:
            first.record(one.first_token_ms)
        for gap_ms in one.gaps_ms:
            between.record(gap_ms)
    return first.figures("first_token") | between.figures("between_tokens")
