"""Timed and checked requests of the benches, and their arrival times."""

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
    """A request to send `at_ms` after the start of the run."""

    at_ms: float
    workspace: str
    prompt: str
    tokens: int


@dataclasses.dataclass
class RequestResult:
    """The caller's result; `error_code` is empty for a complete answer."""

    request: PlannedRequest
    first_token_ms: float | None = None
    gaps_ms: list[float] = dataclasses.field(default_factory=list)
    error_code: str = ""
    outcome: str = ""
    text: str = ""

    @property
    def is_corrupt(self) -> bool:
        """Return whether the answer contains a wrong token or ends early."""
        check = chain.check_text(
            self.text, local_deployment.MODEL_VERSION, "", self.request.prompt
        )
        if self.error_code:
            return check.wrong_offset is not None
        return not check.complete or check.tokens != self.request.tokens


def poisson_arrivals(
    rng: random.Random, per_s: float, seconds: float
) -> collections.abc.Iterator[float]:
    """Yield the arrival times in ms of a Poisson process."""
    at_s = rng.expovariate(per_s)
    while at_s < seconds:
        yield at_s * 1000.0
        at_s += rng.expovariate(per_s)


async def send_all(
    addresses: local_deployment.Addresses, requests: list[PlannedRequest]
) -> list[RequestResult]:
    """Send each request at its time, without waiting for the others."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    start_ms = _now_ms()
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        return await asyncio.gather(
            *(
                _send_at(session, addresses, number, request, start_ms)
                for number, request in enumerate(requests)
            )
        )


async def _send_at(
    session: aiohttp.ClientSession,
    addresses: local_deployment.Addresses,
    number: int,
    request: PlannedRequest,
    start_ms: float,
) -> RequestResult:
    await asyncio.sleep(
        max(0.0, start_ms + request.at_ms - _now_ms()) / 1000.0
    )
    urls = addresses.callers_urls
    return await send(session, addresses, urls[number % len(urls)], request)


async def send(
    session: aiohttp.ClientSession,
    addresses: local_deployment.Addresses,
    url: str,
    request: PlannedRequest,
) -> RequestResult:
    """Send one request to one instance and read its stream."""
    answer = RequestResult(request)
    body = {
        "model": local_deployment.MODEL,
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "stream": True,
    }
    key = addresses.workspace_keys[request.workspace]
    sent_ms = _now_ms()
    try:
        async with session.post(
            url + "/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {key}"},
        ) as response:
            await _read(response, answer, sent_ms)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        answer.error_code, answer.outcome = type(error).__name__, "unknown"
    return answer


async def _read(
    response: aiohttp.ClientResponse, answer: RequestResult, sent_ms: float
) -> None:
    if response.status != 200:
        _record_error(answer, orjson.loads(await response.read()))
        return
    last_ms = sent_ms
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        record = orjson.loads(line[6:])
        if "error" in record:
            _record_error(answer, record)
            return
        text = (record.get("choices") or [{}])[0].get("text")
        if not text:
            continue
        now_ms = _now_ms()
        if answer.first_token_ms is None:
            answer.first_token_ms = now_ms - sent_ms
        else:
            answer.gaps_ms.append(now_ms - last_ms)
        last_ms = now_ms
        answer.text += text


def _record_error(answer: RequestResult, record: dict) -> None:
    answer.error_code = record["error"]["code"]
    answer.outcome = record["error"]["outcome"]


def count_false_not_run(
    answers: list[RequestResult], deployment: local_deployment.LocalDeployment
) -> int:
    """Count `not_run` outcomes whose prompt an engine did run."""
    return sum(
        answer.outcome == "not_run"
        and any(
            engine.runs_by_prompt[answer.request.prompt]
            for engine in deployment.engines
        )
        for answer in answers
    )


def _now_ms() -> float:
    return time.monotonic() * 1000.0
