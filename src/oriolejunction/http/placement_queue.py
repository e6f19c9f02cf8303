"""Holds requests until a backend server has room for them."""

import asyncio
import collections.abc
import dataclasses
import typing

import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers import wait_queue
from oriolejunction import ids

# The loads of others change every few ms; a look takes less than one ms.
POLL_INTERVAL_MS = 25.0
_log = structlog.get_logger(__name__)

Assignment = typing.TypeVar("Assignment")


@dataclasses.dataclass(frozen=True)
class PlacementRequest(typing.Generic[Assignment]):
    """How one request asks for a place.

    `try_place` returns a place, taken at once, or None; `may_go_on` whether
    waiting still makes sense; `give_back` undoes a place that comes when
    the request has gone.
    """

    try_place: collections.abc.Callable[[], Assignment | None]
    may_wait: collections.abc.Callable[[], bool]
    release: collections.abc.Callable[[Assignment], None]
    future: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PlacementQueue:
    """Gives places in the order of `waiting`, a look every few ms."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._queue: wait_queue.WaitQueue[PlacementRequest] = (
            wait_queue.WaitQueue()
        )
        self._poll_task: asyncio.Task | None = None

    async def wait(
        self, waiter: wait_queue.Waiter[PlacementRequest]
    ) -> typing.Any:
        """Return a place, or None where there was none in time."""
        bid = waiter.item
        if not bid.may_wait():
            return None
        if self._queue.is_empty(waiter.service):
            place = bid.try_place()
            if place is not None or self._clock.now_ms() >= waiter.until_ms:
                return place
        self._queue.add(waiter)
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._run())
        try:
            return await bid.future
        except asyncio.CancelledError:
            if bid.future.cancelled():
                self._queue.withdraw(waiter)
            elif bid.future.exception() is None:
                place = bid.future.result()
                if place is not None:
                    bid.release(place)
            raise

    async def _run(self) -> None:
        try:
            while not self._queue.is_empty():
                for service in self._queue.services():
                    self._place_waiters(service)
                await self._clock.sleep_ms(POLL_INTERVAL_MS)
        except Exception:
            _log.exception("waiting room failed; all that wait are let go")
            for service in self._queue.services():
                for waiter in self._queue.in_order(service, 0.0):
                    self._queue.withdraw(waiter)
                    if not waiter.item.future.done():
                        waiter.item.future.set_result(None)
        finally:
            self._poll_task = None

    def _place_waiters(self, service: ids.ServiceName) -> None:
        """Give places to those that wait for a service."""
        now_ms = self._clock.now_ms()
        unplaced: list[wait_queue.Waiter[PlacementRequest]] = []
        for waiter in self._queue.in_order(service, now_ms):
            bid = waiter.item
            if bid.future.done():
                continue
            place = None
            try:
                is_over = not bid.may_wait()
                if not is_over and not wait_queue.must_yield(
                    waiter, unplaced, now_ms
                ):
                    place = bid.try_place()
            except Exception as error:
                # One request's fault must not end the wait of all others.
                _log.exception("no place looked for", service=service)
                self._queue.withdraw(waiter)
                bid.future.set_exception(error)
                continue
            if place is not None:
                self._queue.remove_served(waiter)
                bid.future.set_result(place)
            elif is_over or now_ms + POLL_INTERVAL_MS > waiter.until_ms:
                self._queue.withdraw(waiter)
                bid.future.set_result(None)
            else:
                unplaced.append(waiter)
