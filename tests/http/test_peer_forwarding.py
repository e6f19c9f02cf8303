"""Requests that an isolated instance passes on to other instances."""

import asyncio
import socket

import aiohttp
import msgspec
import pytest

from oriolejunction import fleet_view
from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

NOT_READY = b'{"error":{"code":"not_ready"}}'
NO_CAPACITY = b'{"error":{"code":"no_capacity"}}'


class Helpers:
    """Instances that a test scripts, and an isolated gateway before them."""

    def __init__(self, rig, behaviours):
        self.rig = rig
        self.engines = [
            gateway_rig.Engine(f"helper-{number}", behave)
            for number, behave in enumerate(behaviours)
        ]

    async def start(self, unreachable=0):
        for engine in self.engines:
            await engine.start()
        addresses = [engine.address for engine in self.engines]
        addresses += [gateway_rig.UNREACHABLE_ADDRESS] * unreachable
        self.rig.write_fleet(
            msgspec.structs.replace(
                fleet_view.FleetView(), helpers=tuple(addresses)
            )
        )
        self.rig.deps.reached.confirm(1, self.rig.clock.now_ms())
        assert self.rig.deps.isolation.is_isolated

    @property
    def arrivals(self):
        return [each for engine in self.engines for each in engine.arrivals]

    async def close(self):
        for engine in self.engines:
            await engine.close()


@pytest.fixture
async def new_helpers():
    """Return a function that starts an isolated gateway and its helpers."""
    async with gateway_rig.running() as rig:
        started = []

        async def start(*behaviours, unreachable=0):
            helpers = Helpers(rig, behaviours)
            started.append(helpers)
            await helpers.start(unreachable)
            return helpers

        yield start
        for each in started:
            await each.close()


def refuse(body, retry_after=b"0.4"):
    async def behave(arrival):
        arrival.writer.write(
            b"HTTP/1.1 503 Refused\r\nRetry-After: %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (retry_after, len(body), body)
        )

    return behave


async def vanish(arrival):
    arrival.reset()


async def test_helper_gets_what_the_caller_sent(new_helpers):
    helpers = await new_helpers(calls.answer)
    status, body = await calls.read(helpers.rig.ask("/order/1?page=2"))
    assert (status, body) == (200, b"whole")
    (arrival,) = helpers.arrivals
    assert arrival.target == "/order/1?page=2"
    assert arrival.body == b"prompt"
    assert arrival.headers["host"] == gateway_rig.HOST
    assert arrival.headers["x-api-key"] == gateway_rig.KEY
    assert 0 < int(arrival.headers["deadline-ms"]) <= 2_500
    assert "expected-instance" not in arrival.headers


async def test_helper_that_is_not_reached_is_passed_over(new_helpers):
    helpers = await new_helpers(calls.answer, unreachable=1)
    for number in range(6):
        request = helpers.rig.ask(f"/order/{number}", f"a{number}")
        assert (await calls.read(request))[0] == 200


async def test_helper_that_cannot_serve_is_passed_over(new_helpers):
    helpers = await new_helpers(refuse(NOT_READY), calls.answer)
    for number in range(6):
        request = helpers.rig.ask(f"/order/{number}", f"a{number}")
        assert (await calls.read(request))[0] == 200


async def test_refusal_of_the_request_is_passed_on(new_helpers):
    """Fault: each helper was asked for what no server has capacity for."""
    helpers = await new_helpers(refuse(NO_CAPACITY), refuse(NO_CAPACITY))
    async with helpers.rig.ask("/order/1") as response:
        assert response.status == 503
        assert response.headers["Retry-After"] == "0.4"
    assert len(helpers.arrivals) == 1


@pytest.mark.parametrize(
    ("path", "status", "asked"), [("/look/1", 502, 2), ("/order/1", 502, 1)]
)
async def test_only_retryable_calls_go_on_after_a_lost_helper(
    new_helpers, path, status, asked
):
    """Fault: an order might run twice as its first helper ended.

    A lookup may go to two servers.
    """
    helpers = await new_helpers(vanish, vanish, vanish, vanish)
    answer = await calls.read(helpers.rig.ask(path))
    assert answer[0] == status
    assert len(helpers.arrivals) == asked


async def test_helper_learns_how_many_servers_may_be_asked(new_helpers):
    helpers = await new_helpers(vanish, vanish)
    await calls.read(helpers.rig.ask("/look/1", Attempts_Left="9"))
    left = [each.headers["attempts-left"] for each in helpers.arrivals]
    assert left == ["2", "1"]


