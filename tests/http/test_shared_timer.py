"""The timer of a stream's waits, against limits missed or applied twice."""

import asyncio

import pytest

from oriolejunction.http import shared_timer
from tests import event_loops

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)


async def never():
    """Wait without end."""
    await asyncio.get_running_loop().create_future()


async def test_each_wait_has_its_own_limit():
    """A timer left from an earlier wait doesn't change a later one's end."""
    loop, timer = asyncio.get_running_loop(), shared_timer.SharedTimer()
    for limits_ms in ((100, 150), (500, 100), (100, 400), (300, 300)):
        await timer.bound(lambda: asyncio.sleep(0.05), limits_ms[0])
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            await timer.bound(never, limits_ms[1])
        waited_ms = (loop.time() - began_s) * 1e3
        assert waited_ms == pytest.approx(limits_ms[1])
        # The wait that was ended leaves no cancellation behind.
        await asyncio.sleep(0.2)
        assert asyncio.current_task().cancelling() == 0


async def test_results_and_errors_are_passed_on():
    """An error of the work is not taken for the end of its time."""
    timer = shared_timer.SharedTimer()
    assert await timer.bound(lambda: asyncio.sleep(0, "done"), 0.0) == "done"

    async def fail():
        await asyncio.sleep(0.01)
        raise ConnectionError

    with pytest.raises(ConnectionError):
        await timer.bound(fail, 100.0)


async def test_cancelled_task_is_not_timed_out():
    """A caller who leaves ends the task, also at the limit's own moment."""
    timers = []

    async def wait():
        timers.append(shared_timer.SharedTimer())
        await timers[0].bound(never, 100.0)

    for cancelled_after_s in (0.05, 0.1):
        timers.clear()
        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_later(cancelled_after_s, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task
