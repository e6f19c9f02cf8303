"""Holds requests until a backend server has room for them."""

import asyncio
import collections.abc
import dataclasses
import typing

import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers import waiting
from oriolejunction import ids

# The loads of others change every few ms; a look takes less than one ms.
LOOK_MS = 25.0
_log = structlog.get_logger(__name__)

Place = typing.TypeVar("Place")


@dataclasses.dataclass(frozen=True)
class Bid(typing.Generic[Place]):
    """How one request asks for a place.

    `try_place` returns a place, taken at once, or None; `may_go_on` whether
    waiting still makes sense; `give_back` undoes a place that comes when
    the request has gone.
    """

    try_place: collections.abc.Callable[[], Place | None]
    may_go_on: collections.abc.Callable[[], bool]
    give_back: collections.abc.Callable[[Place], None]
    future: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class WaitingRoom:
    """Gives places in the order of `waiting`, a look every few ms."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._line: waiting.WaitingLine[Bid] = waiting.WaitingLine()
        self._usher: asyncio.Task | None = None

    async def wait(self, waiter: waiting.Waiter[Bid]) -> typing.Any:
        """Return a place, or None where there was none in time."""
        bid = waiter.item
        if not bid.may_go_on():
            return None
        if self._line.is_empty(waiter.service):
            place = bid.try_place()
            if place is not None or self._clock.now_ms() >= waiter.until_ms:
                return place
        self._line.join(waiter)
        if self._usher is None:
            self._usher = asyncio.create_task(self._run())
        try:
            return await bid.future
        except asyncio.CancelledError:
            if bid.future.cancelled():
                self._line.leave(waiter)
            elif bid.future.exception() is None:
                place = bid.future.result()
                if place is not None:
                    bid.give_back(place)
            raise

    async def _run(self) -> None:
        try:
            while not self._line.is_empty():
                for service in self._line.services():
                    self._look(service)
                await self._clock.sleep_ms(LOOK_MS)
        except Exception:
            _log.exception("waiting room failed; all that wait are let go")
            for service in self._line.services():
                for waiter in self._line.in_order(service, 0.0):
                    self._line.leave(waiter)
                    if not waiter.item.future.done():
                        waiter.item.future.set_result(None)
        finally:
            self._usher = None

    def _look(self, service: ids.ServiceName) -> None:
        """Give places to those that wait for a service."""
        now_ms = self._clock.now_ms()
        unplaced: list[waiting.Waiter[Bid]] = []
        for waiter in self._line.in_order(service, now_ms):
            bid = waiter.item
            if bid.future.done():
                continue
            place = None
            try:
                is_over = not bid.may_go_on()
                if not is_over and not waiting.is_barred(
                    waiter, unplaced, now_ms
                ):
                    place = bid.try_place()
            except Exception as error:
                # One request's fault must not end the wait of all others.
                _log.exception("no place looked for", service=service)
                self._line.leave(waiter)
                bid.future.set_exception(error)
                continue
            if place is not None:
                self._line.serve(waiter)
                bid.future.set_result(place)
            elif is_over or now_ms + LOOK_MS > waiter.until_ms:
                self._line.leave(waiter)
                bid.future.set_result(None)
            else:
                unplaced.append(waiter)
