"""Event loops whose time stands still while the process does."""

import asyncio
import math
import selectors
import time

from oriolejunction import clock as clocks


class _Selector(selectors.DefaultSelector):
    """Lets its loop wait for I/O."""

    loop: "PauselessLoop | VirtualLoop"

    def select(self, timeout=None):
        return self.loop.wait(super().select, timeout)


class PauselessLoop(asyncio.SelectorEventLoop):
    """Real time without the pauses of this process.

    All I/O must come from this process, so that what is ready after a wait
    was ready at its beginning. A long wait for a thread counts as a pause.
    """

    def __init__(self) -> None:
        self._seen_s = time.monotonic()
        self._paused_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return seconds without those of pauses."""
        return self._time_after(0.0)

    def wait(self, select, timeout_s):
        """Wait for I/O."""
        self.time()
        events = select(timeout_s)
        if timeout_s is None:
            timeout_s = math.inf
        self._time_after(0.0 if events else timeout_s)
        return events

    def _time_after(self, waited_s: float) -> float:
        """Return the time; what exceeds `waited_s` by much was a pause."""
        now_s = time.monotonic()
        late_s = now_s - self._seen_s - max(0.0, waited_s)
        if late_s * 1e3 > clocks.LATE_TIMER_MS:
            self._paused_s += late_s
        self._seen_s = now_s
        return now_s - self._paused_s


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time jumps to the next timer when nothing else is to be done.

    For tests without I/O.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._now_s

    def pause(self, duration_s: float) -> None:
        """Let time pass as while the process is paused."""
        self._now_s += duration_s

    def wait(self, select, timeout_s):
        """Advance the time instead of waiting."""
        if timeout_s is None:
            return select(None)
        events = select(0)
        if not events:
            self._now_s += max(0.0, timeout_s)
        return events


class LoopClock(clocks.SystemClock):
    """The clock of the event loop that runs."""

    def now_ms(self) -> float:
        """Return the loop's time in ms."""
        return asyncio.get_running_loop().time() * 1e3


FACTORIES = {
    "system": asyncio.new_event_loop,
    "pauseless": PauselessLoop,
    "virtual": VirtualLoop,
}
SYSTEM = {"loop_factories": ["system"]}
PAUSELESS = {"loop_factories": ["pauseless"]}
VIRTUAL = {"loop_factories": ["virtual"]}
