"""One timed and checked request of a bench, and seeded arrivals."""

import asyncio
import collections.abc
import dataclasses
import random
import time

import aiohttp
import orjson

from oriolejunction import local_deployment
from oriolejunction.standin import chain

REQUEST_TIMEOUT_S = 40.0


@dataclasses.dataclass(frozen=True)
class PlannedRequest:
    """A request to send at `at_ms` of the run, with its own prompt."""

    at_ms: float
    workspace: str
    prompt: str
    tokens: int


@dataclasses.dataclass
class RequestResult:
    """What the caller saw; `code` is empty for a whole answer."""

    request: PlannedRequest
    first_token_ms: float | None = None
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    error_code: str = ""
    outcome: str = ""
    text: str = ""

    @property
    def is_corrupt(self) -> bool:
        """Return whether the answer holds a wrong token or ends early."""
        verdict = chain.check_text(
            self.text, local_deployment.MODEL_VERSION, "", self.request.prompt
        )
        if self.error_code:
            return verdict.wrong_offset is not None
        return not verdict.complete or verdict.tokens != self.request.tokens


def poisson_arrivals(
    rng: random.Random, per_s: float, seconds: float
) -> collections.abc.Iterator[float]:
    """Yield the arrival times in ms of a Poisson process."""
    at_s = rng.expovariate(per_s)
    while at_s < seconds:
        yield at_s * 1000.0
        at_s += rng.expovariate(per_s)


async def send_all(
    addresses: local_deployment.Addresses, asks: list[PlannedRequest]
) -> list[RequestResult]:
    """Send each request at its time, whatever became of the others."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    start_ms = _now_ms()
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        return await asyncio.gather(
            *(
                _send_at(session, addresses, number, ask, start_ms)
                for number, ask in enumerate(asks)
            )
        )


async def _send_at(
    session: aiohttp.ClientSession,
    addresses: local_deployment.Addresses,
    number: int,
    ask: PlannedRequest,
    start_ms: float,
) -> RequestResult:
    await asyncio.sleep(max(0.0, start_ms + ask.at_ms - _now_ms()) / 1000.0)
    urls = addresses.callers_urls
    return await send(session, addresses, urls[number % len(urls)], ask)


async def send(
    session: aiohttp.ClientSession,
    addresses: local_deployment.Addresses,
    url: str,
    ask: PlannedRequest,
) -> RequestResult:
    """Stream one answer through one instance."""
    seen = RequestResult(ask)
    body = {
        "model": local_deployment.MODEL,
        "prompt": ask.prompt,
        "max_tokens": ask.tokens,
        "stream": True,
    }
    key = addresses.workspace_keys[ask.workspace]
    sent_ms = _now_ms()
    try:
        async with session.post(
            url + "/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {key}"},
        ) as response:
            await _read(response, seen, sent_ms)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        seen.error_code, seen.outcome = type(error).__name__, "unknown"
    return seen


async def _read(
    response: aiohttp.ClientResponse, seen: RequestResult, sent_ms: float
) -> None:
    if response.status != 200:
        _record_error(seen, orjson.loads(await response.read()))
        return
    last_ms = sent_ms
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        record = orjson.loads(line[6:])
        if "error" in record:
            _record_error(seen, record)
            return
        text = (record.get("choices") or [{}])[0].get("text")
        if not text:
            continue
        now_ms = _now_ms()
        if seen.first_token_ms is None:
            seen.first_token_ms = now_ms - sent_ms
        else:
            seen.gaps_ms.append(now_ms - last_ms)
        last_ms = now_ms
        seen.text += text


def _record_error(seen: RequestResult, record: dict) -> None:
    seen.error_code = record["error"]["code"]
    seen.outcome = record["error"]["outcome"]


def count_false_not_run(
    seen: list[RequestResult], deployment: local_deployment.LocalDeployment
) -> int:
    """Count refusals as `not_run` whose prompt some engine has run."""
    return sum(
        one.outcome == "not_run"
        and any(
            engine.runs_by_prompt[one.request.prompt]
            for engine in deployment.engines
        )
        for one in seen
    )


def _now_ms() -> float:
    return time.monotonic() * 1000.0
