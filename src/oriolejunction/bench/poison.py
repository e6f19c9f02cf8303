"""Requests that crash each engine which runs them, sent again and again.

Innocent requests run beside them. Each poisonous request is resent through
one instance after the other until it is refused or its caller gives up.
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
    """Send the same requests with and without quarantine."""
    figures: dict[str, object] = {}
    violations = 0
    for policy in quarantines.QuarantinePolicy:
        figures[policy.value], broken = await _serve(policy, options.seed)
        violations += broken
    isolated = figures[quarantines.QuarantinePolicy.ISOLATE.value]
    most_lost = isolated["engines_lost_per_poisonous_max"]
    violations += max(0, most_lost - MAX_LOST_ENGINES)
    violations += isolated["innocent_quarantined"]
    return result.BenchResult("poison", options.seed, figures, violations)


def _plan_innocent_requests(seed: int) -> list[timed_request.PlannedRequest]:
    rng = random.Random(seed)
    asks = []
    for number, at_ms in enumerate(
        timed_request.poisson_arrivals(rng, INNOCENT_PER_S, RUN_S)
    ):
        tokens = rng.choice((30, 60, 400))
        prompt = f"innocent {number} [[length={tokens}]]"
        asks.append(
            timed_request.PlannedRequest(at_ms, "hakata", prompt, tokens)
        )
    return asks


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
    async with local_deployment.run_deployment(options) as local:
        await demonstration.apply_sample_config(local)
        await asyncio.sleep(WARM_UP_S)
        await _poison_engines(local)
        innocent, lost = await asyncio.gather(
            timed_request.send_all(
                local.addresses, _plan_innocent_requests(seed)
            ),
            _send_poison(local),
        )
        false_refusals = timed_request.count_false_not_run(innocent, local)
        crashes = sum(engine.faults.crashes for engine in local.engines)
    broken = sum(one.is_corrupt for one in innocent)
    codes = collections.Counter(
        one.error_code for one in innocent if one.error_code
    )
    violated = invariants.violation_count() - before
    figures = {
        "engines_lost": crashes,
        "engines_lost_per_poisonous_max": max(lost),
        "innocent_requests": len(innocent),
        "innocent_quarantined": codes[QUARANTINED],
        "innocent_failed": sum(codes.values()) - codes[QUARANTINED],
        "innocent_codes": dict(codes),
        "false_not_run": false_refusals,
        "broken_answers": broken,
    }
    return figures, false_refusals + broken + violated


async def _poison_engines(local: local_deployment.LocalDeployment) -> None:
    fault = {"kind": "poison", "marker": MARKER, "duration_ms": RESTART_MS}
    async with aiohttp.ClientSession() as session:
        for url in local.addresses.engine_urls:
            await session.post(url + "/fault", json=fault)


async def _send_poison(local: local_deployment.LocalDeployment) -> list[int]:
    """Return the engines that each poisonous request took down."""
    async with aiohttp.ClientSession() as session:
        return await asyncio.gather(
            *(
                _resend_poisonous(session, local, n)
                for n in range(POISONOUS_REQUESTS)
            )
        )


async def _resend_poisonous(
    session: aiohttp.ClientSession,
    local: local_deployment.LocalDeployment,
    number: int,
) -> int:
    await asyncio.sleep(number * POISON_INTERVAL_S)
    prompt = f"poison {number} {MARKER} [[length=50]]"
    ask = timed_request.PlannedRequest(0.0, "aso", prompt, 50)
    urls = local.addresses.callers_urls
    for attempt in range(MAX_SENDS):
        url = urls[(number + attempt) % len(urls)]
        await timed_request.send(session, local.addresses, url, ask)
        await asyncio.sleep(RESEND_DELAY_S)
    return sum(engine.runs_by_prompt[prompt] for engine in local.engines)
