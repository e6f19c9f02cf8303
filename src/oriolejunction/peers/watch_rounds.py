"""Answers the watches of a control replica together, in rounds.

Load pattern: a stream begins or ends somewhere every few milliseconds. All
watches are answered at the same time, so that one computation serves all of
them, and rounds for loads alone keep their distance.
"""

import asyncio
import enum

from oriolejunction import clock as clocks
from oriolejunction.peers import pacer

# A watch is answered at least this often, so that a missing answer means
# that the replica or the connection is lost.
LONG_POLL_MS = 400.0
# A watch may be answered this much earlier, together with others.
EARLY_REPLY_MS = 150.0
# A lost server must be known to all instances within 100 ms, which includes
# its report and a relay.
URGENT_INTERVAL_MS = 25.0
# The time in which the others' resends were known with 100 instances when
# each change was answered; the resend budget holds half back for it.
RESEND_INTERVAL_MS = 50.0
# Instances that place streams by older loads send two prompts to one engine
# at once, which delays both by a prefill.
LOAD_INTERVAL_MS = 60.0
# Bounds the replies of one replica to 400 a second.
LOAD_INTERVAL_MS_PER_WATCH = 2.5
MAX_LOAD_INTERVAL_MS = 300.0


class Urgency(enum.Enum):
    """How soon a change must be known to the watching instances."""

    NOW = "now"
    RESENDS = "resends"
    LOADS = "loads"


class WatchRounds:
    """The watches that wait, and when they are answered next."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._pacer = pacer.Pacer(clock, LONG_POLL_MS)
        self._waiting: set[asyncio.Future[None]] = set()
        self._last_count = 0

    def request(self, urgency: Urgency) -> None:
        """Answer the watches as soon as the urgency of a change demands."""
        self._pacer.act_after(self.interval_ms(urgency))

    def interval_ms(self, urgency: Urgency) -> float:
        """Return the least time between the round before and the next."""
        if urgency is Urgency.NOW:
            return URGENT_INTERVAL_MS
        if urgency is Urgency.RESENDS:
            return RESEND_INTERVAL_MS
        by_count_ms = LOAD_INTERVAL_MS_PER_WATCH * self._last_count
        return min(MAX_LOAD_INTERVAL_MS, max(LOAD_INTERVAL_MS, by_count_ms))

    async def wait(self, until_ms: float) -> None:
        """Wait for the next round, which is held by `until_ms`."""
        self._pacer.act_at(until_ms)
        waiting = asyncio.get_running_loop().create_future()
        self._waiting.add(waiting)
        try:
            await waiting
        finally:
            self._waiting.discard(waiting)

    async def run(self) -> None:
        """Hold rounds until cancelled."""
        while True:
            await self._pacer.wait()
            self._last_count = len(self._waiting)
            for waiting in self._waiting:
                if not waiting.done():
                    waiting.set_result(None)
