"""The demo: kill the engine of an answer, and send one order twice.

The answer must still be complete, and the order must run only once.
"""

import asyncio
import dataclasses
import time

import aiohttp

from oriolejunction import clock as clocks
from oriolejunction.http import completion_text
from oriolejunction import invariants
from oriolejunction import local_deployment
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.standin import chain

ANSWER_TOKENS = 400
KILL_AFTER_TOKENS = 100
PROMPT = f"Compare the flavours of the season. [[length={ANSWER_TOKENS}]]"


@dataclasses.dataclass(frozen=True)
class DemoReport:
    """Results of the demo."""

    verdict: str
    tokens: int
    resume_latency_ms: float
    extra_tokens: int
    order_statuses: tuple[int, ...]
    order_runs: int
    violations: int

    @property
    def passed(self) -> bool:
        """Return whether the answer was complete and the order ran once."""
        return (
            self.verdict == "whole"
            and self.order_runs == 1
            and self.violations == 0
        )

    def table(self) -> str:
        """Return the report as a table of two columns."""
        rows = [
            ("answer", f"{self.verdict}, {self.tokens} tokens"),
            ("resume latency", f"{self.resume_latency_ms:.0f} ms"),
            ("extra tokens", str(self.extra_tokens)),
            (
                "order sent twice",
                f"statuses {self.order_statuses}, ran {self.order_runs} time",
            ),
            ("invariants violated", str(self.violations)),
        ]
        return "\n".join(f"{name:<22}{value}" for name, value in rows)


async def run() -> DemoReport:
    """Run the demo against a local deployment."""
    async with local_deployment.run_deployment() as deployment:
        await apply_sample_config(deployment)
        async with aiohttp.ClientSession() as session:
            text, resume_ms = await _stream_and_kill(session, deployment)
            statuses = await _send_order_twice(session, deployment)
        verdict = chain.check_text(
            text, local_deployment.MODEL_VERSION, "", PROMPT
        )
        computed = sum(e.tokens_computed for e in deployment.engines)
        complete = verdict.complete and verdict.tokens == ANSWER_TOKENS
        return DemoReport(
            verdict=(
                "whole" if complete else f"broken at {verdict.wrong_offset}"
            ),
            tokens=verdict.tokens,
            resume_latency_ms=resume_ms,
            extra_tokens=computed - verdict.tokens,
            order_statuses=statuses,
            order_runs=deployment.service.runs_by_key["demo-order"],
            violations=invariants.violation_count(),
        )


async def apply_sample_config(
    deployment: local_deployment.LocalDeployment,
) -> None:
    """Submit and accept the sample questionnaire."""
    addresses = deployment.addresses
    client = operator_client.OperatorClient(
        addresses.operators_urls[0], addresses.operator_token
    )
    answers = answer_files.redact_keys(deployment.sample_answers())
    text = answer_files.dump(answers)
    clock = clocks.SystemClock()
    draft = await operator_client.retry_until_done(
        lambda: client.submit(text), clock
    )
    await operator_client.retry_until_done(
        lambda: client.accept(draft["draft_id"]), clock
    )
    await local_deployment.wait_until_ready(deployment)


async def _stream_and_kill(
    session: aiohttp.ClientSession,
    deployment: local_deployment.LocalDeployment,
) -> tuple[str, float]:
    body = {
        "model": local_deployment.MODEL,
        "prompt": PROMPT,
        "max_tokens": 2 * ANSWER_TOKENS,
        "stream": True,
    }
    texts: list[str] = []
    arrivals: list[float] = []
    async with session.post(
        deployment.addresses.callers_urls[1] + "/v1/completions",
        json=body,
        headers=_headers(),
    ) as response:
        async for text in completion_text.iter_texts(response.content):
            texts.append(text)
            arrivals.append(time.monotonic() * 1000.0)
            if len(texts) == KILL_AFTER_TOKENS:
                await _kill_busy_engine(session, deployment)
    gaps = [b - a for a, b in zip(arrivals, arrivals[1:])]
    return "".join(texts), max(gaps, default=0.0)


async def _kill_busy_engine(
    session: aiohttp.ClientSession,
    deployment: local_deployment.LocalDeployment,
) -> None:
    candidates = zip(deployment.engines, deployment.addresses.engine_urls)
    url = next(url for engine, url in candidates if engine.tokens_computed)
    await session.post(url + "/fault", json={"kind": "die"})


async def _send_order_twice(
    session: aiohttp.ClientSession,
    deployment: local_deployment.LocalDeployment,
) -> tuple[int, ...]:
    statuses = []
    for url in deployment.addresses.callers_urls[:2]:
        async with session.post(
            f"{url}/services/{local_deployment.SERVICE}/orders",
            json={"crates": 1},
            headers=_headers() | {"Idempotency-Key": "demo-order"},
        ) as response:
            statuses.append(response.status)
    return tuple(statuses)


def _headers() -> dict[str, str]:
    key = next(iter(local_deployment.KEY_BY_WORKSPACE.values()))
    return {"Authorization": f"Bearer {key}"}


def main() -> DemoReport:
    """Run the demo in an event loop of its own."""
    return asyncio.run(run())
