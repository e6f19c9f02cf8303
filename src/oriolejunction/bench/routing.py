"""Bench ``routing``: engines of unequal speed with delayed load reports.

Each policy serves the same arrivals. One of the fast engines starts to
leave after a third of the run.
"""

import asyncio
import random

import aiohttp

from oriolejunction.bench import result
from oriolejunction.bench import timed_request
from oriolejunction.controllers.overload import admission as admissions
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
    """Serve the same arrivals under each routing policy."""
    seconds = min(options.seconds, MAX_RUN_S)
    requests = _plan_requests(options.seed, seconds)
    figures: dict[str, object] = {"requests": len(requests)}
    violations = 0
    for policy in POLICIES:
        figures[policy.value], violated = await _serve(
            policy, requests, seconds
        )
        violations += violated
    return result.BenchResult("routing", options.seed, figures, violations)


def _plan_requests(
    seed: int, seconds: float
) -> list[timed_request.PlannedRequest]:
    rng = random.Random(seed)
    prefixes = [
        "".join(rng.choices("abcdefgh ", k=PREFIX_CHARACTERS))
        for _ in range(PREFIXES)
    ]
    requests = []
    times = timed_request.poisson_arrivals(rng, REQUESTS_PER_S, seconds)
    for number, at_ms in enumerate(times):
        tokens = rng.randint(20, 80)
        prompt = f"{rng.choice(prefixes)} {number} [[length={tokens}]]"
        requests.append(
            timed_request.PlannedRequest(at_ms, "hakata", prompt, tokens)
        )
    return requests


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
    requests: list[timed_request.PlannedRequest],
    seconds: float,
) -> tuple[dict[str, object], int]:
    before = invariants.violation_count()
    async with local_deployment.run_deployment(
        _deployment_options(policy)
    ) as deployment:
        await demonstration.apply_sample_config(deployment)
        await asyncio.sleep(WARM_UP_S)
        leaving = asyncio.create_task(
            _start_leaving(deployment, seconds / 3.0)
        )
        answers = await timed_request.send_all(deployment.addresses, requests)
        await leaving
        late_requests = sum(
            since_ms > LEAVING_LIMIT_MS
            for since_ms in deployment.engines[0].requests_after_leaving
        )
        sent = sum(engine.requests_run for engine in deployment.engines)
        false_refusals = timed_request.count_false_not_run(answers, deployment)
    corrupt = sum(answer.is_corrupt for answer in answers)
    figures = _figures(answers) | {
        "leaving_work_share_after_3s": late_requests / max(1, sent),
        "false_not_run": false_refusals,
        "broken_answers": corrupt,
        "failed": sum(bool(answer.error_code) for answer in answers),
    }
    violated = invariants.violation_count() - before
    return figures, late_requests + false_refusals + corrupt + violated


async def _start_leaving(
    deployment: local_deployment.LocalDeployment, after_s: float
) -> None:
    await asyncio.sleep(after_s)
    async with aiohttp.ClientSession() as session:
        await session.post(
            deployment.addresses.engine_urls[0] + "/fault",
            json={"kind": "leave"},
        )


def _figures(answers: list[timed_request.RequestResult]) -> dict[str, object]:
    first_token, between_tokens = result.Latencies(), result.Latencies()
    for answer in answers:
        if answer.first_token_ms is not None:
            first_token.record(answer.first_token_ms)
        for gap_ms in answer.gaps_ms:
            between_tokens.record(gap_ms)
    return first_token.figures("first_token") | between_tokens.figures(
        "between_tokens"
    )
