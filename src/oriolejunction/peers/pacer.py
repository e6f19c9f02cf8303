"""Limits how often something is sent, by how soon it is needed.

Load pattern: hundreds of changes a second, of which few matter at once. Each
change asks for its own interval since the last time; the shortest one counts.
"""

import asyncio
import contextlib

from oriolejunction import clock as clocks


class Pacer:
    """Tells one task when to act next; it acts after `idle_ms` at least."""

    def __init__(self, clock: clocks.Clock, idle_ms: float) -> None:
        self._clock = clock
        self._idle_ms = idle_ms
        self._last_ms = float("-inf")
        self._due_ms = clock.now_ms() + idle_ms
        self._is_sooner = asyncio.Event()

    def act_after(self, interval_ms: float) -> None:
        """Act once `interval_ms` have passed since the last time."""
        self.act_at(self._last_ms + interval_ms)

    def act_at(self, at_ms: float) -> None:
        """Act at a time, or at once if it has passed."""
        if at_ms < self._due_ms:
            self._due_ms = at_ms
            self._is_sooner.set()

    async def wait(self) -> None:
        """Wait until it is time to act, and count that as the last time."""
        while (delay_ms := self._due_ms - self._clock.now_ms()) > 0:
            self._is_sooner.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / 1e3):
                    await self._is_sooner.wait()
        self._last_ms = self._clock.now_ms()
        self._due_ms = self._last_ms + self._idle_ms
