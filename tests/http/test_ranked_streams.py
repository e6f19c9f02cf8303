"""Streams of two ranks at the same engines."""

import asyncio

import msgspec
import pytest

from oriolejunction import entry_reports
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)
GOAL_MS = 600.0


def ranked_table():
    """Return a table whose stream routes have the ranks 1 and 4."""
    table = gateway_rig.table(stream_goal_ms=GOAL_MS)
    urgent = table.routes[0]
    later = msgspec.structs.replace(
        urgent, name="later", prefix="/later/", rank=4
    )
    return msgspec.structs.replace(table, routes=(*table.routes, later))


async def stream(arrival):
    arrival.begin()
    arrival.events(range(1, 4))
    arrival.end()


async def ask(rig, path, **headers):
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with rig.ask(path, path.strip("/"), **headers) as response:
        await response.read()
        assert response.status == 200
    return (loop.time() - started_s) * 1e3


async def test_priority_at_an_engine_follows_the_rank():
    """Fault: streams of both ranks had the default priority 5."""
    async with gateway_rig.running([stream], in_force=ranked_table()) as rig:
        (engine,) = rig.engines_by_service[gateway_rig.LLM]
        for path in ("/brief/1", "/later/2"):
            await ask(rig, path)
        for path in ("/brief/3", "/later/4"):
            await ask(rig, path, Last_Event_Id="1")
    new, later, resumed, resumed_later = (
        int(each.headers["request-priority"]) for each in engine.arrivals
    )
    assert resumed < resumed_later < new < later


async def test_engine_is_left_to_an_urgent_stream_of_another_instance():
    """Load: an urgent stream waits elsewhere while an engine comes free."""
    async with gateway_rig.running([stream], in_force=ranked_table()) as rig:

        def report(**waiting):
            use = fm.ServiceUse(gateway_rig.LLM, 9, 0, 1, **waiting)
            rig.write_fleet(
                fleet_view.FleetView(
                    use_by_service={gateway_rig.LLM: use},
                    updated_at_ms=rig.clock.now_ms(),
                )
            )

        report(waiting_second=1)
        assert await ask(rig, "/later/1", Deadline_Ms="3000") < 0.4 * GOAL_MS
        report(waiting_first=1)
        assert await ask(rig, "/brief/2") < 0.4 * GOAL_MS
        # It uses the slack that it has, and no more.
        waited_ms = await ask(rig, "/later/3", Deadline_Ms="3000")
        assert 0.4 * GOAL_MS < waited_ms < GOAL_MS


async def test_waiting_streams_are_reported_by_rank():
    """Fault: an instance whose report failed sent none at all."""
    async with gateway_rig.running([stream], in_force=ranked_table()) as rig:
        reports = entry_reports.EntryReports(
            rig.deps, ids.InstanceId("i"), "boot", lambda: ()
        )
        assert not reports.next_report().uses
        rig.deps.health.mark_lost("llm-0")
        asked = [
            asyncio.create_task(ask(rig, path, Deadline_Ms="3000"))
            for path in ("/brief/1", "/later/2", "/later/3")
        ]
        await asyncio.sleep(0.1)
        (use,) = reports.next_report().uses
        waiting = (use.waiting, use.waiting_first, use.waiting_second)
        assert waiting == (3, 1, 2)
        assert reports.is_urgent(gateway_rig.LLM, 1)
        assert not reports.is_urgent(gateway_rig.LLM, 4)
        rig.deps.health.forget_suspects()
        rig.deps.queue.notify_capacity()
        await asyncio.gather(*asked)
