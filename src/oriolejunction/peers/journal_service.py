"""gRPC service for the journals that an instance stores for others."""

import expression
import grpc

from oriolejunction import clock as clocks
from oriolejunction.controllers import journal_replica
from oriolejunction import journal_messages
from oriolejunction.peers import journal_methods
from oriolejunction.peers import rpc

EXPIRE_INTERVAL_MS = 1_000
ACTIVE_WINDOW_MS = 1_000


class JournalService:
    """Serves writes to the journals stored here, and takeovers of them."""

    def __init__(
        self, replica: journal_replica.JournalReplica, clock: clocks.Clock
    ) -> None:
        self.replica = replica
        self._clock = clock

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                journal_methods.WRITE: self._write,
                journal_methods.TAKE_OVER: self.take_over,
            },
        )

    async def run(self) -> None:
        """Expire old journals until cancelled."""
        while True:
            await self._clock.sleep_ms(EXPIRE_INTERVAL_MS)
            journal_replica.expire(self.replica, self._clock.now_ms())

    def active_count(self) -> int:
        """Return how many journals were appended to in the last second."""
        since_ms = self._clock.now_ms() - ACTIVE_WINDOW_MS
        return journal_replica.active_count(self.replica, since_ms)

    async def _write(
        self, batch: journal_messages.JournalBatch
    ) -> journal_messages.JournalBatchReply:
        return journal_messages.JournalBatchReply(
            journal_replica.write(
                self.replica, batch.records, self._clock.now_ms()
            )
        )

    async def take_over(
        self, request: journal_messages.JournalTakeOver
    ) -> journal_messages.JournalTakeOverReply:
        """Make this or another instance the owner of a generation."""
        match journal_replica.take_over(
            self.replica, request, self._clock.now_ms()
        ):
            case expression.Result(tag="ok", ok=content):
                return journal_messages.JournalTakeOverReply(content)
            case expression.Result(error=refusal):
                return journal_messages.JournalTakeOverReply(refusal=refusal)
