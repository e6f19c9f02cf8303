"""Holds requests until a backend server has capacity for them."""

import asyncio
import collections.abc
import dataclasses
import typing

import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import wait_queue
from oriolejunction import ids

# Reported loads change every few ms; one poll takes less than one ms.
POLL_INTERVAL_MS = 25.0
_log = structlog.get_logger(__name__)

Assignment = typing.TypeVar("Assignment")


@dataclasses.dataclass(frozen=True)
class PlacementRequest(typing.Generic[Assignment]):
    """The callbacks through which a request is assigned a backend server.

    `try_place` reserves capacity and returns the assignment, or None.
    `may_wait` returns whether waiting still makes sense. `release` undoes
    an assignment made after the request was cancelled.
    """

    try_place: collections.abc.Callable[[], Assignment | None]
    may_wait: collections.abc.Callable[[], bool]
    release: collections.abc.Callable[[Assignment], None]
    future: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PlacementQueue:
    """Polls for capacity and assigns it in the order of `WaitQueue`."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._queue: wait_queue.WaitQueue[PlacementRequest] = (
            wait_queue.WaitQueue()
        )
        self._poll_task: asyncio.Task | None = None

    async def wait(
        self, waiter: wait_queue.Waiter[PlacementRequest]
    ) -> typing.Any:
        """Return an assignment, or None if there was none in time."""
        request = waiter.item
        if not request.may_wait():
            return None
        if self._queue.is_empty(waiter.service):
            assignment = request.try_place()
            if (
                assignment is not None
                or self._clock.now_ms() >= waiter.until_ms
            ):
                return assignment
        self._queue.add(waiter)
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._run())
        try:
            return await request.future
        except asyncio.CancelledError:
            if request.future.cancelled():
                self._queue.withdraw(waiter)
            elif request.future.exception() is None:
                assignment = request.future.result()
                if assignment is not None:
                    request.release(assignment)
            raise

    async def _run(self) -> None:
        try:
            while not self._queue.is_empty():
                for service in self._queue.services():
                    self._place_waiters(service)
                await self._clock.sleep_ms(POLL_INTERVAL_MS)
        except Exception:
            _log.exception("placement queue failed, waiting requests released")
            for service in self._queue.services():
                for waiter in self._queue.in_order(service, 0.0):
                    self._queue.withdraw(waiter)
                    if not waiter.item.future.done():
                        waiter.item.future.set_result(None)
        finally:
            self._poll_task = None

    def _place_waiters(self, service: ids.ServiceName) -> None:
        """Assign capacity to the requests that wait for a service."""
        now_ms = self._clock.now_ms()
        unplaced: list[wait_queue.Waiter[PlacementRequest]] = []
        for waiter in self._queue.in_order(service, now_ms):
            request = waiter.item
            if request.future.done():
                continue
            assignment = None
            try:
                is_over = not request.may_wait()
                if not is_over and not wait_queue.must_yield(
                    waiter, unplaced, now_ms
                ):
                    assignment = request.try_place()
            except Exception as error:
                # An error of one request must not end the wait of the others.
                _log.exception("placement failed", service=service)
                self._queue.withdraw(waiter)
                request.future.set_exception(error)
                continue
            if assignment is not None:
                self._queue.remove_served(waiter)
                request.future.set_result(assignment)
            elif is_over or now_ms + POLL_INTERVAL_MS > waiter.until_ms:
                self._queue.withdraw(waiter)
                request.future.set_result(None)
            else:
                unplaced.append(waiter)