async def test_request_of_a_peer_keeps_its_attempts():
    """Fault: a call went to more servers than its route allows."""

    async def fail(arrival):
        arrival.answer(status="500 Broken")

    async with gateway_rig.running(desk=[fail] * 3) as rig:
        for serves_peers, expected in ((True, 1), (False, 2)):
            rig.gateway._serves_peers = serves_peers
            before = len(arrivals_of(rig))
            request = rig.ask("/look/1", Attempts_Left="1")
            assert (await calls.read(request))[0] == 500
            assert len(arrivals_of(rig)) - before == expected


def arrivals_of(rig):
    return [
        arrival
        for engine in rig.engines_by_service[gateway_rig.DESK]
        for arrival in engine.arrivals
    ]


async def test_connection_to_a_helper_detects_its_silence(new_helpers):
    helpers = await new_helpers(calls.answer)
    pool = helpers.rig.deps.peer_pool
    connect, options = pool.connect, []

    async def connect_and_look(*limits):
        connection = await connect(*limits)
        sock = connection._transport.get_extra_info("socket")
        options.append(
            (
                sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            )
        )
        return connection

    pool.connect = connect_and_look
    await calls.read(helpers.rig.ask("/order/1"))
    assert options == [(1, 1)]


async def test_late_copy_of_a_refusal_refuses_no_other_request(new_helpers):
    """Fault: a helper was asked again although the first one ran it.

    A second copy of a refusal arrived after the next request was sent.
    """
    helpers = await new_helpers(refuse(NOT_READY))
    for request_id in ("a1", "a2"):
        async with helpers.rig.ask("/order/1", request_id) as response:
            assert response.status == 503
    first, second = helpers.arrivals
    assert first.writer is not second.writer


async def test_answer_of_a_server_is_no_refusal_of_its_helper(new_helpers):
    """Fault: an order went to a second server after the first one's answer.

    The server's failure had the status of an instance's refusal.
    """

    async def fail_unsigned(arrival):
        arrival.writer.write(
            b"HTTP/1.1 503 Broken\r\nAttempt-Id: %s\r\n"
            b"Content-Length: 0\r\n\r\n"
            % arrival.headers["attempt-id"].encode()
        )

    helpers = await new_helpers(fail_unsigned, fail_unsigned)
    async with helpers.rig.ask("/order/1") as response:
        assert response.status == 502
        assert b"unknown" in await response.read()
    assert len(helpers.arrivals) == 1


@pytest.mark.parametrize("path", ["/look/1", "/order/1", "/brief/1"])
async def test_answer_to_another_request_is_not_passed_on(new_helpers, path):
    async def answer_another(arrival):
        arrival.headers["attempt-id"] = "another"
        arrival.answer(b"of another")

    helpers = await new_helpers(answer_another)
    async with helpers.rig.ask(path) as response:
        assert response.status == 502
        assert b"of another" not in await response.read()


async def test_lookup_is_served_by_the_next_helper(new_helpers):
    helpers = await new_helpers(vanish, calls.answer)
    for number in range(6):
        request = helpers.rig.ask(f"/look/{number}", f"a{number}")
        assert (await calls.read(request))[0] == 200


async def test_stream_that_breaks_at_a_helper_does_not_look_complete(
    new_helpers,
):
    async def break_off(arrival):
        arrival.begin()
        arrival.events(range(1, 3))
        await arrival.writer.drain()
        arrival.writer.close()

    helpers = await new_helpers(break_off)
    async with helpers.rig.ask("/brief/1") as response:
        assert response.status == 200
        with pytest.raises(gateway_rig.aiohttp.ClientPayloadError):
            await response.read()


async def test_stream_of_a_frozen_helper_ends_at_the_deadline(new_helpers):
    """Fault: the answer of a helper that sends nothing more never ended."""

    async def freeze(arrival):
        arrival.begin()
        arrival.events([1, 2])
        await arrival.writer.drain()
        await asyncio.sleep(20)

    helpers = await new_helpers(freeze)
    request = helpers.rig.ask("/brief/1", Deadline_Ms="600")
    async with asyncio.timeout(2.0):
        with pytest.raises(aiohttp.ClientPayloadError):
            await calls.read(request)


async def test_helper_stops_once_the_caller_is_gone(new_helpers):
    closed = asyncio.Event()

    async def wait(arrival):
        await arrival.reader.read()
        closed.set()

    helpers = await new_helpers(wait)
    task = asyncio.ensure_future(calls.read(helpers.rig.ask("/brief/1")))
    await asyncio.sleep(0.2)
    task.cancel()
    async with asyncio.timeout(2):
        await closed.wait()


async def test_without_a_helper_nothing_has_run(new_helpers):
    helpers = await new_helpers()
    began_ms = helpers.rig.clock.now_ms()
    async with helpers.rig.ask("/order/1") as response:
        body = await response.json()
        assert response.status == 503
        assert body["error"]["outcome"] == "not_run"
        assert "Retry-After" in response.headers
    assert helpers.rig.clock.now_ms() - began_ms < 200.0
