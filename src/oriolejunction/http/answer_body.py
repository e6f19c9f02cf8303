"""Reads bodies of answers from servers that may send without end."""

import collections.abc

from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.http import backend_connection
from oriolejunction.http import unread_bytes

# Held of any answer, whatever others take: as much as may be unread.
SMALL_BYTES = unread_bytes.MAX_UNREAD_BYTES
# Of an answer that states no length.
MAX_UNSTATED_BYTES = 3 << 20
# Of one that states its length; more than SMALL_BYTES is not held.
MAX_STATED_BYTES = 8 << 20
# Of all answers together: a ninth of the smallest machine's memory.
MAX_HELD_BYTES = 16 << 20

ChunkReader = collections.abc.Callable[
    [], collections.abc.Awaitable[bytes | None]
]


async def read(read_chunk: ChunkReader, max_bytes: int = SMALL_BYTES) -> bytes:
    """Return the rest of an answer; raise what `read_chunk` raises.

    Raise `ConnectionBroken` for one that is larger than allowed.
    """
    body, is_complete = await read_part(read_chunk, max_bytes)
    if not is_complete:
        raise backend_connection.ConnectionBroken("the answer is too large")
    return body


async def read_part(
    read_chunk: ChunkReader, max_bytes: int
) -> tuple[bytes, bool]:
    """Return the next bytes of an answer, and whether it ends with them.

    It has a rest if they are more than `max_bytes`.
    """
    body = bytearray()
    while len(body) <= max_bytes:
        piece = await read_chunk()
        if piece is None:
            return bytes(body), True
        body += piece
    return bytes(body), False


async def read_unstated(
    read_chunk: ChunkReader, budget: buffer_budget.BufferBudget
) -> bytes:
    """Return the rest of an answer that states no length.

    Raise `ConnectionBroken` for one that is larger than allowed, or not small
    while all answers together exceed the budget.
    """
    body = bytearray()
    with budget.hold() as held:
        while (piece := await read_chunk()) is not None:
            body += piece
            has_room = held.add(len(piece)) or len(body) <= SMALL_BYTES
            if len(body) > MAX_UNSTATED_BYTES or not has_room:
                raise backend_connection.ConnectionBroken(
                    "the answer is too large"
                )
        return bytes(body)
