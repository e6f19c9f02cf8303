"""Reads the bodies of callers' requests, within the instance's memory."""

import collections.abc

from aiohttp import web

from oriolejunction.controllers import document_transfer
from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.controllers.overload import wait_forecast
from oriolejunction import errors
from oriolejunction import ids

# The time that a caller has left is not known before its request is read.
RETURN_LIMIT_MS = 6_000.0
NO_SERVICE = ids.ServiceName("")


async def read(
    request: web.BaseRequest,
    limit_bytes: int,
    held: buffer_budget.HeldBytes,
    returns: wait_forecast.ReturnSchedule,
) -> bytes:
    """Return a request's body; raise `Failure` if it must not be held."""
    await _send_continue(request)

    def hold(count: int) -> None:
        if not held.add(count):
            raise no_memory("this instance", returns)

    return await read_up_to(request, limit_bytes, hold)


async def read_up_to(
    request: web.BaseRequest,
    limit_bytes: int,
    on_piece: collections.abc.Callable[[int], None] = lambda count: None,
) -> bytes:
    """Return a request's body; raise `Failure` if it is too large.

    `on_piece` gets the size of each piece, and may raise.
    """
    pieces: list[bytes] = []
    size = 0
    try:
        async for piece in request.content.iter_any():
            size += len(piece)
            if size > limit_bytes:
                raise errors.Failure(
                    errors.RequestTooLarge(
                        f"the body is larger than {limit_bytes} bytes"
                    )
                )
            on_piece(len(piece))
            pieces.append(piece)
        return b"".join(pieces)
    finally:
        # An error keeps this frame, and aiohttp keeps the error, until the
        # garbage collector finds their cycle.
        pieces.clear()


async def read_document(request: web.BaseRequest) -> bytes:
    """Return what an operator has sent; raise `Failure` if it is too large."""
    return await read_up_to(request, document_transfer.MAX_DOCUMENT_BYTES)


def no_memory(
    who: str, returns: wait_forecast.ReturnSchedule
) -> errors.Failure:
    """Return the failure of a request whose body must not be held."""
    return errors.Failure(
        errors.NoCapacity(
            f"{who} holds too many bytes of requests",
            retry_after_ms=returns.return_after_ms(
                NO_SERVICE, RETURN_LIMIT_MS
            ),
        )
    )


async def _send_continue(request: web.BaseRequest) -> None:
    """Answer `Expect: 100-continue`, unless the body arrives already."""
    expectation = request.headers.get("Expect", "").lower()
    has_arrived = request.content.total_bytes or not request.can_read_body
    if expectation != "100-continue" or has_arrived:
        return
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # Only the final answer counts as output.
    request.writer.output_size = 0
