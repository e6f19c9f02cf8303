"""Graceful shutdown of one instance, which cuts off no request."""

import collections.abc
import contextlib

from oriolejunction import clock as clocks
from oriolejunction import states

POLL_MS = 50
JOURNAL_HANDOVER_MS = 5_000

StopAccepting = collections.abc.Callable[[], collections.abc.Awaitable[None]]
WriteState = collections.abc.Callable[[states.InstanceState], None]


class GracefulShutdown:
    """Count the requests in flight and wait for the last one."""

    def __init__(
        self,
        clock: clocks.Clock,
        write_state: WriteState,
        delay_ms: float,
        count_active_journals: collections.abc.Callable[[], int],
        stop_accepting: StopAccepting | None = None,
    ) -> None:
        """Stop after `delay_ms`; `stop_accepting` closes the way in."""
        self._clock = clock
        self._write_state = write_state
        self._delay_ms = delay_ms
        self._count_active_journals = count_active_journals
        self._stop_accepting = stop_accepting
        self.in_flight = 0

    @contextlib.contextmanager
    def track_request(self) -> collections.abc.Iterator[None]:
        """Count one request for the length of a block."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def run(self) -> None:
        """Return when the instance may exit.

        It is not ready at once, but takes requests until the balancer has
        had time to notice. Then it refuses new ones, finishes all others
        however long they run, and waits a bounded time until the owners of
        the journals that it keeps have moved them.
        """
        self._write_state(states.InstanceState.LEAVING)
        await self._clock.sleep_ms(self._delay_ms)
        self._write_state(states.InstanceState.DRAINING)
        if self._stop_accepting is not None:
            # What came in after the last look would be cut off by the exit.
            await self._stop_accepting()
        while self.in_flight:
            await self._clock.sleep_ms(POLL_MS)
        deadline_ms = self._clock.now_ms() + JOURNAL_HANDOVER_MS
        while self._count_active_journals():
            if self._clock.now_ms() >= deadline_ms:
                return
            await self._clock.sleep_ms(POLL_MS)
