"""Requests wait in order, in time, and hold no place after they have gone."""

import asyncio

import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers import wait_queue
from oriolejunction.http import placement_queue
from oriolejunction import ids


class Engine:
    """Room for a number of requests."""

    def __init__(self, room):
        self.room = room
        self.order = []

    def bid(self, name, may_go_on=lambda: True):
        def try_place():
            if not self.room:
                return None
            self.room -= 1
            self.order.append(name)
            return name

        def give_back(place):
            self.room += 1

        return placement_queue.PlacementRequest(
            try_place, may_go_on, give_back
        )


def waiter(bid, workspace="w", wait_ms=400.0):
    now_ms = clocks.SystemClock().now_ms()
    return wait_queue.Waiter(
        service=ids.ServiceName("llm"),
        workspace=ids.WorkspaceId(workspace),
        started=False,
        rank=1,
        tokens=1_000,
        since_ms=now_ms,
        until_ms=now_ms + wait_ms,
        has_exclusions=False,
        item=bid,
    )


@pytest.fixture
def room():
    return placement_queue.PlacementQueue(clocks.SystemClock())


async def test_workspaces_take_turns(room):
    """Load: one workspace's streams wait as another's first one comes."""
    engine = Engine(0)
    tasks = [
        asyncio.create_task(room.wait(waiter(engine.bid(name), name[0])))
        for name in ("a1", "a2", "a3", "b1")
    ]
    await asyncio.sleep(0.04)
    engine.room = 2
    await asyncio.sleep(0.06)
    assert sorted(engine.order) == ["a1", "b1"]
    engine.room = 2
    assert await asyncio.gather(*tasks) == ["a1", "a2", "a3", "b1"]


async def test_newcomer_does_not_overtake(room):
    engine = Engine(0)
    first = asyncio.create_task(room.wait(waiter(engine.bid("first"))))
    await asyncio.sleep(0.01)
    engine.room = 1
    second = waiter(engine.bid("second"), wait_ms=120.0)
    assert await room.wait(second) is None
    assert await first == "first"


async def test_wait_ends_in_time_and_where_it_is_in_vain(room):
    engine = Engine(0)
    start = asyncio.get_running_loop().time()
    assert await room.wait(waiter(engine.bid("a"), wait_ms=100.0)) is None
    took_s = asyncio.get_running_loop().time() - start
    assert took_s <= 0.1
    assert await room.wait(waiter(engine.bid("b", lambda: False))) is None


@pytest.mark.parametrize("placed_first", [False, True])
async def test_caller_that_leaves_holds_no_place(room, placed_first):
    engine = Engine(0)
    task = asyncio.create_task(room.wait(waiter(engine.bid("gone"))))
    await asyncio.sleep(0.01)
    engine.room = 1
    if placed_first:
        while not engine.order:
            room._place_waiters(ids.ServiceName("llm"))
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert engine.room == 1
    assert await room.wait(waiter(engine.bid("next"))) == "next"


async def test_fault_of_one_request_leaves_the_others_waiting(room):
    engine = Engine(0)

    def fail():
        raise ValueError("faulty")

    faulty = placement_queue.PlacementRequest(
        fail, lambda: True, lambda place: None
    )
    sound = asyncio.create_task(room.wait(waiter(engine.bid("sound"))))
    await asyncio.sleep(0)
    with pytest.raises(ValueError, match="faulty"):
        await room.wait(waiter(faulty))
    engine.room = 1
    assert await sound == "sound"


async def test_failed_room_lets_all_go(room, monkeypatch):
    engine = Engine(0)

    def fail(*_):
        raise ValueError("faulty")

    monkeypatch.setattr(wait_queue, "must_yield", fail)
    monkeypatch.setattr(room, "_place_waiters", fail)
    assert await room.wait(waiter(engine.bid("a"))) is None
    monkeypatch.undo()
    engine.room = 1
    assert await room.wait(waiter(engine.bid("b"))) == "b"
