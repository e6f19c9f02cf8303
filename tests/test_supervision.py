"""Work that must go on goes on after a fault, which is told."""

import asyncio

import pytest
import structlog

from oriolejunction import clock as clocks
from oriolejunction import supervision


async def test_work_that_failed_is_begun_again_and_told():
    clock = clocks.ManualClock()
    begun = []

    async def work():
        begun.append(clock.now_ms())
        if len(begun) < 3:
            raise ValueError("faulty")

    with structlog.testing.capture_logs() as lines:
        task = asyncio.create_task(supervision.run_supervised(work, clock))
        for _ in range(40):
            await asyncio.sleep(0)
            clock.advance(100.0)
    assert task.done()
    pause_ms = supervision.RESTART_DELAY_MS
    assert len(begun) == 3
    assert begun[1] - begun[0] >= pause_ms
    assert [line["log_level"] for line in lines] == ["error", "error"]


async def test_cancelled_work_ends():
    clock = clocks.ManualClock()
    task = asyncio.create_task(
        supervision.run_supervised(lambda: clock.sleep_ms(1e9), clock)
    )
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
