"""Background work is restarted after a failure, which is logged."""

import asyncio

import pytest
import structlog

from oriolejunction import clock as clocks
from oriolejunction import supervision


async def test_failed_work_is_restarted_and_logged():
    clock = clocks.ManualClock()
    started_at_ms = []

    async def work():
        started_at_ms.append(clock.now_ms())
        if len(started_at_ms) < 3:
            raise ValueError("faulty")

    with structlog.testing.capture_logs() as lines:
        task = asyncio.create_task(supervision.run_supervised(work, clock))
        for _ in range(40):
            await asyncio.sleep(0)
            clock.advance(100.0)
    assert task.done()
    delay_ms = supervision.RESTART_DELAY_MS
    assert len(started_at_ms) == 3
    assert started_at_ms[1] - started_at_ms[0] >= delay_ms
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
