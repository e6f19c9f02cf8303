"""Holds requests until a backend server has capacity for them."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import typing

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import wait_queue
from oriolejunction import ids

# Suspicions of backend servers expire without any event.
POLL_INTERVAL_MS = 100.0
# Changes within this time are handled together.
MIN_INTERVAL_MS = 5.0
_log = structlog.get_logger(__name__)

Assignment = typing.TypeVar("Assignment")


def unknown_wait_ms(ahead: int) -> float:
    """Return 0: the wait behind `ahead` other requests is not known."""
    return 0.0


class PlacementRequest(
    msgspec.Struct, typing.Generic[Assignment], frozen=True
):
    """The callbacks through which a request is assigned a backend server.

    `try_place` reserves capacity and returns the assignment, or None.
    `may_wait` returns whether waiting still makes sense. `release` undoes
    an assignment made after the request was cancelled. `wait_ms` returns the
    expected wait behind a number of other requests, 0 if it is not known.
    """

    try_place: collections.abc.Callable[[], Assignment | None]
    may_wait: collections.abc.Callable[[], bool]
    release: collections.abc.Callable[[Assignment], None]
    wait_ms: collections.abc.Callable[[int], float] = unknown_wait_ms
    future: asyncio.Future = msgspec.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PlacementQueue:
    """Assigns capacity that comes free, in the order of `WaitQueue`."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._queue: wait_queue.WaitQueue[PlacementRequest] = (
            wait_queue.WaitQueue()
        )
        self._poll_task: asyncio.Task | None = None
        self._capacity_changed = asyncio.Event()
        # Called as a request is the first of its service and rank to wait.
        self.on_first_waiter: collections.abc.Callable[
            [ids.ServiceName, int], None
        ] = lambda service, rank: None

    def notify_capacity(self) -> None:
        """Handle capacity that may have come free."""
        self._capacity_changed.set()

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
        ahead = self._queue.count_ahead(waiter)
        if self._is_too_late(waiter, ahead):
            return None
        self._queue.add(waiter)
        self._notify_if_first(waiter)
        # It may go before the others, or fit where they don't.
        self._capacity_changed.set()
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

    def waiting_by_service(self) -> dict[ids.ServiceName, int]:
        """Return how many requests wait, by service."""
        return {
            service: self._queue.count(service)
            for service in self._queue.services()
        }

    def count_by_rank(
        self, service: ids.ServiceName
    ) -> collections.Counter[int]:
        """Return how many requests wait for a service, by rank."""
        return self._queue.count_by_rank(service)

    def _notify_if_first(self, waiter: wait_queue.Waiter) -> None:
        """Tell that requests of a rank begin to wait.

        Less urgent ones at other instances then leave capacity to them.
        """
        if self._queue.count_by_rank(waiter.service)[waiter.rank] == 1:
            self.on_first_waiter(waiter.service, waiter.rank)

    def _is_too_late(
        self, waiter: wait_queue.Waiter[PlacementRequest], ahead: int
    ) -> bool:
        """Return whether capacity is expected after the request's limit."""
        expected_ms = self._clock.now_ms() + waiter.item.wait_ms(ahead)
        return expected_ms > waiter.until_ms

    async def _run(self) -> None:
        try:
            while not self._queue.is_empty():
                for service in self._queue.services():
                    self._place_waiters(service)
                await self._clock.sleep_ms(MIN_INTERVAL_MS)
                await self._wait_for_change()
        except Exception:
            _log.exception("placement queue failed, waiting requests released")
            for service in self._queue.services():
                for waiter in self._queue.in_order(service, 0.0):
                    self._queue.withdraw(waiter)
                    if not waiter.item.future.done():
                        waiter.item.future.set_result(None)
        finally:
            self._poll_task = None

    async def _wait_for_change(self) -> None:
        """Wait for a change of capacity, or the end of the first wait."""
        now_ms = self._clock.now_ms()
        until_ms = min(
            (
                waiter.until_ms
                for service in self._queue.services()
                for waiter in self._queue.in_order(service, now_ms)
            ),
            default=now_ms,
        )
        remaining_ms = until_ms - now_ms - MIN_INTERVAL_MS
        timeout_ms = max(0.0, min(POLL_INTERVAL_MS, remaining_ms))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1e3):
                await self._capacity_changed.wait()
        self._capacity_changed.clear()

    def _place_waiters(self, service: ids.ServiceName) -> None:
        """Assign capacity to the requests that wait for a service."""
        now_ms = self._clock.now_ms()
        unplaced: list[wait_queue.Waiter[PlacementRequest]] = []
        # What does not fit one request does not fit a larger one.
        unplaceable_tokens = math.inf
        for waiter in self._queue.in_order(service, now_ms):
            request = waiter.item
            if request.future.done():
                continue
            assignment = None
            try:
                is_over = not request.may_wait()
                may_fit = waiter.started or waiter.tokens < unplaceable_tokens
                if (
                    not is_over
                    and may_fit
                    and not wait_queue.must_yield(waiter, unplaced, now_ms)
                ):
                    assignment = request.try_place()
                    if assignment is None and not (
                        waiter.started or waiter.has_exclusions
                    ):
                        unplaceable_tokens = waiter.tokens
            except Exception as error:
                # An error of one request must not end the wait of the others.
                _log.exception("placement failed", service=service)
                self._queue.withdraw(waiter)
                request.future.set_exception(error)
                continue
            if assignment is not None:
                self._queue.remove_served(waiter)
                request.future.set_result(assignment)
            elif (
                is_over
                or now_ms + 2 * MIN_INTERVAL_MS > waiter.until_ms
                or self._is_too_late(waiter, len(unplaced))
            ):
                self._queue.withdraw(waiter)
                request.future.set_result(None)
            else:
                unplaced.append(waiter)
