"""A server that says that it leaves gets no new request from an instance.

The list names it as ready for some time more, or again.
"""

import msgspec
import pytest

from oriolejunction import fleet_messages as fm
from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.http import test_gateway_stream as streams
from tests.http import test_server_limits as limits
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

LEAVING = b"Server-Leaving: 1\r\n"


async def last_answer(arrival):
    """Answer as a server that leaves."""
    arrival.writer.write(
        arrival.head(extra=LEAVING + b"Content-Length: 5\r\n") + b"whole"
    )


async def last_stream(arrival):
    """Begin a stream as a server that leaves, and never end it."""
    arrival.writer.write(
        arrival.head(extra=LEAVING + b"Transfer-Encoding: chunked\r\n")
    )
    arrival.events([1, 2])
    await arrival.writer.drain()
    await arrival.reader.read()


async def last_refusal(arrival):
    """Turn a request away as a server that leaves."""
    arrival.refuse(LEAVING)


def arrivals(rig, name):
    """Return how many requests a server got."""
    (found,) = (
        each
        for engines in rig.engines_by_service.values()
        for each in engines
        if each.name == name
    )
    return len(found.arrivals)


def relist(rig, **changes):
    """List the same servers again, each with these changes."""
    listed = rig.blackboard.backends.read().by_id
    rig.list(
        {
            backend_id: msgspec.structs.replace(each, **changes)
            for backend_id, each in listed.items()
        }
    )


@pytest.mark.parametrize("behave", [last_answer, last_refusal])
@pytest.mark.parametrize("path", ["/look/", "/order/"])
async def test_calls_leave_out_a_server_that_leaves(behave, path):
    """Fault: the header was not read, and the server closed under calls."""
    async with gateway_rig.running(desk=[behave, calls.answer]) as rig:
        statuses = await limits.call_often(rig, path, 40)
        assert set(statuses) == {200}
        assert arrivals(rig, "desk-0") <= 1
        relist(rig)
        assert set(await limits.call_often(rig, path, 10)) == {200}
        assert arrivals(rig, "desk-0") <= 1


async def test_streams_copies_and_resumed_streams_leave_it_out():
    """Fault: the engine was chosen for the next streams and for copies."""
    async with gateway_rig.running(
        llm=[last_stream, streams.complete, streams.complete]
    ) as rig:
        while not arrivals(rig, "llm-0"):
            async with rig.ask("/brief/1") as response:
                await response.content.readany()
        leaving = rig.engines_by_service[gateway_rig.LLM][0].address
        others = rig.engines_by_service[gateway_rig.LLM][1:]
        for engine in others:
            engine.arrivals.clear()
        for number in range(8):
            resumed = {"Resumes": "a1", "Last_Event_Id": "2"} if number else {}
            await streams.read(rig.ask("/brief/1", f"b{number}", **resumed))
        assert arrivals(rig, "llm-0") == 1
        sent = [each for engine in others for each in engine.arrivals]
        assert len(sent) == 8
        assert all(each.headers.get("kv-backup") != leaving for each in sent)


async def test_server_that_leaves_is_asked_for_no_report():
    async with gateway_rig.running(llm=[last_stream]) as rig:
        (engine,) = rig.blackboard.backends.read().by_id.values()
        rig.deps.intake.departures.observe_answer(engine, 0.0, "answer")
        reading = await rig.deps.reports.read(engine, 0.0)
        assert reading.report is None
        assert rig.deps.pool._idle_by_address == {}


@pytest.mark.parametrize("born", [0, 5, 7])
async def test_report_tells_that_an_engine_leaves(born):
    """Fault: a report of a later incarnation opened the engine at once."""

    async def report(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = b'{"born": %d}' % born
        writer.write(
            b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s"
            % (LEAVING, len(body), body)
        )

    server, address = await gateway_rig.listen(report)
    async with gateway_rig.running(llm=[streams.complete]) as rig:
        relist(rig, address=address, born=5)
        (engine,) = rig.blackboard.backends.read().by_id.values()
        assert (await rig.deps.reports.read(engine, 0.0)).report is not None
        assert not rig.deps.intake.allows(engine.backend_id)
        # The list may have been read before the engine left.
        relist(rig, born=5)
        assert not rig.deps.intake.allows(engine.backend_id)
        relist(rig, born=8)
        assert rig.deps.intake.allows(engine.backend_id)
    server.close()


async def test_request_on_its_way_to_a_leaving_server_is_sent_elsewhere():
    """Load: the server says that it leaves while a connection is opened."""
    async with gateway_rig.running(desk=[last_answer, calls.answer]) as rig:
        acquire = rig.deps.pool.acquire

        async def acquire_slowly(address, *limits_of_connection):
            connection = await acquire(address, *limits_of_connection)
            leaving = rig.blackboard.backends.read().by_id["desk-0"]
            rig.deps.intake.departures.observe_answer(
                leaving, rig.clock.now_ms(), "answer"
            )
            return connection

        rig.deps.pool.acquire = acquire_slowly
        statuses = await limits.call_often(rig, "/order/", 5)
        assert set(statuses) == {200}
        assert arrivals(rig, "desk-0") == 0


async def test_server_that_another_instance_found_leaving_gets_nothing():
    async with gateway_rig.running(desk=[calls.answer] * 2) as rig:
        relist(rig, born=4)
        rig.write_fleet(
            msgspec.structs.replace(
                rig.blackboard.fleet.read(),
                leaving=(fm.LeavingServer("desk-0", 4, 300),),
            )
        )
        await limits.call_often(rig, "/look/", 10)
        assert arrivals(rig, "desk-0") == 0
        # A reply of a replica that knows less opens it no more.
        rig.write_fleet(
            msgspec.structs.replace(rig.blackboard.fleet.read(), leaving=())
        )
        await limits.call_often(rig, "/look/", 10)
        assert arrivals(rig, "desk-0") == 0
        relist(rig, born=6)
        await limits.call_often(rig, "/look/", 10)
        assert arrivals(rig, "desk-0") > 0
