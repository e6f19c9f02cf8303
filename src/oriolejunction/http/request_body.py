"""Reads the bodies of callers' requests, within the instance's memory."""

from aiohttp import web

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
    pieces = []
    size = 0
    async for piece in request.content.iter_any():
        size += len(piece)
        if size > limit_bytes:
            raise errors.Failure(
                errors.RequestTooLarge(
                    f"the body is larger than {limit_bytes} bytes"
                )
            )
        if not held.add(len(piece)):
            raise no_memory("this instance", returns)
        pieces.append(piece)
    return b"".join(pieces)


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
