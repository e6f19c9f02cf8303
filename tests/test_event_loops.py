"""Event loops of tests do not count pauses of the process."""

import asyncio
import time

import pytest

from tests import event_loops
from tests.platform import gateway_rig

PAUSE_S = 0.3


@pytest.mark.asyncio(**event_loops.PAUSELESS)
async def test_pause_does_not_end_a_wait_for_what_has_come():
    """Fault: a timer that a pause made late won over the data."""

    async def serve(reader, writer):
        writer.write(b"come")

    server, address = await gateway_rig.listen(serve)
    host, port = address.split(":")
    start_s = asyncio.get_running_loop().time()
    async with asyncio.timeout(PAUSE_S / 2):
        reader, writer = await asyncio.open_connection(host, port)
        time.sleep(PAUSE_S)
        assert await reader.readexactly(4) == b"come"
    assert asyncio.get_running_loop().time() - start_s < PAUSE_S / 2
    writer.close()
    server.close()


@pytest.mark.asyncio(**event_loops.PAUSELESS)
async def test_time_of_a_sleep_is_not_taken_for_a_pause():
    """Fault: time stands still, and no limit is ever reached."""
    clock = event_loops.LoopClock()
    start_ms = clock.now_ms()
    await asyncio.sleep(PAUSE_S)
    assert round(clock.now_ms() - start_ms) >= PAUSE_S * 1e3


@pytest.mark.asyncio(**event_loops.VIRTUAL)
async def test_virtual_time_passes_only_between_timers():
    clock = event_loops.LoopClock()
    order = []

    async def note(name, delay_ms):
        await clock.sleep_ms(delay_ms)
        order.append((name, round(clock.now_ms())))

    start_ms = clock.now_ms()
    both = asyncio.gather(note("late", 3_600_000.0), note("soon", 20.0))
    time.sleep(PAUSE_S)
    assert clock.now_ms() == start_ms
    await both
    assert order == [("soon", 20), ("late", 3_600_000)]
