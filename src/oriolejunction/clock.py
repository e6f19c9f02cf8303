"""Clock in milliseconds, real or driven by a test."""

import asyncio
import heapq
import itertools
import math
import time
import typing

# A timer that fires later than this means that the process was paused.
LATE_TIMER_MS = 50.0


class Clock(typing.Protocol):
    """Monotonic time in ms, wall time in ms and a sleep."""

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records only."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for the given milliseconds."""


class SystemClock:
    """The clock of the operating system."""

    def now_ms(self) -> float:
        """Return milliseconds since boot, including time suspended.

        Leases must also expire while the machine is suspended.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records only."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for the given milliseconds."""
        await asyncio.sleep(duration_ms / 1000.0)


class ManualClock:
    """A clock that a test advances."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the manual time, rounded down."""
        return int(self._now_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep until the clock is advanced far enough."""
        waiter = asyncio.get_running_loop().create_future()
        due_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (due_ms, next(self._sequence), waiter))
        await waiter

    def advance(self, duration_ms: float) -> None:
        """Advance the time and wake the sleepers that are due."""
        self._now_ms += duration_ms
        while self._sleepers and self._sleepers[0][0] <= self._now_ms:
            waiter = heapq.heappop(self._sleepers)[2]
            if not waiter.done():
                waiter.set_result(None)


def round_age_ms(age_ms: float) -> int | None:
    """Return an age rounded to ms, None if it is infinite."""
    return round(age_ms) if math.isfinite(age_ms) else None
