"""Streaming of one answer: each batch is journalled, then written."""

import asyncio
import collections
import collections.abc
import contextlib
import functools

import aiohttp
from aiohttp import web

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import journal_owner
from oriolejunction import errors
from oriolejunction.http import openai_answers
from oriolejunction.http import resumption
from oriolejunction import journal_messages
from oriolejunction.peers import journal_client
from oriolejunction.peers import journal_sender
from oriolejunction import states

Deliveries = collections.abc.AsyncGenerator[
    tuple[generations.Delivery, ...], None
]
MAX_UNACKNOWLEDGED_BATCHES = 64
MAX_WRITE_BUFFER_BYTES = 64 << 10
PROTECTED_HEADER = "X-Generation-Protected"


class AnswerStream:
    """Write one generation to its caller as server-sent events."""

    def __init__(
        self,
        request: web.Request,
        answer: resumption.PendingAnswer,
        journals: journal_client.JournalClient,
        writer: openai_answers.AnswerWriter,
    ) -> None:
        self._request = request
        self._answer = answer
        self._journals = journals
        self._writer = writer
        self._chunked = request.version >= aiohttp.HttpVersion11
        self._unacknowledged: collections.deque[journal_owner.Deliveries]
        self._unacknowledged = collections.deque()
        self._ended = False
        self._journal_drained: asyncio.Future | None = None
        self._journal_move: asyncio.Task | None = None
        # Acknowledgements of batches sent before the last move are stale.
        self._journal_moves = 0
        self._response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
            }
            | openai_answers.seed_headers(answer.generation)
        )

    async def run(
        self, deliveries: Deliveries, include_usage: bool
    ) -> web.StreamResponse:
        """Stream until the answer is complete.

        Raise `Failure`. Once the answer has begun, the failure is also its
        last event; where another instance took the generation over, the
        connection is aborted instead.
        """
        try:
            async with contextlib.aclosing(deliveries):
                await self._stream(deliveries, include_usage)
        except errors.Failure as failure:
            self._stop_writing()
            await self._fail(failure)
            raise
        finally:
            self._stop_writing()
        return self._response

    def _stop_writing(self) -> None:
        """Discard the batches that are not acknowledged yet."""
        self._ended = True
        self._unacknowledged.clear()
        if self._journal_move is not None:
            self._journal_move.cancel()

    @property
    def prepared(self) -> bool:
        """Return whether the response headers were sent."""
        return self._response.prepared

    @property
    def response(self) -> web.StreamResponse:
        """Return the response as far as it was written."""
        return self._response

    async def _stream(
        self, deliveries: Deliveries, include_usage: bool
    ) -> None:
        generation = self._answer.generation
        await self._replay_journal()
        if not generation.finished:
            async for batch in deliveries:
                await self._deliver(batch)
        await self._wait_for_journal()
        await self._journal_finish()
        await self._prepare()
        await self._response.write(
            self._writer.final_events(generation, include_usage)
        )

    async def _replay_journal(self) -> None:
        journal = self._answer.journal
        if self._answer.received_tokens == 0 and (
            journal is None or journal.tokens.end == 0
        ):
            return
        if journal.replica is None:
            await self._journals.append(journal, ())
        tail = journal_owner.deliveries_after(
            journal.tokens, self._answer.received_tokens
        )
        await self._write(tail)

    async def _deliver(self, batch: journal_owner.Deliveries) -> None:
        """Journal a batch and write it once the replica acknowledges it."""
        journal = self._answer.journal
        if journal is None:
            await self._write(batch)
            return
        if self._journal_move is not None:
            await self._wait_for_journal()
        if self._response.prepared and self._journals.append_nowait(
            journal,
            batch,
            self._finish_record(),
            functools.partial(self._on_acknowledged, self._journal_moves),
        ):
            self._unacknowledged.append(batch)
            await self._apply_backpressure()
            return
        await self._wait_for_journal()
        await self._journals.append(journal, batch, self._finish_record())
        await self._write(batch)

    async def _apply_backpressure(self) -> None:
        """Wait where the journal replica or the caller is too slow."""
        if len(self._unacknowledged) >= MAX_UNACKNOWLEDGED_BATCHES:
            await self._wait_for_journal()
        transport = self._request.transport
        if (
            transport is not None
            and transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES
        ):
            await self._wait_for_journal()
            await self._response.drain()

    async def _wait_for_journal(self) -> None:
        """Wait until each journalled batch is acknowledged and written.

        Raise `Failure` with `OwnerFenced` where another instance took the
        generation over.
        """
        while self._unacknowledged and self._journal_move is None:
            self._journal_drained = asyncio.get_running_loop().create_future()
            await self._journal_drained
        if self._journal_move is not None:
            await self._journal_move
            self._journal_move = None

    def _on_acknowledged(
        self,
        moves_before: int,
        refusal: states.JournalRefusal | journal_sender.ReplicaLost | None,
    ) -> None:
        """Write the oldest batch, or move the journal after a refusal.

        `moves_before` counts the moves before the batch was sent; a move
        writes the batches that were sent before it.
        """
        if self._ended or moves_before != self._journal_moves:
            return
        if refusal is None:
            batch = self._unacknowledged.popleft()
            last = batch[-1]
            journal = self._answer.journal
            journal.acknowledge(last.offset + len(last.ids))
            self._write_now(batch)
        else:
            self._journal_moves += 1
            self._journal_move = asyncio.create_task(
                self._move_journal(refusal)
            )
            self._journal_move.add_done_callback(_retrieve_exception)
        drained = self._journal_drained
        if drained is not None and not drained.done():
            if refusal is not None or not self._unacknowledged:
                drained.set_result(None)

    async def _move_journal(
        self, refusal: states.JournalRefusal | journal_sender.ReplicaLost
    ) -> None:
        """Journal all on another replica; abort where this owner is fenced."""
        journal = self._answer.journal
        if isinstance(refusal, journal_sender.ReplicaLost):
            self._journals.mark_lost(journal.replica, refusal)
        try:
            if refusal is states.JournalRefusal.FENCED:
                raise errors.Failure(
                    errors.OwnerFenced("another instance took over")
                )
            await self._journals.change_replica(journal)
        except errors.Failure:
            self._abort()
            raise
        while self._unacknowledged:
            await self._write(self._unacknowledged.popleft())

    def _write_now(self, batch: journal_owner.Deliveries) -> None:
        """Write acknowledged deliveries without waiting."""
        last = batch[-1]
        journal = self._answer.journal
        journal.require_deliverable(last.offset + len(last.ids))
        self._writer.set_replica(journal.replica)
        data = b"".join(map(self._writer.delivery_event, batch))
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        transport = self._request.transport
        if transport is not None and not transport.is_closing():
            transport.write(data)

    async def _write(self, batch: journal_owner.Deliveries) -> None:
        journal = self._answer.journal
        if journal is not None:
            last = batch[-1] if batch else None
            if last is not None:
                journal.require_deliverable(last.offset + len(last.ids))
            self._writer.set_replica(journal.replica)
        if not self._response.prepared:
            await self._prepare()
        if batch:
            await self._response.write(
                b"".join(map(self._writer.delivery_event, batch))
            )

    async def _prepare(self) -> None:
        if self._response.prepared:
            return
        journal = self._answer.journal
        protected = journal is not None and journal.replica is not None
        self._response.headers[PROTECTED_HEADER] = str(protected).lower()
        await self._response.prepare(self._request)
        opening = (
            b""
            if self._answer.received_tokens
            else self._writer.opening_event()
        )
        await self._response.write(opening)

    async def _journal_finish(self) -> None:
        journal = self._answer.journal
        if journal is not None and journal.finish is None:
            await self._journals.append(journal, (), self._finish_record())

    def _finish_record(self) -> journal_messages.JournalFinish | None:
        generation = self._answer.generation
        if generation.finish_reason is None:
            return None
        return journal_messages.JournalFinish(
            generation.finish_reason, generation.prompt_tokens
        )

    def _abort(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _fail(self, failure: errors.Failure) -> None:
        """End without a finish reason.

        The failure is the last event, unless another instance took over.
        """
        journal = self._answer.journal
        if isinstance(failure.error, errors.OwnerFenced):
            self._abort()
            return
        if journal is not None:
            self._journals.drop_journal(journal)
        if self._response.prepared:
            await self._response.write(
                openai_answers.error_event(failure.error)
            )


def _retrieve_exception(task: asyncio.Task) -> None:
    """Mark the exception as retrieved; awaiting the task still raises it."""
    if not task.cancelled():
        task.exception()
