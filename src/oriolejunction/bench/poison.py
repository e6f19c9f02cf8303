"""Bench ``poison``: requests that crash each engine that runs them.

Each poisonous request is sent `MAX_SENDS` times, through one entry instance
after the other. Innocent requests run at the same time.
"""

import asyncio
import collections
import random

import aiohttp

from oriolejunction.bench import result
from oriolejunction.bench import timed_request
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment
from oriolejunction import serving

MARKER = "[[poison]]"
ENGINES = 12
RESTART_MS = 1_500
POISONOUS_REQUESTS = 3
POISON_INTERVAL_S = 4.0
MAX_SENDS = 6
RESEND_DELAY_S = 0.3
MAX_LOST_ENGINES = 2
INNOCENT_PER_S = 8.0
RUN_S = 14.0
WARM_UP_S = 1.5
QUARANTINED = "request_quarantined"


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Send the same requests under each quarantine policy."""
    figures: dict[str, object] = {}
    violations = 0
    for policy in quarantines.QuarantinePolicy:
        figures[policy.value], violated = await _serve(policy, options.seed)
        violations += violated
    isolating = figures[quarantines.QuarantinePolicy.ISOLATE.value]
    max_lost = isolating["engines_lost_per_poisonous_max"]
    violations += max(0, max_lost - MAX_LOST_ENGINES)
    violations += isolating["innocent_quarantined"]
    return result.BenchResult("poison", options.seed, figures, violations)


def _plan_innocent_requests(seed: int) -> list[timed_request.PlannedRequest]:
    rng = random.Random(seed)
    requests = []
    for number, at_ms in enumerate(
        timed_request.poisson_arrivals(rng, INNOCENT_PER_S, RUN_S)
    ):
        tokens = rng.choice((30, 60, 400))
        prompt = f"innocent {number} [[length={tokens}]]"
        requests.append(
            timed_request.PlannedRequest(at_ms, "hakata", prompt, tokens)
        )
    return requests


async def _serve(
    policy: quarantines.QuarantinePolicy, seed: int
) -> tuple[dict[str, object], int]:
    zones = local_deployment.ZONES
    options = local_deployment.LocalOptions(
        engines=tuple(
            local_deployment.LocalEngineOptions(
                zones[number % len(zones)], 2.0
            )
            for number in range(ENGINES)
        ),
        serving_options=serving.ServingOptions(quarantine_policy=policy),
    )
    before = invariants.violation_count()
    async with local_deployment.run_deployment(options) as deployment:
        await demonstration.apply_sample_config(deployment)
        await asyncio.sleep(WARM_UP_S)
        await _inject_poison_fault(deployment)
        innocent, lost_engines = await asyncio.gather(
            timed_request.send_all(
                deployment.addresses, _plan_innocent_requests(seed)
            ),
            _send_poison(deployment),
        )
        false_refusals = timed_request.count_false_not_run(
            innocent, deployment
        )
        crashes = sum(engine.faults.crashes for engine in deployment.engines)
    corrupt = sum(answer.is_corrupt for answer in innocent)
    codes = collections.Counter(
        answer.error_code for answer in innocent if answer.error_code
    )
    violated = invariants.violation_count() - before
    figures = {
        "engines_lost": crashes,
        "engines_lost_per_poisonous_max": max(lost_engines),
        "innocent_requests": len(innocent),
        "innocent_quarantined": codes[QUARANTINED],
        "innocent_failed": sum(codes.values()) - codes[QUARANTINED],
        "innocent_codes": dict(codes),
        "false_not_run": false_refusals,
        "broken_answers": corrupt,
    }
    return figures, false_refusals + corrupt + violated


async def _inject_poison_fault(
    deployment: local_deployment.LocalDeployment,
) -> None:
    fault = {"kind": "poison", "marker": MARKER, "duration_ms": RESTART_MS}
    async with aiohttp.ClientSession() as session:
        for url in deployment.addresses.engine_urls:
            await session.post(url + "/fault", json=fault)


async def _send_poison(
    deployment: local_deployment.LocalDeployment,
) -> list[int]:
    """Return the number of engines that each poisonous request crashed."""
    async with aiohttp.ClientSession() as session:
        return await asyncio.gather(
            *(
                _resend_poisonous(session, deployment, n)
                for n in range(POISONOUS_REQUESTS)
            )
        )


async def _resend_poisonous(
    session: aiohttp.ClientSession,
    deployment: local_deployment.LocalDeployment,
    number: int,
) -> int:
    await asyncio.sleep(number * POISON_INTERVAL_S)
    prompt = f"poison {number} {MARKER} [[length=50]]"
    request = timed_request.PlannedRequest(0.0, "aso", prompt, 50)
    urls = deployment.addresses.callers_urls
    for attempt in range(MAX_SENDS):
        url = urls[(number + attempt) % len(urls)]
        await timed_request.send(session, deployment.addresses, url, request)
        await asyncio.sleep(RESEND_DELAY_S)
    return sum(engine.runs_by_prompt[prompt] for engine in deployment.engines)
