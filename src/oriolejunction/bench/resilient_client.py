"""Client that retries through any entry instance when one is lost.

It resumes a stream by resending the request with ``Last-Event-ID``, and
retries a non-idempotent call only under the same idempotency key.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import random

import aiohttp
import orjson

from oriolejunction import clock as clocks

READ_TIMEOUT_S = 10.0
RETRY_DELAY_MS = 150
MAX_RETRY_DELAY_MS = 1_000
TOTAL_TIMEOUT_MS = 60_000
_DONE = b"data: [DONE]"


class AnswerEnd(enum.Enum):
    """How an answer ended for the caller."""

    FINISHED = "finished"
    REFUSED = "refused"
    LOST = "lost"
    GIVEN_UP = "given_up"


@dataclasses.dataclass
class Answer:
    """What a caller has received of one streamed answer."""

    end: AnswerEnd = AnswerEnd.GIVEN_UP
    text: str = ""
    last_event_id: str | None = None
    error_code: str | None = None
    sends: int = 0
    longest_gap_ms: float = 0.0
    retry_delay_ms: float = RETRY_DELAY_MS
    last_event_ms: float | None = None
    url: str = ""


@dataclasses.dataclass
class OrderRecord:
    """The replies to one non-idempotent call, identified by its key."""

    key: str
    sends: int = 0
    answered: bool = False
    unknown: int = 0
    not_run: int = 0


class ResilientClient:
    """Stream answers and send orders through any entry instance."""

    def __init__(
        self,
        urls: collections.abc.Sequence[str],
        key: str,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._urls = urls
        self._rng = rng
        self._clock = clock
        self._session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {key}"},
            timeout=aiohttp.ClientTimeout(
                total=None, sock_read=READ_TIMEOUT_S
            ),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def stream(
        self, body: dict[str, object], answer: Answer | None = None
    ) -> Answer:
        """Stream a completion, resuming it after the loss of an instance.

        `answer` is updated while the stream runs. Give up after
        `TOTAL_TIMEOUT_MS`.
        """
        answer = answer or Answer()
        deadline_ms = self._clock.now_ms() + TOTAL_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            answer.sends += 1
            answer.retry_delay_ms = RETRY_DELAY_MS
            try:
                if await self._stream_once(body, answer):
                    return answer
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            await self._clock.sleep_ms(answer.retry_delay_ms)
        return answer

    async def _stream_once(
        self, body: dict[str, object], answer: Answer
    ) -> bool:
        answer.url = self._rng.choice(self._urls)
        url = answer.url + "/v1/completions"
        headers = {}
        if answer.last_event_id is not None:
            headers["Last-Event-ID"] = answer.last_event_id
        async with self._session.post(
            url, json=body | {"stream": True}, headers=headers
        ) as response:
            if response.status != 200:
                error = (await response.json())["error"]
                return self._handle_error(answer, error)
            return await self._read(response.content, answer)

    def _handle_error(self, answer: Answer, error: dict) -> bool:
        answer.error_code = error["code"]
        if error["code"] == "generation_lost":
            answer.end = AnswerEnd.LOST
            return True
        if error["retry_after_ms"] is not None:
            answer.retry_delay_ms = min(
                error["retry_after_ms"], MAX_RETRY_DELAY_MS
            )
            return False
        answer.end = AnswerEnd.REFUSED
        return True

    async def _read(
        self, content: aiohttp.StreamReader, answer: Answer
    ) -> bool:
        event_id = None
        answer.last_event_ms = answer.last_event_ms or self._clock.now_ms()
        async for line in content:
            if line.startswith(b"id: "):
                event_id = line[4:].decode().strip()
            elif line.startswith(_DONE):
                answer.end = AnswerEnd.FINISHED
                return True
            elif line.startswith(b"data: "):
                record = orjson.loads(line[6:])
                if "error" in record:
                    return self._handle_error(answer, record["error"])
                answer.text += _completion_text(record)
                answer.last_event_id = event_id or answer.last_event_id
                now_ms = self._clock.now_ms()
                gap_ms = now_ms - answer.last_event_ms
                answer.longest_gap_ms = max(answer.longest_gap_ms, gap_ms)
                answer.last_event_ms = now_ms
        return False

    async def send_order(self, path: str, record: OrderRecord) -> None:
        """Send a non-idempotent call and retry it until it is settled.

        Give up after `TOTAL_TIMEOUT_MS`.
        """
        deadline_ms = self._clock.now_ms() + TOTAL_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            record.sends += 1
            try:
                if await self._send_order_once(path, record):
                    return
            except (aiohttp.ClientError, OSError, TimeoutError):
                record.unknown += 1
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def _send_order_once(self, path: str, record: OrderRecord) -> bool:
        async with self._session.post(
            self._rng.choice(self._urls) + path,
            data=record.key,
            headers={"Idempotency-Key": record.key},
        ) as response:
            if response.status == 200:
                record.answered = True
                return True
            error = (await response.json())["error"]
        if error["outcome"] == "not_run":
            record.not_run += 1
        else:
            record.unknown += 1
        return error["retry_after_ms"] is None


def _completion_text(record: dict) -> str:
    choices = record.get("choices") or [{}]
    return choices[0].get("text") or ""


async def repeat_until(
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    until: asyncio.Event,
) -> None:
    """Call `work` repeatedly until an event is set."""
    while not until.is_set():
        await work()
