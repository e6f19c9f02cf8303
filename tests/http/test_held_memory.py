"""Bodies and unread answers are bounded over all requests."""

import asyncio
import gc
import weakref

import msgspec
import pytest

from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.http import backend_connection
from oriolejunction import ids
from oriolejunction import routing_table
from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)
BREWER = ids.WorkspaceId("brewer")


async def status_of(request):
    async with request as response:
        await response.read()
        return response.status, response.headers.get("Retry-After")


async def test_body_that_exceeds_the_memory_is_refused_and_not_run():
    """Load: bodies of other requests wait for servers."""

    async def answer(arrival):
        arrival.answer()

    async with gateway_rig.running(desk=[answer]) as rig:
        (server,) = rig.engines_by_service[gateway_rig.DESK]
        bodies = rig.deps.bodies
        bodies._limit_bytes = 20.0
        with bodies.hold() as others:
            assert others.add(15)
            status, retry_after = await status_of(rig.ask("/order/1"))
            assert status == 503 and retry_after is not None
            assert not server.arrivals
        assert (await status_of(rig.ask("/order/2", "a2")))[0] == 200
        with bodies.hold() as others:
            others.add(6)
            others.assign(BREWER)
            # The workspace would hold 12 of 20 bytes, and may hold 10.
            assert (await status_of(rig.ask("/order/3", "a3")))[0] == 503
        assert len(server.arrivals) == 1
        assert not bodies.used_bytes
        assert bodies.add_of(BREWER, 0)


class Transport:
    """Records whether it is read from."""

    def __init__(self):
        self.is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def get_extra_info(self, name):
        return None

    def write(self, data):
        pass

    def abort(self):
        pass


async def test_server_waits_sooner_while_callers_read_slowly():
    """Load: hundreds of callers that do not read their answers."""
    budget = buffer_budget.BufferBudget(100_000.0)

    def new_connection():
        connection = backend_connection.BackendConnection("a:1")
        connection.unread.budget = budget
        transport = Transport()
        connection.connection_made(transport)
        connection.send("GET", "/", [(b"Host", b"a")], b"")
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"
        )
        return connection, transport

    slow, slow_transport = new_connection()
    slow.data_received(b"x" * 90_000)
    assert not slow_transport.is_paused
    other, transport = new_connection()
    other.data_received(b"x" * 20_000)
    assert transport.is_paused
    await other.read_response_head()
    received = 0
    while transport.is_paused:
        received += len(await other.read_chunk())
    assert received < 20_000
    held = budget.used_bytes
    slow.close()
    assert budget.used_bytes <= held - 90_000
    other.close()
    assert budget.used_bytes == 0
    await asyncio.sleep(0)


class WatchedTable(routing_table.RoutingTable, frozen=True, weakref=True):
    """A table that tells when nothing holds it any more."""


@pytest.mark.parametrize("path", ["/brief/1", "/look/1", "/order/1"])
async def test_table_is_not_held_by_the_requests_it_was_in_force_for(path):
    """Load: large tables follow each other while long streams run."""
    async with gateway_rig.running(
        llm=[streams.hang], desk=[streams.hang]
    ) as rig:
        fields = msgspec.structs.asdict(gateway_rig.table(2))
        first = WatchedTable(**fields)
        held = weakref.ref(first)
        rig.put_in_force(first)
        del first
        asked = asyncio.create_task(streams.read(rig.ask(path)))
        await asyncio.sleep(0.2)
        rig.put_in_force(gateway_rig.table(3))
        gc.collect()
        assert not asked.done()
        assert held() is None
        asked.cancel()
