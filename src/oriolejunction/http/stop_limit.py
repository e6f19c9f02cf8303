"""Ends the waits of requests that have no answer when the instance stops."""

import asyncio


class StopReached(Exception):
    """The instance stops; the request must be answered now."""


class StopLimit:
    """Bounds waits, also those that began before the stop was known."""

    def __init__(self) -> None:
        self._stop_at_s: float | None = None
        self._exit_at_s: float | None = None
        self._bounds: set[StopBound] = set()

    def stop_in(self, remaining_ms: float) -> None:
        """End all bounded waits after `remaining_ms`."""
        loop = asyncio.get_running_loop()
        self._stop_at_s = loop.time() + remaining_ms / 1e3
        for bound in self._bounds:
            bound.move(self._stop_at_s)

    def exit_in(self, remaining_ms: float) -> None:
        """Record when the process ends at the latest."""
        loop = asyncio.get_running_loop()
        self._exit_at_s = loop.time() + remaining_ms / 1e3

    def time_to_exit_ms(self) -> float | None:
        """Return the time to the exit, None until it is known."""
        if self._exit_at_s is None:
            return None
        loop = asyncio.get_running_loop()
        return (self._exit_at_s - loop.time()) * 1e3

    def bound(self) -> "StopBound":
        """Return a context manager that bounds the waits in its block."""
        return StopBound(self)

    def enter(self, bound: "StopBound") -> None:
        """Keep a bound informed from now on."""
        self._bounds.add(bound)
        if self._stop_at_s is not None:
            bound.move(self._stop_at_s)

    def leave(self, bound: "StopBound") -> None:
        """Forget a bound."""
        self._bounds.discard(bound)


class StopBound:
    """Raises `StopReached` from its block once the instance stops."""

    def __init__(self, limit: StopLimit) -> None:
        self._limit = limit
        self._timeout = asyncio.timeout(None)

    def move(self, stop_at_s: float) -> None:
        """Set when the instance stops, on the event loop's clock."""
        if not self._timeout.expired():
            self._timeout.reschedule(stop_at_s)

    def lift(self) -> None:
        """Let the rest of the block wait without a bound."""
        self._limit.leave(self)
        if not self._timeout.expired():
            self._timeout.reschedule(None)

    async def __aenter__(self) -> "StopBound":
        await self._timeout.__aenter__()
        self._limit.enter(self)
        return self

    async def __aexit__(self, exc_type, exc, traceback) -> None:
        self._limit.leave(self)
        try:
            await self._timeout.__aexit__(exc_type, exc, traceback)
        except TimeoutError:
            raise StopReached from None
