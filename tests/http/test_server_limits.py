"""Servers that name a limit get no more requests than that."""

import asyncio

import pytest
import structlog

from oriolejunction import gateway_messages
from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

LIMIT_PER_S = 4.0


def limited(arrived_ms):
    """Answer each call, and name a limit."""

    async def behave(arrival):
        arrived_ms.append(asyncio.get_running_loop().time() * 1e3)
        arrival.writer.write(
            arrival.head(
                extra=b"Content-Length: 2\r\nServer-Limit: %.1f\r\n"
                % LIMIT_PER_S
            )
            + b"ok"
        )

    return behave


def allowed_in(duration_ms):
    """Return how many requests the platform's rule allows in a time."""
    return 1.5 * LIMIT_PER_S * duration_ms / 1e3 + 5


async def call_often(rig, path, count, apart_s=0.02):
    async def call(number):
        await asyncio.sleep(number * apart_s)
        return (await calls.read(rig.ask(f"{path}{number}", f"a{number}")))[0]

    return await asyncio.gather(*map(call, range(count)))


@pytest.mark.parametrize("path", ["/look/", "/order/"])
async def test_limited_server_gets_no_more_than_it_named(path):
    """Load: one of two servers is in need; the other can take all."""
    arrived_ms = []
    servers = [limited(arrived_ms), calls.answer]
    async with gateway_rig.running(desk=servers) as rig:
        statuses = await call_often(rig, path, 100)
        assert set(statuses) == {200}
        assert 2 <= len(arrived_ms) <= allowed_in(2_000.0)


@pytest.mark.parametrize("path", ["/look/", "/order/"])
async def test_calls_beyond_all_limits_are_rejected_at_once(path):
    """Load: all servers of a service are in need."""
    arrived_ms = []
    async with gateway_rig.running(desk=[limited(arrived_ms)]) as rig:
        await calls.read(rig.ask(f"{path}0", "a0"))

        async def call(number):
            async with rig.ask(f"{path}{number}", f"a{number}") as response:
                if response.status == 200:
                    return None
                body = await response.json()
                assert response.status == 503
                assert body["error"]["outcome"] == "not_run"
                return float(response.headers["Retry-After"])

        with structlog.testing.capture_logs() as logs:
            answers = await asyncio.gather(*map(call, range(1, 31)))
        return_s = [answer for answer in answers if answer is not None]
        assert 20 <= len(return_s) < 30
        assert len(set(return_s)) >= 3
        waited_ms = [line["waited_ms"] for line in logs if "waited_ms" in line]
        assert sorted(waited_ms)[15] <= 50
        assert len(arrived_ms) <= allowed_in(1_000.0)


async def test_retries_and_hedged_calls_keep_the_limit():
    """Load: a limited server fails its calls, another one is slow."""
    arrived_ms = []

    async def fail(arrival):
        arrived_ms.append(0.0)
        arrival.writer.write(
            arrival.head(
                "500 Broken",
                b"Content-Length: 0\r\nServer-Limit: %.1f\r\n" % LIMIT_PER_S,
            )
        )

    async def slow(arrival):
        await asyncio.sleep(0.5)
        arrival.answer()

    async with gateway_rig.running(desk=[fail, slow]) as rig:
        await call_often(rig, "/look/", 60)
        assert len(arrived_ms) <= allowed_in(2_000.0)


async def test_streams_keep_the_limit_of_an_engine():
    """Load: an engine in need beside one that takes all streams."""
    arrived_ms = []

    async def stream(arrival):
        arrived_ms.append(0.0)
        arrival.writer.write(
            arrival.head(
                extra=b"Transfer-Encoding: chunked\r\nServer-Limit: %.1f\r\n"
                % LIMIT_PER_S
            )
        )
        arrival.events(range(1, 7))
        arrival.end()

    engines = [stream, streams.complete]
    async with gateway_rig.running(llm=engines) as rig:
        statuses = await call_often(rig, "/brief/", 60)
        assert set(statuses) == {200}
        assert 1 <= len(arrived_ms) <= allowed_in(1_500.0)


async def test_refusal_names_a_limit_too():
    """Load: a server that turns requests away says how many it takes."""
    arrived_ms = []

    async def refuse(arrival):
        arrived_ms.append(0.0)
        arrival.refuse(b"Server-Limit: 0.5\r\n")

    async with gateway_rig.running(desk=[refuse, calls.answer]) as rig:
        assert set(await call_often(rig, "/order/", 50)) == {200}
        assert len(arrived_ms) <= 4


async def test_report_is_not_asked_of_an_engine_at_its_limit():
    """Load: a stream stalls on an engine that takes no more requests."""
    async with gateway_rig.running(llm=[streams.complete]) as rig:
        (engine,) = rig.blackboard.backends.read().by_id.values()
        rig.deps.intake.limits.observe(
            engine.backend_id,
            engine.service,
            gateway_messages.RateLimit(0.0),
            rig.clock.now_ms(),
        )
        reading = await rig.deps.reports.read(engine, 0.0)
        assert reading.report is None
        assert rig.deps.pool._idle_by_address == {}
