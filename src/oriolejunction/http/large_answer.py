"""Answers to calls, which are held in memory or passed on as they arrive.

A call's answer is read whole before its caller gets any of it, since another
server may give a better one. One that states a large length is held in part,
and the rest passed on no faster than the caller reads it. One without a stated
length may never end, so it is held whole, up to a limit, or is an error.
"""

import asyncio

from aiohttp import web
import msgspec

from oriolejunction.controllers.overload import buffer_budget
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import answer_body
from oriolejunction.http import backend_connection
from oriolejunction.http import engine_answers
from oriolejunction.http import gateway_common


class HeldAnswer(msgspec.Struct, frozen=True):
    """An answer of a server; `rest` has the part after `body`, if any."""

    head: gateway_messages.AnswerHead
    body: bytes
    rest: backend_connection.BackendConnection | None = None

    def close(self) -> None:
        """Give up a rest that nobody reads."""
        if self.rest is not None:
            self.rest.close()


async def read(
    head: gateway_messages.AnswerHead,
    connection: backend_connection.BackendConnection,
    budget: buffer_budget.BufferBudget,
) -> HeldAnswer:
    """Return an answer, whole or with its rest; raise `ConnectionBroken`."""
    read_chunk, length = connection.read_chunk, connection.stated_length
    if length is None:
        body = await answer_body.read_unstated(read_chunk, budget)
        return HeldAnswer(head, body)
    body, is_complete = await answer_body.read_part(
        read_chunk, answer_body.SMALL_BYTES
    )
    if is_complete:
        return HeldAnswer(head, body)
    if length > answer_body.MAX_STATED_BYTES:
        raise backend_connection.ConnectionBroken("the answer is too large")
    return HeldAnswer(head, body, connection)


async def pass_on(
    admitted: admitted_request.AdmittedRequest,
    answer: HeldAnswer,
    time_left_ms: float,
) -> web.StreamResponse:
    """Write an answer that has a rest to the caller, until it ends.

    The caller's connection is closed if the server breaks off or the time is
    over, so that the answer can't look complete.
    """
    response = web.StreamResponse(
        status=answer.head.status,
        headers=engine_answers.answer_headers(answer.head),
    )
    response.content_length = answer.rest.stated_length
    await response.prepare(admitted.web_request)
    try:
        async with asyncio.timeout(max(0.0, time_left_ms) / 1e3):
            await response.write(answer.body)
            while (piece := await answer.rest.read_chunk()) is not None:
                await response.write(piece)
    except (backend_connection.ConnectionBroken, TimeoutError) as error:
        gateway_common.log_decision(
            admitted, "answer broken off", why=repr(error)
        )
        transport = admitted.web_request.transport
        if transport is not None:
            transport.close()
        return response
    await response.write_eof()
    return response


def newer(
    kept: HeldAnswer | None, answer: HeldAnswer | None
) -> HeldAnswer | None:
    """Return the answer that replaces the kept one, which is closed."""
    if answer is None or answer is kept:
        return kept
    if kept is not None:
        kept.close()
    return answer


def give_up(attempt: "asyncio.Task[HeldAnswer | None]") -> None:
    """Cancel an attempt, or close the answer that it returned."""
    attempt.cancel()
    if not attempt.done() or attempt.cancelled() or attempt.exception():
        return
    answer = attempt.result()
    if answer is not None:
        answer.close()
