"""Calls to plain servers that state their load, and their connections."""

import asyncio

import pytest

from oriolejunction import clock as clocks
from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection
from oriolejunction.http import connection_pool
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


async def read(request):
    async with request as response:
        return response.status, await response.read()


def stating(load):
    """Return a server that answers with a load."""

    async def behave(arrival):
        extra = b"Instance-Load: %s\r\nContent-Length: 5\r\n" % load
        arrival.writer.write(arrival.head(extra=extra) + b"whole")

    return behave


def refuse(arrival):
    """Reject a call with a load."""
    arrival.refuse(b"Instance-Load: 6,24,6\r\n", b"full")


async def test_calls_go_to_the_server_that_states_less_load():
    """Fault: the load in answers was read by nobody."""
    behaviours = [stating(b"6,20,6,300"), stating(b"1,0,6,100")]
    async with gateway_rig.running(desk=behaviours) as rig:
        for number in range(30):
            assert (await read(rig.ask(f"/look/{number}")))[0] == 200
        busy, idle = rig.engines_by_service[gateway_rig.DESK]
        # The busy one is in the zone of this instance.
        assert len(busy.arrivals) < 5 < len(idle.arrivals)


@pytest.mark.parametrize("path", ["/look/1", "/order/1"])
async def test_call_that_a_full_server_rejects_waits_and_is_served(path):
    """Load: one server, whose queue is full for a moment."""
    connections = set()

    async def behave(arrival):
        connections.add(arrival.writer)
        if len(server.arrivals) < 3:
            refuse(arrival)
        else:
            arrival.answer()

    async with gateway_rig.running(desk=[behave]) as rig:
        (server,) = rig.engines_by_service[gateway_rig.DESK]
        started_s = asyncio.get_running_loop().time()
        assert await read(rig.ask(path)) == (200, b"whole")
        took_s = asyncio.get_running_loop().time() - started_s
        assert took_s > 0.03
        assert len(server.arrivals) == 3
        # A late copy of a rejection would be taken for the next one.
        assert len(connections) == 3
        # Fault: the connection of each rejection was closed.
        await asyncio.gather(
            *(read(rig.ask(path, f"b{number}")) for number in range(3))
        )
        assert len(server.arrivals) == 6
        assert len(connections) == 3


async def test_full_servers_are_not_sent_the_calls_that_follow():
    async def behave(arrival):
        refuse(arrival)

    async with gateway_rig.running(desk=[behave]) as rig:
        (server,) = rig.engines_by_service[gateway_rig.DESK]
        answers = await asyncio.gather(
            *(read(rig.ask(f"/order/{n}", f"a{n}")) for n in range(12))
        )
        assert {status for status, _ in answers} == {503}
        # Without a hold, each call would be rejected four times.
        assert len(server.arrivals) < 2 * len(answers)


@pytest.mark.parametrize(
    ("load", "least_ms", "most_ms"),
    [((2, 0, 6), 400.0, 700.0), ((6, 9, 6), 800.0, 1_200.0)],
)
async def test_call_is_hedged_early_only_at_a_server_with_a_free_slot(
    load, least_ms, most_ms
):
    """Load: all servers are busy, and each slow call was sent twice."""
    started_ms = []

    async def behave(arrival):
        started_ms.append(rig.clock.now_ms())
        if len(started_ms) == 1:
            await asyncio.sleep(30)
        arrival.answer()

    async with gateway_rig.running(desk=[behave, behave]) as rig:
        for name in ("desk-0", "desk-1"):
            rig.deps.view.reported.observe(
                name, gateway_messages.ServerLoad(*load), 0, False, 0.0
            )
        assert await read(rig.ask("/look/1")) == (200, b"whole")
    assert least_ms < started_ms[1] - started_ms[0] < most_ms


class Connection(backend_connection.BackendConnection):
    """A connection that is open until it is closed."""

    def __init__(self, announces_timeout):
        super().__init__("a:1")
        self.announces_timeout = announces_timeout
        self.idle_limit_ms = 2_000.0


@pytest.mark.parametrize("announces_timeout", [True, False])
async def test_older_connection_is_kept_for_requests_that_may_use_it(
    monkeypatch, announces_timeout
):
    """Fault: a non-idempotent call closed what other calls could use."""
    clock = clocks.ManualClock()
    pool = connection_pool.ConnectionPool(clock)

    async def connect(address, timeout_ms, tries):
        return Connection(announces_timeout)

    monkeypatch.setattr(backend_connection, "connect", connect)
    older = Connection(announces_timeout)
    pool.release(older)
    clock.advance(600)
    new = await pool.acquire("a:1", 50.0, 1, 500.0, "a1")
    assert new is not older
    clock.advance(100)
    # The machine was heard from 100 ms ago.
    reused = await pool.acquire("a:1", 50.0, 1, 500.0, "a1")
    assert (reused is older) == announces_timeout
    if not announces_timeout:
        assert await pool.acquire("a:1", 50.0, 1, 4_000.0, "a1") is older
    pool.release(older)
    clock.advance(2_000)
    assert await pool.acquire("a:1", 50.0, 1, 4_000.0, "a1") is not older
    assert not older.usable
