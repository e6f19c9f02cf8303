"""Memory of an instance whose servers send bytes without end."""

import asyncio
import contextlib

import aiohttp
import pytest

from oriolejunction.http import answer_body
from tests.soak import fleet as fleets

PIECE = b"x" * 65_536
WARM_UP_REQUESTS = 60
# Of an instance with an endless answer, above one without.
MAX_GROWTH_BYTES = 4 << 20
# Of one with many at once: what all may hold, and what each holds besides. A
# retryable call asks two servers.
MANY = 12
SERVERS_ASKED = 2
MAX_GROWTH_OF_MANY_BYTES = (
    answer_body.MAX_HELD_BYTES
    + 2 * SERVERS_ASKED * MANY * answer_body.SMALL_BYTES
    + MAX_GROWTH_BYTES
)
MEASURED_S = 0.8
SAMPLE_S = 0.02
HEADERS = {
    "Host": fleets.HOST,
    "X-Api-Key": "k1",
    "Token-Counts": "100,96",
    "Deadline-Ms": "2500",
}
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _head_lines(arrival):
    return arrival.head()[:-2], b"X-More: %s\r\n" % (b"y" * 900) * 64


def _head_line(arrival):
    return b"HTTP/1.1 200 ", PIECE


def _interim_answers(arrival):
    return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000


def _no_length(arrival):
    return arrival.head(), PIECE


def _chunks(arrival):
    return arrival.head(extra=CHUNKED), b"10000\r\n" + PIECE + b"\r\n"


def _chunk_line(arrival):
    return arrival.head(extra=CHUNKED) + b"4;", PIECE


def _trailers(arrival):
    return arrival.head(extra=CHUNKED) + b"0\r\n", b"X-More: y\r\n" * 6_000


def _length(arrival):
    length = b"Content-Length: 99999999999\r\n"
    return arrival.head(extra=length), PIECE


def _failure(arrival):
    return arrival.head("500 Failed", CHUNKED), b"10000\r\n" + PIECE + b"\r\n"


def _rejection(arrival):
    head = (
        b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    ) % arrival.headers["attempt-id"].encode()
    return head, b"10000\r\n" + PIECE + b"\r\n"


SHAPES = {
    "head lines": _head_lines,
    "head line": _head_line,
    "interim answers": _interim_answers,
    "no length": _no_length,
    "chunks": _chunks,
    "chunk line": _chunk_line,
    "trailers": _trailers,
    "length": _length,
    "failure": _failure,
    "rejection": _rejection,
}
PATH_BY_KIND = {"stream": "/pufi/1", "order": "/order/1", "look": "/look/1"}


class EndlessFleet(fleets.Fleet):
    """A fleet whose servers answer in the shape that the test sets."""

    shape = None

    async def _serve(self, name, behave, arrival):
        if self.shape is None:
            if arrival.target.startswith("/pufi"):
                await behave(arrival)
            else:
                arrival.answer(b"done")
            return
        head, piece = self.shape(arrival)
        arrival.writer.write(head)
        while True:
            arrival.writer.write(piece)
            await arrival.writer.drain()


@pytest.fixture
async def fleet(tmp_path):
    running = EndlessFleet(tmp_path, 231, entries=1)
    await running.start()
    yield running
    await running.close()


def resident_bytes(process):
    with open(f"/proc/{process.pid}/statm") as file:
        return int(file.read().split()[1]) * 4_096


async def ask(session, fleet, kind, request_id):
    node = fleet.entries[0]
    url = f"http://{node.ip}:{fleets.ENTRY_PORT}{PATH_BY_KIND[kind]}"
    headers = {**HEADERS, "Attempt-Id": request_id}
    method = "GET" if kind == "look" else "POST"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.request(method, url, headers=headers) as response:
            size = 0
            async for piece in response.content.iter_any():
                size += len(piece)
            return response.status


async def publish(session, fleet):
    url = f"http://{fleet.controls[0].ip}:{fleets.CONTROL_PORT}"
    async with asyncio.timeout(15.0):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(
                    f"{url}/v1/Configuration.Replace",
                    json=fleets.document(7),
                ) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.1)


async def served(session, fleet):
    for number in range(60):
        statuses = [
            await ask(session, fleet, kind, f"warm-{kind}-{number}")
            for kind in PATH_BY_KIND
        ]
        if statuses == [200, 200, 200]:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(statuses)


async def largest_growth(session, fleet, kind, count):
    """Return by how much memory grows during endless answers."""
    process = fleet.entries[0].process
    before = most = resident_bytes(process)
    tasks = [
        asyncio.create_task(ask(session, fleet, kind, f"{kind}-{number}"))
        for number in range(count)
    ]
    for _ in range(int(MEASURED_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        most = max(most, resident_bytes(process))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return most - before


@pytest.fixture
async def session(fleet):
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(timeout=timeout) as asker:
        await publish(asker, fleet)
        await served(asker, fleet)
        for number in range(WARM_UP_REQUESTS):
            for kind in PATH_BY_KIND:
                await ask(asker, fleet, kind, f"warm-{kind}-{number}")
        yield asker


async def grown(session, fleet, shape, kind, count):
    fleet.shape = SHAPES[shape]
    growth = await largest_growth(session, fleet, kind, count)
    fleet.shape = None
    return growth


async def test_memory_is_bounded_with_an_endless_answer(fleet, session):
    """Fault: an instance kept all bytes and ran out of memory (LOST)."""
    growth = {
        (shape, kind): await grown(session, fleet, shape, kind, 1)
        for shape in SHAPES
        for kind in ("order", "stream")
    }
    assert {k: v for k, v in growth.items() if v > MAX_GROWTH_BYTES} == {}


async def test_memory_is_bounded_with_many_endless_answers(fleet, session):
    """Fault: the bytes of each answer were bounded, not those of all."""
    growth = {
        (shape, kind): await grown(session, fleet, shape, kind, MANY)
        for shape in ("no length", "chunks", "length", "head lines")
        for kind in ("order", "stream", "look")
    }
    too_much = {
        k: v for k, v in growth.items() if v > MAX_GROWTH_OF_MANY_BYTES
    }
    assert too_much == {}
    await served(session, fleet)
