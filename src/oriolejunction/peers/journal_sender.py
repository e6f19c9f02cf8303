"""Batched journal writes to one replica.

Only one batch is in flight at a time, so that records keep their order.
Records submitted meanwhile go into the next batch. After the loss of another
replica, whole generations of hundreds of streams come at once; a batch holds
no more of them than its time limit allows for on a thin link.
"""

import asyncio
import collections.abc
import dataclasses

import grpc
import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import journal_messages
from oriolejunction.peers import rpc
from oriolejunction import states

BATCH_WINDOW_MS = 2.0
BATCH_TIMEOUT_MS = 600
MAX_BATCH_SUBMISSIONS = 2_000
# A link of 3.75 Mbit/s that is three quarters full carries as much within the
# time limit.
MAX_BATCH_BYTES = 64 << 10

_encode = msgspec.msgpack.Encoder().encode
_log = structlog.get_logger(__name__)

Write = collections.abc.Callable[
    ..., collections.abc.Awaitable[journal_messages.JournalBatchReply]
]


TakeOver = collections.abc.Callable[
    ..., collections.abc.Awaitable[journal_messages.JournalTakeOverReply]
]
CountBytes = collections.abc.Callable[[int], None]


class ReplicaLost(errors.ServingError):
    """A journal replica did not acknowledge in time."""

    code = "journal_replica_lost"


DoneCallback = collections.abc.Callable[
    [states.JournalRefusal | ReplicaLost | None], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Records of one generation that wait for an acknowledgement."""

    records: tuple[journal_messages.JournalRecord, ...]
    on_done: DoneCallback


class JournalSender:
    """Sends records to one replica in batches."""

    def __init__(
        self,
        channel: grpc.aio.Channel,
        write: Write,
        take_over: TakeOver,
        clock: clocks.Clock,
        count_bytes: CountBytes,
    ) -> None:
        self._channel = channel
        self._write = write
        self.take_over = take_over
        self._clock = clock
        self._count_bytes = count_bytes
        self._pending: list[Submission] = []
        self._task: asyncio.Task | None = None

    def submit(
        self,
        records: tuple[journal_messages.JournalRecord, ...],
        done: DoneCallback,
    ) -> None:
        """Queue records; call `done` with the failure, or None on success."""
        self._pending.append(Submission(records, done))
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Fail pending records and close the channel."""
        if self._task is not None:
            self._task.cancel()
        _fail_all(self._drain_pending(), "journal sender closed")
        await self._channel.close()

    async def _run(self) -> None:
        try:
            while self._pending:
                await self._clock.sleep_ms(BATCH_WINDOW_MS)
                await self._send(self._next_batch())
        finally:
            self._task = None

    def _drain_pending(self) -> list[Submission]:
        pending, self._pending = self._pending, []
        return pending

    def _next_batch(self) -> list[Submission]:
        batch_bytes = count = 0
        for submission in self._pending[:MAX_BATCH_SUBMISSIONS]:
            batch_bytes += sum(map(_content_bytes, submission.records))
            if count and batch_bytes > MAX_BATCH_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        del self._pending[:count]
        return batch

    async def _send(self, submissions: list[Submission]) -> None:
        batch = _encode(
            journal_messages.JournalBatch(
                tuple(
                    record
                    for submission in submissions
                    for record in submission.records
                )
            )
        )
        self._count_bytes(len(batch))
        try:
            reply = await self._write(
                batch,
                timeout=rpc.transfer_timeout_s(
                    BATCH_TIMEOUT_MS / 1e3,
                    max(0, len(batch) - MAX_BATCH_BYTES),
                ),
            )
        except grpc.aio.AioRpcError as error:
            _fail_all(submissions, str(error.code()))
            return
        except grpc.aio.UsageError as error:
            _fail_all(submissions, repr(error))
            return
        except asyncio.CancelledError:
            _fail_all(submissions, "journal sender cancelled")
            raise
        refusal_by_key = {
            (refused.generation, refused.owner): refused.reason
            for refused in reply.refused
        }
        for submission in submissions:
            first = submission.records[0]
            refusal = None
            if refusal_by_key:
                refusal = refusal_by_key.get((first.generation, first.owner))
            _notify(submission, refusal)


def _content_bytes(record: journal_messages.JournalRecord) -> int:
    """Return the size of a whole generation; other records are small."""
    if not isinstance(record, journal_messages.JournalOpen):
        return 0
    tokens = record.tokens
    return len(record.request.prompt) + sum(
        map(len, (tokens.ids, tokens.text, tokens.ends, tokens.text_ends))
    )


def _fail_all(submissions: list[Submission], why: str) -> None:
    for submission in submissions:
        _notify(submission, ReplicaLost(why))


def _notify(
    submission: Submission,
    refusal: states.JournalRefusal | ReplicaLost | None,
) -> None:
    """Tell a stream the outcome; its error must not stop the others."""
    try:
        submission.on_done(refusal)
    except Exception:
        _log.exception(
            "journal outcome not handled",
            generation=submission.records[0].generation,
        )
