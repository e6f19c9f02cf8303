"""Streams with neither length nor chunks, which end with the connection."""

import pytest

from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


def event(number):
    return b"id: %d\ndata: piece%d\n\n" % (number, number)


def events(*numbers):
    return b"".join(map(event, numbers))


def unframed(body, how, rig_of):
    """Send a body without framing to the first request, and end it."""

    async def behave(arrival):
        engines = rig_of()
        if sum(len(engine.arrivals) for engine in engines) > 1:
            await streams.complete(arrival)
            return
        arrival.writer.write(arrival.head() + body)
        await arrival.writer.drain()
        if how == "gone":
            (engine,) = [e for e in engines if arrival in e.arrivals]
            engine._server.close()
        if how == "reset":
            arrival.reset()
        else:
            arrival.writer.close()

    return behave


@pytest.mark.parametrize(
    ("body", "how", "attempts"),
    [
        (events(*range(1, 7)), "closed", 1),
        (events(1, 2, 3) + b"id: 4\nda", "closed", 2),
        (events(1, 2, 3) + b"id: 4\n", "closed", 2),
        (events(1, 2, 3), "reset", 2),
        (events(1, 2, 3), "gone", 2),
        (b"", "closed", 2),
        (b"", "gone", 2),
    ],
    ids=[
        "whole",
        "within an event",
        "after a line",
        "reset",
        "engine lost between events",
        "nothing",
        "engine lost before an event",
    ],
)
async def test_unframed_stream_is_delivered_whole(body, how, attempts):
    rigs = []

    def engines():
        return rigs[0].engines_by_service[gateway_rig.LLM]

    behave = unframed(body, how, engines)
    async with gateway_rig.running(llm=[behave, behave]) as rig:
        rigs.append(rig)
        answer = await streams.read(rig.ask("/brief/1"))
        assert answer == (200, streams.ALL_EVENTS)
        assert len(streams.arrivals(rig)) == attempts
