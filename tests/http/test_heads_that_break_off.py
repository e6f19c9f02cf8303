"""Answers whose server stops within the head and closes."""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest

from oriolejunction import errors
from oriolejunction.http import service_client
from oriolejunction.platform import backend_list
from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

LENGTH = b"Content-Length: 0\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NO_FRAMING = b""
# More at once keep the process busy for longer than the gateway's timeouts.
AT_ONCE = 8


def head(framing, line_end=b"\r\n"):
    whole = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\n"
        + framing
        + b"\r\n"
    )
    return whole.replace(b"\r\n", line_end)


def parts(whole):
    """Return all beginnings of a head that is not complete."""
    return [whole[:end] for end in range(len(whole))]


async def for_each(beginnings, ask):
    """Return the answer for each beginning, some at once."""
    free = asyncio.Semaphore(AT_ONCE)

    async def ask_when_free(beginning):
        async with free:
            return await ask(beginning)

    return await asyncio.gather(*map(ask_when_free, beginnings))


def ends_within(beginnings):
    """Return a behaviour that sends the next beginning and closes."""
    unsent = iter(beginnings)

    async def behave(arrival):
        arrival.writer.write(next(unsent))
        await arrival.writer.drain()
        arrival.writer.close()

    return behave


HEADS = pytest.mark.parametrize(
    "whole",
    [
        head(LENGTH),
        head(CHUNKED),
        head(NO_FRAMING),
        head(NO_FRAMING, b"\n"),
        b"HTTP/1.1 100 Continue\r\n\r\n" + head(NO_FRAMING),
    ],
    ids=["length", "chunked", "unframed", "bare line feeds", "interim"],
)


@HEADS
async def test_call_with_part_of_a_head_has_no_success(whole):
    beginnings = parts(whole)
    behave = ends_within(beginnings)
    async with gateway_rig.running(desk=[behave]) as rig:
        answers = await for_each(
            beginnings, lambda _: streams.read(rig.ask("/order/1"))
        )
    assert {status for status, _ in answers} == {502}


@HEADS
async def test_stream_with_part_of_a_head_goes_on_elsewhere(whole):

    async def read_after(beginning):
        behave = streams.complete_after_first(ends_within([beginning]))
        async with gateway_rig.running(llm=[behave] * 2) as rig:
            return await streams.read(rig.ask("/brief/1"))

    answers = await for_each(parts(whole), read_after)
    assert set(answers) == {(200, streams.ALL_EVENTS)}


@contextlib.asynccontextmanager
async def serving(beginnings):
    """Serve each connection the next beginning; yield the address.

    `aiohttp` asks once more for what may be asked twice.
    """
    unsent = itertools.cycle(beginnings)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(next(unsent))
        writer.close()

    server, address = await gateway_rig.listen(serve)
    try:
        yield address
    finally:
        server.close()


@HEADS
async def test_part_of_a_head_is_no_answer_of_a_service(whole):
    beginnings = parts(whole)
    client = service_client.ServiceClient()
    async with serving(beginnings) as address:
        for _ in beginnings:
            with pytest.raises(errors.Failure) as raised:
                await client.send(f"http://{address}", "POST", "/", {}, b"")
            assert isinstance(raised.value.error, errors.ServiceFailed)
    await client.close()


@HEADS
async def test_part_of_a_head_is_no_list_of_servers(whole):
    beginnings = parts(whole)
    async with (
        serving(beginnings) as address,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session,
    ):
        found = await asyncio.gather(
            *(backend_list.fetch(session, address) for _ in beginnings),
            return_exceptions=True,
        )
    assert {type(each) for each in found} == {errors.Failure}
