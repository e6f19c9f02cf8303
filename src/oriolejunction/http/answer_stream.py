"""Streaming of one answer: journal first, then the caller."""

import collections.abc
import contextlib

from aiohttp import web

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import journal_owner
from oriolejunction import errors
from oriolejunction.http import openai_answers
from oriolejunction.http import resumption
from oriolejunction import journal_messages
from oriolejunction.peers import journal_client

Deliveries = collections.abc.AsyncGenerator[
    tuple[generations.Delivery, ...], None
]
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
            await self._fail(failure)
            raise
        return self._response

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
        journal = self._answer.journal
        if journal is not None:
            await self._journals.append(journal, batch, self._finish())
        await self._write(batch)

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
        if self._answer.held == 0:
            await self._response.write(self._writer.opening())

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

    async def _fail(self, failure: errors.Failure) -> None:
        """End without a finish reason; tell why unless another goes on."""
        journal = self._answer.journal
        if isinstance(failure.error, errors.OwnerFenced):
            if self._request.transport is not None:
                self._request.transport.abort()
            return
        if journal is not None:
            self._journals.forget(journal)
        if self._response.prepared:
            await self._response.write(
                openai_answers.error_event(failure.error)
            )
