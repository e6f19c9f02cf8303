"""Requests that are in flight when an entry instance stops."""

import asyncio
import json
import socket

import aiohttp
import pytest

from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


async def send_part(rig, path):
    """Send a request without the last three bytes of its body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        f"Attempt-Id: a1\r\nX-Api-Key: {gateway_rig.KEY}\r\n"
        "Token-Counts: 800,80\r\nContent-Length: 6\r\n\r\n"
    )
    writer.write(head.encode() + b"pro")
    await asyncio.sleep(0.1)
    return reader, writer


@pytest.mark.parametrize(
    ("path", "end"), [("/order/1", b"whole"), ("/brief/1", b"0\r\n\r\n")]
)
async def test_request_arriving_while_idle_connections_close_is_answered(
    path, end
):
    """Load: a part of its body comes after the close of idle connections."""
    async with gateway_rig.running(
        llm=[streams.complete], desk=[calls.answer]
    ) as rig:
        reader, writer = await send_part(rig, path)
        rig.time_to_stop_ms = 5_000.0
        await gateway_rig.stop_accepting(rig)
        await asyncio.sleep(0.1)
        writer.write(b"mpt")
        answered = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        assert answered.startswith(b"HTTP/1.1 200 ")
        assert answered.endswith(end)
        (arrival,) = (
            arrival
            for engines in rig.engines_by_service.values()
            for engine in engines
            for arrival in engine.arrivals
        )
        assert arrival.body == b"prompt"


def error_of(body):
    error = json.loads(body)["error"]
    return error["code"], error["outcome"]


@pytest.mark.parametrize("path", ["/brief/1", "/look/1", "/order/1"])
@pytest.mark.parametrize("known_before", [True, False])
async def test_request_without_an_answer_at_the_stop_gets_an_error(
    path, known_before
):
    """Load: an engine is silent until the grace period ends."""
    async with gateway_rig.running(
        llm=[streams.hang], desk=[streams.hang]
    ) as rig:
        rig.time_to_stop_ms = 9_000.0
        if known_before:
            rig.deps.stop_limit.stop_in(700.0)
        asked = asyncio.create_task(streams.read(rig.ask(path)))
        await asyncio.sleep(0.3)
        if not known_before:
            rig.deps.stop_limit.stop_in(400.0)
        async with asyncio.timeout(0.7):
            status, body = await asked
        assert status == 502
        assert error_of(body) == ("answer_unknown", "unknown")
        assert not rig.deps.own_loads.loads()


@pytest.mark.parametrize("path", ["/brief/1", "/look/1", "/order/1"])
async def test_request_that_reached_no_server_at_the_stop_is_not_run(path):
    async with gateway_rig.running() as rig:
        asked = asyncio.create_task(streams.read(rig.ask(path)))
        await asyncio.sleep(0.05)
        rig.deps.stop_limit.stop_in(100.0)
        async with asyncio.timeout(0.25):
            status, body = await asked
        assert status == 503
        assert error_of(body) == ("not_ready", "not_run")
        assert not rig.deps.queue.waiting_by_service()


async def test_order_that_may_outlast_the_stop_is_not_begun():
    """Its server is slow, and its outcome would be unknown."""

    async def work(arrival):
        await asyncio.sleep(1.6)
        arrival.answer()

    async with gateway_rig.running(desk=[work]) as rig:
        # Its deadline is in 2.5 s, its latency goal 0.6 s.
        rig.time_to_stop_ms = 2_200.0
        rig.deps.stop_limit.stop_in(1_400.0)
        status, body = await streams.read(rig.ask("/order/1"))
        assert status == 503
        assert error_of(body) == ("not_ready", "not_run")
        assert not rig.engines_by_service[gateway_rig.DESK][0].arrivals


@pytest.mark.parametrize("path", ["/look/2", "/order/2", "/brief/2"])
async def test_request_that_waited_too_long_before_the_stop_is_not_begun(path):
    """Load: no server is known until shortly before the stop."""
    async with gateway_rig.running(
        llm=[streams.hang], desk=[streams.hang]
    ) as rig:
        known = rig.blackboard.backends.read().by_id
        rig.list({})
        request = rig.ask(path, Token_Counts="8000,800")
        asked = asyncio.create_task(streams.read(request))
        await asyncio.sleep(0.1)
        rig.deps.stop_limit.exit_in(900.0)
        rig.deps.stop_limit.stop_in(700.0)
        rig.list(known)
        rig.deps.queue.notify_capacity()
        status, body = await asyncio.wait_for(asked, 1.0)
        assert status == 503
        assert error_of(body) == ("not_ready", "not_run")


async def test_request_that_never_arrives_completely_ends_at_the_stop():
    async with gateway_rig.running(desk=[calls.answer]) as rig:
        reader, writer = await send_part(rig, "/order/1")
        rig.time_to_stop_ms = 5_000.0
        rig.deps.stop_limit.stop_in(200.0)
        await gateway_rig.stop_accepting(rig)
        async with asyncio.timeout(1.0):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in head
        assert not rig.engines_by_service[gateway_rig.DESK][0].arrivals


async def test_begun_stream_is_not_ended_by_the_stop_limit():
    """Its events are relayed until the process ends."""

    async def pause(arrival):
        arrival.begin()
        arrival.events([1, 2, 3])
        await asyncio.sleep(0.4)
        arrival.events([4, 5, 6])
        arrival.end()

    async with gateway_rig.running(llm=[pause]) as rig:
        rig.deps.stop_limit.stop_in(200.0)
        status, body = await streams.read(rig.ask("/brief/1"))
        assert (status, body) == (200, streams.ALL_EVENTS)


async def test_begun_stream_that_the_exit_cuts_does_not_look_complete():
    async def stall(arrival):
        arrival.begin()
        arrival.events([1, 2, 3])
        await asyncio.sleep(30)

    async with gateway_rig.running(llm=[stall]) as rig:
        rig.deps.stop_limit.stop_in(200.0)
        asked = asyncio.create_task(streams.read(rig.ask("/brief/1")))
        await asyncio.sleep(0.4)
        assert not asked.done()
        await rig.runner.cleanup()
        with pytest.raises(aiohttp.ClientPayloadError):
            await asked


REQUEST = (
    f"GET /look/1 HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
    f"Attempt-Id: a1\r\nX-Api-Key: {gateway_rig.KEY}\r\n\r\n"
).encode()


def connect(port):
    """Return a connected socket, whether or not the peer accepts it yet."""
    return socket.create_connection(("127.0.0.1", port), 1.0)


async def read_all(sock):
    """Return all that arrives until the peer closes."""
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await asyncio.wait_for(reader.read(), 2.0)
    finally:
        writer.close()


@pytest.mark.parametrize("is_accepted", [True, False])
async def test_request_that_arrived_before_the_listener_closes_is_answered(
    is_accepted,
):
    """Fault: requests that had just been accepted were cut off.

    Load: connections open all the time, while the instance stops under load.
    Some wait to be accepted, and some requests wait to be read.
    """
    async with gateway_rig.running(desk=[calls.answer]) as rig:
        sockets = [connect(rig.port) for _ in range(20)]
        if is_accepted:
            await asyncio.sleep(0.05)
        for each in sockets:
            each.sendall(REQUEST)
        # This process has had no turn since then.
        rig.time_to_stop_ms = 5_000.0
        await gateway_rig.stop_accepting(rig)
        answers = [read_all(each) for each in sockets]
        for answer in await asyncio.gather(*answers):
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.endswith(b"whole")


@pytest.mark.parametrize("turns", range(8))
async def test_request_on_an_open_connection_is_answered_at_the_stop(turns):
    """Fault: a request was read, but its handler had not begun."""
    async with gateway_rig.running(desk=[calls.answer]) as rig:
        sock, idle = connect(rig.port), connect(rig.port)
        await asyncio.sleep(0.02)
        sock.sendall(REQUEST)
        for _ in range(turns):
            await asyncio.sleep(0)
        await gateway_rig.stop_accepting(rig)
        answer = await read_all(sock)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert await read_all(idle) == b""
