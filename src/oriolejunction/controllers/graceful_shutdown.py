"""Graceful shutdown of an instance, without cutting off requests."""

import collections.abc
import contextlib

from oriolejunction import clock as clocks
from oriolejunction import states

POLL_MS = 50
JOURNAL_HANDOVER_MS = 5_000

StopAccepting = collections.abc.Callable[[], collections.abc.Awaitable[None]]
WriteState = collections.abc.Callable[[states.InstanceState], None]


class GracefulShutdown:
    """Count the requests in flight and drain the instance."""

    def __init__(
        self,
        clock: clocks.Clock,
        write_state: WriteState,
        delay_ms: float,
        count_active_journals: collections.abc.Callable[[], int],
        stop_accepting: StopAccepting | None = None,
    ) -> None:
        """Initialize the shutdown of one instance.

        `delay_ms` is the time that the load balancer gets to notice;
        `stop_accepting` is called after it to refuse new connections.
        """
        self._clock = clock
        self._write_state = write_state
        self._delay_ms = delay_ms
        self._count_active_journals = count_active_journals
        self._stop_accepting = stop_accepting
        self.in_flight = 0

    @contextlib.contextmanager
    def track_request(self) -> collections.abc.Iterator[None]:
        """Count a request as in flight while the block runs."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def run(self) -> None:
        """Drain the instance; return when it may exit.

        It stops being ready at once, but accepts requests until the load
        balancer has had time to notice. Then it refuses new ones, finishes
        all others however long they take, and waits a bounded time until
        the owners of the journals that it stores have moved them.
        """
        self._write_state(states.InstanceState.LEAVING)
        await self._clock.sleep_ms(self._delay_ms)
        self._write_state(states.InstanceState.DRAINING)
        if self._stop_accepting is not None:
            # A request accepted after the last check would be cut off.
            await self._stop_accepting()
        while self.in_flight:
            await self._clock.sleep_ms(POLL_MS)
        deadline_ms = self._clock.now_ms() + JOURNAL_HANDOVER_MS
        while self._count_active_journals():
            if self._clock.now_ms() >= deadline_ms:
                return
            await self._clock.sleep_ms(POLL_MS)
