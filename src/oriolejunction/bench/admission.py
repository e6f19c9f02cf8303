"""Bench ``admission``: one workspace offers ten times its fair share."""

import asyncio
import random

from oriolejunction.bench import result
from oriolejunction.bench import timed_request
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment
from oriolejunction import serving

WORKSPACES = ("aso", "hakata", "sakura", "unzen")
GREEDY = "aso"
ENGINES = 4
SLOWDOWN = 4.0
MAX_RUNNING = 6
TOKENS = 40
# A step takes 5 ms times the slowdown, and twice that with a full batch.
CAPACITY_TOKENS_PER_S = ENGINES * MAX_RUNNING * 1000.0 / (5.0 * SLOWDOWN * 2)
FAIR_REQUESTS_PER_S = CAPACITY_TOKENS_PER_S / len(WORKSPACES) / TOKENS
MODEST_LOAD_FACTOR = 0.4
GREEDY_LOAD_FACTOR = 10.0
MAX_RUN_S = 10.0
WARM_UP_S = 1.5
FIRST_TOKEN_LIMIT_MS = 900.0


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Serve the same arrivals under each admission policy."""
    seconds = min(options.seconds / 2.0, MAX_RUN_S)
    requests = _plan_requests(options.seed, seconds)
    figures: dict[str, object] = {"requests": len(requests)}
    violations = 0
    for policy in admissions.AdmissionPolicy:
        figures[policy.value], violated = await _serve(policy, requests)
        violations += violated
    limited = figures[admissions.AdmissionPolicy.FAIR.value]
    late = limited["others_first_token_p95_ms"] > FIRST_TOKEN_LIMIT_MS
    return result.BenchResult(
        "admission", options.seed, figures, violations + late
    )


def _plan_requests(
    seed: int, seconds: float
) -> list[timed_request.PlannedRequest]:
    rng = random.Random(seed)
    requests = []
    for workspace in WORKSPACES:
        load_factor = (
            GREEDY_LOAD_FACTOR if workspace == GREEDY else MODEST_LOAD_FACTOR
        )
        times = timed_request.poisson_arrivals(
            rng, FAIR_REQUESTS_PER_S * load_factor, seconds
        )
        for number, at_ms in enumerate(times):
            prompt = f"{workspace} {number} [[length={TOKENS}]]"
            requests.append(
                timed_request.PlannedRequest(at_ms, workspace, prompt, TOKENS)
            )
    rng.shuffle(requests)
    return requests


async def _serve(
    policy: admissions.AdmissionPolicy,
    requests: list[timed_request.PlannedRequest],
) -> tuple[dict[str, object], int]:
    zones = local_deployment.ZONES
    options = local_deployment.LocalOptions(
        engines=tuple(
            local_deployment.LocalEngineOptions(
                zones[number % len(zones)], SLOWDOWN, MAX_RUNNING
            )
            for number in range(ENGINES)
        ),
        key_by_workspace={name: f"{name}-key" for name in WORKSPACES},
        serving_options=serving.ServingOptions(admission_policy=policy),
    )
    before = invariants.violation_count()
    async with local_deployment.run_deployment(options) as deployment:
        await demonstration.apply_sample_config(deployment)
        await asyncio.sleep(WARM_UP_S)
        answers = await timed_request.send_all(deployment.addresses, requests)
        false_refusals = timed_request.count_false_not_run(answers, deployment)
    corrupt = sum(answer.is_corrupt for answer in answers)
    others = [a for a in answers if a.request.workspace != GREEDY]
    greedy = [a for a in answers if a.request.workspace == GREEDY]
    figures = (
        _figures("others", others)
        | _figures("greedy", greedy)
        | {"false_not_run": false_refusals, "broken_answers": corrupt}
    )
    violated = invariants.violation_count() - before
    return figures, false_refusals + corrupt + violated


def _figures(
    prefix: str, answers: list[timed_request.RequestResult]
) -> dict[str, object]:
    first_token = result.Latencies()
    for answer in answers:
        if answer.first_token_ms is not None:
            first_token.record(answer.first_token_ms)
    refused = sum(answer.outcome == "not_run" for answer in answers)
    failed = sum(bool(answer.error_code) for answer in answers) - refused
    return first_token.figures(f"{prefix}_first_token") | {
        f"{prefix}_requests": len(answers),
        f"{prefix}_refused_share": round(refused / max(1, len(answers)), 4),
        f"{prefix}_failed": failed,
    }
