"""Servers that send bytes that are no answer, until they are cut off."""

import asyncio

import pytest

from oriolejunction.controllers import event_answer
from oriolejunction import errors
from oriolejunction.http import backend_connection
from oriolejunction.http import event_reader
from oriolejunction.http import report_probe
from oriolejunction.http import service_client
from oriolejunction import ids
from oriolejunction.platform import gateway_dialect
from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

MAX_BYTES = 24 << 20


class Flood:
    """Sends a beginning and then a piece again and again, until cut off."""

    def __init__(self, begin, piece):
        self.begin, self.piece = begin, piece
        self.sent = 0
        self.is_cut_off = asyncio.Event()

    async def __call__(self, arrival):
        await self.pour(arrival.writer, self.begin(arrival))

    async def pour(self, writer, begin):
        try:
            writer.write(begin)
            while self.sent < 4 * MAX_BYTES:
                writer.write(self.piece)
                self.sent += len(self.piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.is_cut_off.set()
            raise


def chunked(arrival):
    return arrival.head(extra=b"Transfer-Encoding: chunked\r\n")


PIECE = b"x" * 8_000
CHUNK = b"1f40\r\n" + PIECE + b"\r\n"
BODIES = {
    "head": (lambda a: b"HTTP/1.1 200 OK\r\nX: ", PIECE),
    "headers": (lambda a: b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 1_000),
    "interim": (lambda a: b"", b"HTTP/1.1 103 Hints\r\n\r\n" * 300),
    "garbage": (lambda a: b"", b"\0" * 8_000),
    "unframed": (lambda a: a.head(), PIECE),
    "length": (
        lambda a: a.head(extra=b"Content-Length: 9999999999\r\n"),
        PIECE,
    ),
    "chunked": (chunked, CHUNK),
}
STREAMS = {
    "no event": (chunked, CHUNK),
    "one byte": (chunked, b"1\r\nx\r\n" * 500),
    "no number": (chunked, b"a\r\ndata: xx\n\n\r\n" * 500),
}


async def check_cut_off(flood):
    async with asyncio.timeout(5):
        await flood.is_cut_off.wait()
    assert flood.sent <= MAX_BYTES


@pytest.mark.parametrize("kind", BODIES)
async def test_call_fails_in_time_and_ends_the_flood(kind):
    flood = Flood(*BODIES[kind])
    async with gateway_rig.running(desk=[flood]) as rig:
        status, body = await calls.read(rig.ask("/order/1"))
        assert status in (502, 504)
        assert b"answer_" in body
        await check_cut_off(flood)


@pytest.mark.parametrize("kind", [*BODIES, *STREAMS])
async def test_stream_goes_on_elsewhere_and_ends_the_flood(kind):
    flood = Flood(*{**BODIES, **STREAMS}[kind])
    async with gateway_rig.running(llm=[flood, streams.complete]) as rig:
        rig.deps.health.mark_lost(ids.BackendId("llm-1"), 100.0)
        answer = await streams.read(rig.ask("/brief/1"))
        assert answer == (200, streams.ALL_EVENTS)
        assert flood.sent
        await check_cut_off(flood)


@pytest.mark.parametrize("kind", ["head", "interim", "garbage", "chunked"])
async def test_report_without_end_is_given_up(kind):
    flood = Flood(*BODIES[kind])

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        if kind != "chunked":
            begin = flood.begin(None)
        with pytest.raises(ConnectionError):
            await flood.pour(writer, begin)

    server, address = await gateway_rig.listen(serve)
    async with gateway_rig.running() as rig:
        backend = gateway_rig.backends.Backend(
            ids.BackendId("llm-0"), gateway_rig.LLM, address, ids.ZoneId("z0")
        )
        report = await report_probe.fetch_report(
            rig.deps.pool,
            gateway_dialect.WIRE_FORMAT,
            backend,
            lambda head: None,
        )
        assert report is None
        await check_cut_off(flood)
    server.close()


async def test_flood_on_an_idle_connection_closes_it():
    flood = Flood(None, b"stray" * 1_000)

    async def serve(reader, writer):
        with pytest.raises(ConnectionError):
            await flood.pour(writer, b"")

    server, address = await gateway_rig.listen(serve)
    connection = await backend_connection.connect(address, 500.0)
    await check_cut_off(flood)
    assert not connection.usable
    server.close()


async def test_answer_that_nobody_reads_is_not_read_ahead():
    """Load: a server sends faster than the caller of a stream reads."""
    flood = Flood(None, CHUNK)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with pytest.raises(ConnectionError):
            await flood.pour(writer, begin)

    server, address = await gateway_rig.listen(serve)
    connection = await backend_connection.connect(address, 500.0)
    connection.send("GET", "/", [(b"Host", b"a")], b"")
    await connection.read_response_head()
    await asyncio.sleep(0.5)
    # What the kernel buffers on both sides is not the gateway's memory.
    assert flood.sent <= MAX_BYTES
    connection.close()
    await flood.is_cut_off.wait()
    server.close()


async def test_answer_of_a_service_without_end_is_given_up():
    """Load: a plain service of the product's own path floods its caller."""
    flood = Flood(None, CHUNK)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with pytest.raises(ConnectionError):
            await flood.pour(writer, begin)

    server, address = await gateway_rig.listen(serve)
    client = service_client.ServiceClient()
    with pytest.raises(errors.Failure) as failure:
        await client.send(f"http://{address}", "POST", "/orders", {}, b"")
    assert isinstance(failure.value.error, errors.ServiceFailed)
    await check_cut_off(flood)
    await client.close()
    server.close()


@pytest.mark.parametrize(
    ("body", "events"),
    [
        ([b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], [1, 2]),
        ([b"id: 1\ndata: a\n", b"\nid: 2", b"\ndata: b\n\n"], [1, 2]),
        ([b": note\n\n", b"id: 7\n\n\n\n"], [7]),
    ],
)
async def test_events_are_found_however_their_bytes_are_cut(body, events):
    chunks = iter([*body, None])

    async def read_chunk():
        return next(chunks)

    reader = event_reader.EventReader(
        read_chunk,
        gateway_dialect.WIRE_FORMAT.read_event,
        event_answer.EventAnswer(),
    )
    numbers = []
    while (received := await reader.read()) is not None:
        numbers += [event.number for event in received]
    assert numbers == events
    assert reader.why_incomplete is None
