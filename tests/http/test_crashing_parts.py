"""Requests that share a part of their prompt that crashes engines."""

import asyncio

import aiohttp
import pytest

from oriolejunction.controllers import part_guard
from oriolejunction import fleet_view
from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

PROMPT_HEADER = "prompt-prefix"
CRASHING = "bad"
MAX_CRASHES = 5


def crash_on_part(rig):
    """Let each engine crash when it begins an answer on the part."""
    crashed = []

    def behave_as(engine):
        async def behave(arrival):
            if CRASHING not in arrival.headers[PROMPT_HEADER]:
                await streams.complete(arrival)
                return
            arrival.begin()
            arrival.events([1, 2])
            await asyncio.sleep(0.05)
            crashed.append(engine)
            engine._server.close()
            arrival.reset()

        return behave

    for engine in rig.engines_by_service[gateway_rig.LLM]:
        engine.behave = behave_as(engine)
    return crashed


async def send(rig, number, parts):
    """Send a request that no other one equals; return its answer."""
    try:
        return await streams.read(
            rig.ask(
                f"/brief/{number}",
                f"a{number}",
                Prompt_Prefix=f"{parts},{number}:900",
            )
        )
    except aiohttp.ClientError:
        return None
    finally:
        await asyncio.gather(*rig.deps.background_tasks)


async def test_requests_that_share_a_crashing_part_are_stopped():
    """Load: no two of them are alike, and each answer has begun."""
    async with gateway_rig.running(llm=[streams.complete] * 14) as rig:
        crashed = crash_on_part(rig)
        for number in range(6):
            await send(rig, number, "aa:200,bad:4000")
        assert len(crashed) <= MAX_CRASHES
        sound = await send(rig, 9, "aa:200,cc:4000")
        assert sound == (200, streams.ALL_EVENTS)


def arrivals_with(rig, part):
    return [
        arrival
        for engine in rig.engines_by_service[gateway_rig.LLM]
        for arrival in engine.arrivals
        if part in arrival.headers[PROMPT_HEADER]
    ]


async def test_sound_requests_begin_at_their_first_attempt_meanwhile():
    """Load: they share the caller and the first part with the bad ones."""
    async with gateway_rig.running(llm=[streams.complete] * 14) as rig:
        crash_on_part(rig)
        for number in range(6):
            await send(rig, number, "aa:200,bad:4000")
        reached = len(arrivals_with(rig, CRASHING))
        for number in range(10, 30):
            status, body = await send(rig, number, "aa:200,bad:4000")
            assert status == 503 and b"not_run" in body
            sound = await send(rig, 100 + number, "aa:200,cc:4000")
            assert sound == (200, streams.ALL_EVENTS)
        assert len(arrivals_with(rig, CRASHING)) == reached
        assert len(arrivals_with(rig, "cc")) == 20


async def test_servers_that_break_off_answers_accuse_no_part():
    """Load: answers are reset, and their engines keep working."""

    async def break_off(arrival):
        arrival.begin()
        arrival.events([1, 2])
        await asyncio.sleep(0.05)
        arrival.reset()

    async with gateway_rig.running(llm=[break_off] * 4) as rig:
        for number in range(3):
            await send(rig, number, "aa:200,bad:4000")
        assert rig.deps.parts.crashes() == ()


async def test_answer_under_way_for_long_accuses_no_part(monkeypatch):
    """Load: an engine with answers under way is lost."""
    monkeypatch.setattr(part_guard, "BEGUN_MS", 40.0)
    async with gateway_rig.running(llm=[streams.complete] * 4) as rig:
        crash_on_part(rig)
        for engine in rig.engines_by_service[gateway_rig.LLM]:
            crash = engine.behave

            async def write_on(arrival, crash=crash):
                arrival.begin()
                for event in range(1, 6):
                    arrival.events([event])
                    await asyncio.sleep(0.02)
                await crash(arrival)

            engine.behave = write_on
        await send(rig, 1, "aa:200,bad:4000")
        assert rig.deps.parts.crashes() == ()


async def test_request_that_waits_is_not_sent_once_its_part_is_blocked():
    """Load: a part is blocked while requests with it wait for an engine."""
    async with gateway_rig.running(llm=[streams.complete]) as rig:
        listed = dict(rig.blackboard.backends.read().by_id)
        rig.list({})
        waiting = asyncio.create_task(send(rig, 1, "aa:200,bad:4000"))
        await asyncio.sleep(0.05)
        rig.write_fleet(
            fleet_view.FleetView(blocked_parts=frozenset({frozenset({"bad"})}))
        )
        rig.list(listed)
        status, body = await waiting
        assert status == 503 and b"not_run" in body
        assert b"crashed" in body
        assert arrivals_with(rig, CRASHING) == []
