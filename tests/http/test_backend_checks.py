"""Crashes that the gateway blames on a request."""

import asyncio
import math

import pytest

from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction.http import backend_checks
from oriolejunction import ids
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig


async def resets(arrival):
    arrival.reset()


async def test_crashes_that_others_report_block_a_request_here():
    """Load: a request crashes engines of several instances, one each."""
    async with gateway_rig.running(llm=[streams.complete] * 2) as rig:

        def crashes(engine):
            async def behave(arrival):
                engine._server.close()
                arrival.reset()

            return behave

        for engine in rig.engines_by_service[gateway_rig.LLM]:
            engine.behave = crashes(engine)
        await streams.read(rig.ask("/brief/1"))
        await asyncio.gather(*rig.deps.background_tasks)
        own, _ = rig.deps.guard.crashes()
        reported = fm.EngineCrash(own.fingerprint, ids.BackendId("llm-9"))
        rig.write_fleet(
            fleet_view.FleetView(
                crashes_by_request={own.fingerprint: (reported,)}
            )
        )
        _, body = await streams.read(rig.ask("/brief/1", "a2"))
        assert b"crashed" in body


async def test_request_that_engines_answer_is_not_blamed_for_lost_links():
    """Load: callers share a request; links are reset and refuse for a bit."""
    async with gateway_rig.running(llm=[streams.complete] * 4) as rig:
        engines = rig.engines_by_service[gateway_rig.LLM]
        assert (await streams.read(rig.ask("/brief/1", "a1")))[0] == 200

        async def refuses_connections(deps, backend):
            return False

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(backend_checks, "is_reachable", refuses_connections)
            for engine in engines:
                engine.behave = resets
            await streams.read(rig.ask("/brief/1", "a2"))
            await asyncio.gather(*rig.deps.background_tasks)
        for engine in engines:
            engine.behave = streams.complete
            rig.deps.health.mark_answered(ids.BackendId(engine.name))
        assert (await streams.read(rig.ask("/brief/1", "a3")))[0] == 200


async def test_engine_reachable_again_at_once_did_not_crash(monkeypatch):
    """Load: a machine accepts no connection for a moment after a reset."""
    monkeypatch.setattr(backend_checks, "MIN_RESTART_MS", math.inf, False)
    checks = iter((False, True))

    async def refuses_once(deps, backend):
        return next(checks, True)

    monkeypatch.setattr(backend_checks, "is_reachable", refuses_once)
    async with gateway_rig.running(llm=[resets]) as rig:
        await streams.read(rig.ask("/brief/1"))
        await asyncio.gather(*rig.deps.background_tasks)
        assert rig.deps.health.suspects()
        assert rig.deps.guard.crashes() == ()
