"""Requests that share a part of their prompt that crashes engines."""

import asyncio

import aiohttp
import pytest

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
