"""What clients can make a listener hold before their request is whole."""

import asyncio
import contextlib

import pytest

from oriolejunction.controllers.overload import arrivals
from oriolejunction.http import guarded_connection
from oriolejunction.http import listener_guard
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

HEAD = (
    b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\n"
    b"X-Api-Key: " + gateway_rig.KEY.encode() + b"\r\nDeadline-Ms: 2500\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


async def answer(arrival):
    arrival.answer(arrival.body)


@contextlib.asynccontextmanager
async def running(limits=gateway_rig.ARRIVAL_LIMITS, behave=answer):
    async with gateway_rig.running(desk=[behave]) as rig:
        rig.guard._limits = limits
        rig.guard._arrivals = arrivals.Arrivals(limits)
        yield rig


class Client:
    """A raw connection to the rig."""

    def __init__(self, rig):
        self._port = rig.port

    async def send(self, data):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self.writer.write(data)
        return self

    async def received(self, size=-1):
        """Return what arrives until the end, None after a reset."""
        try:
            async with asyncio.timeout(10.0):
                return await self.reader.read(size)
        except ConnectionError:
            return None
        finally:
            if size < 0:
                self.writer.close()


async def wait_until(is_true):
    async with asyncio.timeout(10.0):
        while not is_true():
            await asyncio.sleep(0.01)


def chunks(count):
    return b"1\r\nx\r\n" * count + b"0\r\n\r\n"


@pytest.mark.parametrize(
    "request_bytes",
    [
        HEAD + b"Content-Length: 300000\r\n\r\n" + b"x" * 300_000,
        CHUNKED + chunks(30_000),
    ],
)
async def test_long_request_is_served_and_counted_no_more(request_bytes):
    async with running() as rig:
        client = await Client(rig).send(request_bytes)
        assert (await client.received(15)).startswith(b"HTTP/1.1 200 OK")
        assert not list(rig.guard._arrivals)
        client.writer.close()


async def test_requests_follow_each_other_on_a_connection():
    """Also in pieces, and with the next head behind a body."""
    async with running() as rig:
        one = HEAD + b"Content-Length: 3\r\n\r\nabc"
        client = await Client(rig).send(one + one[:20])
        await client.reader.readuntil(b"\r\n\r\nabc")
        for byte in one[20:]:
            client.writer.write(bytes([byte]))
            await client.writer.drain()
        await client.reader.readuntil(b"\r\n\r\nabc")
        client.writer.close()
        assert len(rig.engines_by_service[gateway_rig.DESK][0].arrivals) == 2


@pytest.mark.parametrize(
    "head",
    [
        HEAD + b"X-More: " + b"y" * 70_000,
        HEAD + b"X-More: %s\r\n" % (b"y" * 1_000) * 80,
        b"\r\n" * 40_000,
        b"GET /" + b"y" * 70_000,
    ],
)
async def test_head_that_is_too_large_ends_its_connection(head):
    async with running() as rig:
        received = await (await Client(rig).send(head)).received()
        assert received is None or received[9:12] in (b"400", b"431")


@pytest.mark.parametrize(
    "body",
    [
        b"1;" + b"x" * 100_000,
        b"1\r\nx\r\n0\r\n" + b"X-More: y\r\n" * 10_000,
    ],
)
async def test_body_of_framing_only_ends_its_connection(body):
    """Fault: chunk extensions and trailers were read without end."""
    async with running() as rig:
        received = await (await Client(rig).send(CHUNKED + body)).received()
        assert not received or received[9:12] == b"400"


async def test_oldest_unfinished_request_yields():
    limits = arrivals.ArrivalLimits(100, 2, 1 << 20)
    async with running(limits) as rig:
        start = HEAD + b"Content-Length: 9\r\n\r\nx"
        clients = []
        for _ in range(3):
            clients.append(await Client(rig).send(start))
            await wait_until(
                lambda: rig.guard.closed_by_reason
                or len(list(rig.guard._arrivals)) == len(clients)
            )
        assert not await clients[0].received()
        for client in clients[1:]:
            client.writer.write(b"y" * 8)
            assert (await client.received(15)).endswith(b"200 OK")
            client.writer.close()


async def test_connection_with_an_answer_in_progress_does_not_yield():
    """A crowd that sends nothing can't end the request of a caller."""
    limits = arrivals.ArrivalLimits(3, 3, 1 << 20)
    release = asyncio.Event()

    async def answer_later(arrival):
        await release.wait()
        arrival.answer(b"done")

    async with running(limits, answer_later) as rig:
        caller = await Client(rig).send(HEAD + b"Content-Length: 0\r\n\r\n")
        server = rig.engines_by_service[gateway_rig.DESK][0]
        await wait_until(lambda: server.arrivals)
        crowd = [await Client(rig).send(b"") for _ in range(6)]
        await wait_until(lambda: rig.guard.closed_by_reason.total() >= 4)
        release.set()
        assert (await caller.received(15)).endswith(b"200 OK")
        for client in [caller, *crowd]:
            client.writer.close()


@pytest.mark.parametrize("start", [HEAD, CHUNKED + b"1\r\n"])
async def test_request_that_arrives_too_slowly_is_closed(start):
    async with running() as rig:
        client = await Client(rig).send(start)
        await wait_until(lambda: list(rig.guard._arrivals))
        for _ in range(20):
            rig.guard.sweep()
        assert not await client.received()
        assert rig.guard.closed_by_reason == {"request arrives too slowly": 1}


async def test_answer_in_progress_is_never_too_slow():
    async with running() as rig:
        client = await Client(rig).send(HEAD + b"Content-Length: 0\r\n\r\n")
        assert (await client.received(15)).endswith(b"200 OK")
        for _ in range(200):
            rig.guard.sweep()
        client.writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
        await client.reader.readuntil(b"HTTP/1.1 200 OK")
        client.writer.close()


async def test_line_end_behind_a_body_does_not_end_its_answer():
    release = asyncio.Event()

    async def answer_later(arrival):
        await release.wait()
        arrival.answer(b"done")

    async with running(behave=answer_later) as rig:
        client = await Client(rig).send(HEAD + b"Content-Length: 3\r\n\r\nabc")
        server = rig.engines_by_service[gateway_rig.DESK][0]
        await wait_until(lambda: server.arrivals)
        client.writer.write(b"\r\n")
        await wait_until(lambda: list(rig.guard._arrivals))
        for _ in range(20):
            rig.guard.sweep()
        release.set()
        assert (await client.received(15)).endswith(b"200 OK")
        client.writer.close()


async def test_many_requests_at_once_are_answered_in_order():
    """More than aiohttp's parser keeps, so that it stops in between."""
    request = HEAD + b"Content-Length: 3\r\n\r\n"
    bodies = [b"%03d" % number for number in range(300)]
    async with running() as rig:
        client = await Client(rig).send(
            b"".join(request + body for body in bodies)
        )
        for body in bodies:
            await client.reader.readuntil(b"\r\n\r\n" + body)
        client.writer.close()


async def test_refusal_reaches_a_client_that_still_sends():
    """Fault: a reset of the closed connection overtook the refusal."""
    async with running() as rig:
        size = 5 << 20
        client = await Client(rig).send(
            HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * (size - 9)
        )
        received = await client.received(15)
        assert received is None or received[9:12] == b"413"
        client.writer.close()


async def test_prompt_request_is_parsed_before_long_ones_that_wait():
    """Load: many long bodies use up each turn of the event loop."""
    async with running() as rig:
        piece = b"1\r\nx\r\n" * 200_000
        crowd = [await Client(rig).send(CHUNKED + piece) for _ in range(8)]
        await wait_until(lambda: len(rig.guard._waiting) > 1)
        caller = await Client(rig).send(HEAD + b"Content-Length: 0\r\n\r\n")
        assert (await caller.received(15)).endswith(b"200 OK")
        for client in [caller, *crowd]:
            client.writer.close()


async def test_answers_that_nobody_reads_are_given_up():
    """Fault: a client that reads nothing held its connection for good."""
    limits = arrivals.ArrivalLimits(2, 2, 1 << 20)
    request = HEAD + b"Content-Length: 0\r\n\r\n"

    async def answer_at_length(arrival):
        arrival.answer(b"x" * 200_000)

    async with running(limits, answer_at_length) as rig:
        client = await Client(rig).send(request * 100)
        client.writer.transport.pause_reading()
        await wait_until(lambda: rig.guard._unread)
        others = [await Client(rig).send(b"") for _ in range(2)]
        await wait_until(lambda: rig.guard.closed_by_reason)
        assert rig.guard._unread
        for _ in range(20):
            rig.guard.sweep()
        assert rig.guard.closed_by_reason["answer is not read"] == 1
        for each in [client, *others]:
            each.writer.transport.abort()


async def test_limits_leave_room_for_the_largest_proper_request():
    assert guarded_connection.MAX_HEAD_BYTES >= 4 * 16_384
    assert listener_guard.TURN_BYTES >= guarded_connection.PIECE_BYTES
    # One-byte chunks need five bytes of framing for each of content.
    assert guarded_connection.MAX_FRAMING_RATIO > 5
