"""Only whole new events are progress; slow streams are left to go on."""

import asyncio

from aiohttp import web
import pytest

from oriolejunction.controllers import silence_detector
from oriolejunction.controllers import stalls
from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

EVENT = b"id: 4\ndata: piece4\n\n"


def trickle(*pieces):
    """Return the behaviour of an engine that stalls after three events.

    It sends a piece now and then; one that resumes the stream completes it.
    """

    async def behave(arrival):
        if "last-event-id" in arrival.headers:
            await streams.complete(arrival)
            return
        arrival.begin()
        arrival.events([1, 2, 3])
        for _ in range(40):
            for piece in pieces:
                await asyncio.sleep(0.05)
                arrival.chunk(piece)
                await arrival.writer.drain()

    return behave


@pytest.mark.parametrize(
    "pieces",
    [
        [b": beat\n\n"],
        [b"event: ping\n\n"],
        [b"id: 3\ndata: piece3\n\n"],
        [bytes([byte]) for byte in EVENT[:-2]] + [b"x"] * 60,
    ],
)
async def test_stalled_stream_goes_on_elsewhere_whatever_bytes_come(pieces):
    """Fault: a stalled engine sent something now and then, without end."""
    async with gateway_rig.running(llm=[trickle(*pieces)] * 2) as rig:
        async with asyncio.timeout(1.8):
            answer = await streams.read(rig.ask("/brief/1"))
        assert answer == (200, streams.ALL_EVENTS)
        assert len(streams.arrivals(rig)) == 2


async def test_stream_slower_by_a_factor_of_eight_is_not_cut_off():
    """Fault: a slow but healthy engine was taken for a stalled one."""
    gap_ms = 30.0

    async def slow(arrival):
        arrival.begin()
        for number in range(1, 7):
            await asyncio.sleep(8 * gap_ms / 1e3)
            arrival.events([number])
            await arrival.writer.drain()
        arrival.end()

    async with gateway_rig.running(llm=[slow] * 2) as rig:
        for backend_id in rig.blackboard.backends.read().by_id:
            for _ in range(4 * silence_detector.MIN_SAMPLES):
                rig.deps.speeds.add_gap(backend_id, gap_ms)
        answer = await streams.read(rig.ask("/brief/1"))
        assert answer == (200, streams.ALL_EVENTS)
        assert len(streams.arrivals(rig)) == 1


async def test_caller_that_reads_slowly_does_not_make_its_engine_look_slow():
    """Fault: the time in which the caller read nothing counted as silence."""
    added = []
    async with gateway_rig.running(llm=[streams.complete]) as rig:
        add_gap = rig.deps.speeds.add_gap
        rig.deps.speeds.add_gap = lambda backend_id, gap_ms: (
            added.append(gap_ms),
            add_gap(backend_id, gap_ms),
        )
        write = web.StreamResponse.write

        async def write_slowly(response, data):
            await asyncio.sleep(0.2)
            await write(response, data)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(web.StreamResponse, "write", write_slowly)
            answer = await streams.read(rig.ask("/brief/1"))
        assert answer == (200, streams.ALL_EVENTS)
        assert max(added, default=0.0) < 150.0


def test_limits_of_a_silent_stream_are_bounded():
    """Between events, at the longest; with few events, at the least."""
    gaps = silence_detector.GapEstimate()
    few = stalls.limits_between_events(gaps, 700.0)
    assert few.give_up_ms == stalls.GIVE_UP_FRACTION * 700.0
    for _ in range(200):
        gaps.add(9_000.0)
    many = stalls.limits_between_events(gaps, 700.0)
    assert many.give_up_ms == stalls.MAX_GIVE_UP_MS
