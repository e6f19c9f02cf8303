"""Order, time limit and cancellation of requests in the placement queue."""

import asyncio

import msgspec
import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import wait_queue
from oriolejunction.http import placement_queue
from oriolejunction import ids
from tests import event_loops

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)


class Engine:
    """An engine with slots for a number of requests."""

    def __init__(self, free_slots):
        self.free_slots = free_slots
        self.order = []

    def free(self, queue, slots):
        """Free slots and tell the queue, as an answer's end does."""
        self.free_slots = slots
        queue.notify_capacity()

    def request(self, name, may_wait=lambda: True):
        def try_place():
            if not self.free_slots:
                return None
            self.free_slots -= 1
            self.order.append(name)
            return name

        def release(assignment):
            self.free_slots += 1

        return placement_queue.PlacementRequest(try_place, may_wait, release)


def waiter(request, workspace="w", wait_ms=400.0, now_ms=None):
    if now_ms is None:
        now_ms = event_loops.LoopClock().now_ms()
    return wait_queue.Waiter(
        service=ids.ServiceName("llm"),
        workspace=ids.WorkspaceId(workspace),
        started=False,
        rank=1,
        tokens=1_000,
        since_ms=now_ms,
        until_ms=now_ms + wait_ms,
        has_exclusions=False,
        item=request,
    )


@pytest.fixture
def queue():
    return placement_queue.PlacementQueue(event_loops.LoopClock())


async def test_workspaces_take_turns(queue):
    """Load: a workspace has waiting streams as another sends its first."""
    engine = Engine(0)
    tasks = [
        asyncio.create_task(queue.wait(waiter(engine.request(name), name[0])))
        for name in ("a1", "a2", "a3", "b1")
    ]
    await asyncio.sleep(0.04)
    engine.free(queue, 2)
    await asyncio.sleep(0.06)
    assert sorted(engine.order) == ["a1", "b1"]
    engine.free(queue, 2)
    assert await asyncio.gather(*tasks) == ["a1", "a2", "a3", "b1"]


async def test_newcomer_does_not_overtake(queue):
    engine = Engine(0)
    first = asyncio.create_task(queue.wait(waiter(engine.request("first"))))
    await asyncio.sleep(0.01)
    engine.free(queue, 1)
    second = waiter(engine.request("second"), wait_ms=120.0)
    assert await queue.wait(second) is None
    assert await first == "first"


async def test_wait_ends_at_its_limit_and_if_waiting_makes_no_sense(queue):
    engine = Engine(0)
    start = asyncio.get_running_loop().time()
    assert await queue.wait(waiter(engine.request("a"), wait_ms=100.0)) is None
    took_s = asyncio.get_running_loop().time() - start
    assert took_s <= 0.1
    assert await queue.wait(waiter(engine.request("b", lambda: False))) is None


@pytest.mark.parametrize("placed_first", [False, True])
async def test_cancelled_wait_releases_its_assignment(queue, placed_first):
    engine = Engine(0)
    task = asyncio.create_task(queue.wait(waiter(engine.request("gone"))))
    await asyncio.sleep(0.01)
    engine.free(queue, 1)
    if placed_first:
        while not engine.order:
            queue._place_waiters(ids.ServiceName("llm"))
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert engine.free_slots == 1
    assert await queue.wait(waiter(engine.request("next"))) == "next"


async def test_error_of_one_request_does_not_end_other_waits(queue):
    engine = Engine(0)

    def fail():
        raise ValueError("faulty")

    faulty = placement_queue.PlacementRequest(
        fail, lambda: True, lambda assignment: None
    )
    healthy = asyncio.create_task(
        queue.wait(waiter(engine.request("healthy")))
    )
    await asyncio.sleep(0)
    with pytest.raises(ValueError, match="faulty"):
        await queue.wait(msgspec.structs.replace(waiter(faulty), tokens=500))
    engine.free(queue, 1)
    assert await healthy == "healthy"


async def test_failed_polling_ends_all_waits(queue, monkeypatch):
    engine = Engine(0)

    def fail(*_):
        raise ValueError("faulty")

    monkeypatch.setattr(wait_queue, "must_yield", fail)
    monkeypatch.setattr(queue, "_place_waiters", fail)
    assert await queue.wait(waiter(engine.request("a"))) is None
    monkeypatch.undo()
    engine.free(queue, 1)
    assert await queue.wait(waiter(engine.request("b"))) == "b"


async def test_request_that_cannot_be_served_in_time_is_rejected_at_once():
    """Load: a zone is lost, and forty streams wait for the survivors."""
    clock = clocks.ManualClock()
    queue = placement_queue.PlacementQueue(clock)
    engine = Engine(0)

    def request(name, interval_ms):
        return placement_queue.PlacementRequest(
            engine.request(name).try_place,
            lambda: True,
            lambda assignment: None,
            lambda ahead: (ahead + 1) * interval_ms,
        )

    tasks = [
        asyncio.create_task(
            queue.wait(waiter(request(f"r{n}", 30.0), now_ms=clock.now_ms()))
        )
        for n in range(40)
    ]
    done, waiting = await asyncio.wait(tasks, timeout=0.05)
    assert [task.result() for task in done] == [None] * len(done)
    assert len(waiting) == 13
    engine.free(queue, 13)
    clock.advance(placement_queue.MIN_INTERVAL_MS)
    await asyncio.gather(*waiting)
    assert engine.order == [f"r{n}" for n in range(len(waiting))]


async def test_waiters_that_do_not_fit_are_not_tried_against_all_engines(
    queue,
):
    """Load: a hundred streams wait while capacity changes often."""
    tries = []

    def try_place():
        tries.append(1)

    request = placement_queue.PlacementRequest(
        try_place, lambda: True, lambda assignment: None
    )
    tasks = [
        asyncio.create_task(
            queue.wait(
                waiter(msgspec.structs.replace(request, future=future()))
            )
        )
        for _ in range(100)
    ]
    await asyncio.sleep(0)
    tries.clear()
    queue._place_waiters(ids.ServiceName("llm"))
    assert len(tries) == 1
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_queue_whose_requests_all_left_ends_without_an_error(
    queue, monkeypatch
):
    """Load: callers disconnect while they wait."""
    errors = []
    monkeypatch.setattr(
        placement_queue._log, "exception", lambda *a, **k: errors.append(a)
    )
    engine = Engine(0)
    tasks = [
        asyncio.create_task(queue.wait(waiter(engine.request(name))))
        for name in "ab"
    ]
    await asyncio.sleep(0.002)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0.05)
    assert not errors
    assert queue._poll_task is None


def future():
    return asyncio.get_running_loop().create_future()
