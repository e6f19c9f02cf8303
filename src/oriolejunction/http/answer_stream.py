"""Streaming of one answer: journal first, then the caller."""

import asyncio
import collections
import collections.abc
import contextlib

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
MAX_UNACKNOWLEDGED = 64
MAX_TRANSPORT_BYTES = 64 << 10
PROTECTED_HEADER = "X-Generation-Protected"


class AnswerStream:
    """Write one generation to its caller as server-sent events."""

    def __init__(
        self,
        request: web.Request,
        answer: resumption.Answer,
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
        self._settled: asyncio.Future | None = None
        self._repair: asyncio.Task | None = None
        self._response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
            }
            | openai_answers.marks(answer.generation)
        )

    async def run(
        self, deliveries: Deliveries, include_usage: bool
    ) -> web.StreamResponse:
        """Stream until the answer is whole.

        Raise `Failure` where nothing was written yet; a later one becomes
        the last event.
        """
        try:
            async with contextlib.aclosing(deliveries):
                await self._stream(deliveries, include_usage)
        except errors.Failure as failure:
            self._end()
            await self._fail(failure)
            raise
        finally:
            self._end()
        return self._response

    def _end(self) -> None:
        """Write nothing more that is acknowledged late."""
        self._ended = True
        self._unacknowledged.clear()
        if self._repair is not None:
            self._repair.cancel()

    @property
    def prepared(self) -> bool:
        """Return whether the caller has got the head of the answer."""
        return self._response.prepared

    @property
    def response(self) -> web.StreamResponse:
        """Return the answer as far as it went."""
        return self._response

    async def _stream(
        self, deliveries: Deliveries, include_usage: bool
    ) -> None:
        generation = self._answer.generation
        await self._send_tail()
        if not generation.finished:
            async for batch in deliveries:
                await self._deliver(batch)
        await self._settle()
        await self._journal_finish()
        await self._prepare()
        await self._response.write(
            self._writer.ending(generation, include_usage)
        )

    async def _send_tail(self) -> None:
        journal = self._answer.journal
        if self._answer.held == 0 and (
            journal is None or journal.tokens.end == 0
        ):
            return
        if journal.replica is None:
            await self._journals.append(journal, ())
        tail = journal_owner.tail(journal.tokens, self._answer.held)
        await self._write(tail)

    async def _deliver(self, batch: journal_owner.Deliveries) -> None:
        """Journal a batch; it is written once that is acknowledged."""
        journal = self._answer.journal
        if journal is None:
            await self._write(batch)
            return
        if self._repair is not None:
            await self._settle()
        if self._response.prepared and self._journals.append_soon(
            journal, batch, self._finish(), self._acknowledged
        ):
            self._unacknowledged.append(batch)
            await self._hold_back()
            return
        await self._settle()
        await self._journals.append(journal, batch, self._finish())
        await self._write(batch)

    async def _hold_back(self) -> None:
        """Wait where the journal or the caller cannot follow."""
        if len(self._unacknowledged) >= MAX_UNACKNOWLEDGED:
            await self._settle()
        transport = self._request.transport
        if (
            transport is not None
            and transport.get_write_buffer_size() > MAX_TRANSPORT_BYTES
        ):
            await self._settle()
            await self._response.drain()

    async def _settle(self) -> None:
        """Wait until nothing waits for the journal.

        Raise `Failure` with `OwnerFenced` where another instance took the
        generation over.
        """
        while self._unacknowledged and self._repair is None:
            self._settled = asyncio.get_running_loop().create_future()
            await self._settled
        if self._repair is not None:
            await self._repair
            self._repair = None

    def _acknowledged(
        self,
        refusal: states.JournalRefusal | journal_sender.ReplicaLost | None,
    ) -> None:
        """Write the oldest batch, or begin to journal all elsewhere."""
        if self._ended or self._repair is not None:
            return
        if refusal is None:
            batch = self._unacknowledged.popleft()
            last = batch[-1]
            journal = self._answer.journal
            journal.acknowledge(last.offset + len(last.ids))
            self._send(batch)
        else:
            self._repair = asyncio.create_task(self._move(refusal))
            self._repair.add_done_callback(_retrieve)
        settled = self._settled
        if settled is not None and not settled.done():
            if refusal is not None or not self._unacknowledged:
                settled.set_result(None)

    async def _move(
        self, refusal: states.JournalRefusal | journal_sender.ReplicaLost
    ) -> None:
        """Journal all elsewhere, or stop at once where that is fenced."""
        journal = self._answer.journal
        if isinstance(refusal, journal_sender.ReplicaLost):
            self._journals.note_lost(journal.replica, refusal)
        try:
            if refusal is states.JournalRefusal.FENCED:
                raise errors.Failure(
                    errors.OwnerFenced("another instance took over")
                )
            await self._journals.move(journal)
        except errors.Failure:
            self._abort()
            raise
        while self._unacknowledged:
            await self._write(self._unacknowledged.popleft())

    def _send(self, batch: journal_owner.Deliveries) -> None:
        """Write acknowledged deliveries without waiting."""
        last = batch[-1]
        journal = self._answer.journal
        journal.require_deliverable(last.offset + len(last.ids))
        self._writer.set_replica(journal.replica)
        data = b"".join(map(self._writer.delivery, batch))
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
                b"".join(map(self._writer.delivery, batch))
            )

    async def _prepare(self) -> None:
        if self._response.prepared:
            return
        journal = self._answer.journal
        protected = journal is not None and journal.replica is not None
        self._response.headers[PROTECTED_HEADER] = str(protected).lower()
        await self._response.prepare(self._request)
        opening = b"" if self._answer.held else self._writer.opening()
        await self._response.write(opening)

    async def _journal_finish(self) -> None:
        journal = self._answer.journal
        if journal is not None and journal.finish is None:
            await self._journals.append(journal, (), self._finish())

    def _finish(self) -> journal_messages.JournalFinish | None:
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
        """End without a finish reason; tell why unless another goes on."""
        journal = self._answer.journal
        if isinstance(failure.error, errors.OwnerFenced):
            self._abort()
            return
        if journal is not None:
            self._journals.forget(journal)
        if self._response.prepared:
            await self._response.write(
                openai_answers.error_event(failure.error)
            )


def _retrieve(task: asyncio.Task) -> None:
    """Mark a failure as seen; whoever waits for the task gets it too."""
    if not task.cancelled():
        task.exception()
