"""Reads the numbered events of a stream from a backend server."""

import collections.abc

from oriolejunction.controllers import event_answer
from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection

# Bytes that may arrive without a complete numbered event.
MAX_EVENT_BYTES = 1 << 20
_SEPARATOR = b"\n\n"


class EventReader:
    """Splits one answer into events.

    Blocks without a number are dropped, and so are events that the caller
    has: an engine that sends only these makes no progress. An answer is not
    complete if it ends with such a block, which may tell of an error, unless
    that is a comment.
    """

    def __init__(
        self,
        read_chunk: collections.abc.Callable[
            [], collections.abc.Awaitable[bytes | None]
        ],
        read_event: collections.abc.Callable[
            [bytes], gateway_messages.NumberedEvent | None
        ],
        answer: event_answer.EventAnswer,
    ) -> None:
        self._answer = answer
        self._read_chunk = read_chunk
        self._read_event = read_event
        self._incomplete = bytearray()
        self._bytes_without_event = 0
        # Since the last numbered event.
        self._has_other_block = False

    @property
    def why_incomplete(self) -> str | None:
        """Return why the answer is not complete if it ends here."""
        if self._incomplete.strip():
            return "the stream ended within an event"
        if self._has_other_block:
            return "the stream ended with bytes that are no event"
        return None

    async def read(self) -> list[gateway_messages.NumberedEvent] | None:
        """Return the next events, None at the end of the answer.

        Raise `ConnectionBroken` for bytes that are no event.
        """
        while (chunk := await self._read_chunk()) is not None:
            events = []
            for block in self._split(chunk):
                event = self._read_event(block)
                if event is not None:
                    self._has_other_block = False
                    if event.number > self._answer.last_event:
                        events.append(event)
                elif not _is_comment(block):
                    self._has_other_block = True
            if events:
                self._bytes_without_event = 0
                return events
            self._bytes_without_event += len(chunk)
            if self._bytes_without_event > MAX_EVENT_BYTES:
                raise backend_connection.ConnectionBroken(
                    f"no event within {MAX_EVENT_BYTES} bytes"
                )
        return None

    def _split(self, chunk: bytes) -> list[bytes]:
        """Return the blocks that a chunk completes."""
        # The separator may begin with the last byte before the chunk.
        searched = max(0, len(self._incomplete) - 1)
        self._incomplete += chunk
        end = self._incomplete.rfind(_SEPARATOR, searched)
        if end < 0:
            return []
        blocks = bytes(self._incomplete[:end]).split(_SEPARATOR)
        del self._incomplete[: end + len(_SEPARATOR)]
        return blocks


def _is_comment(block: bytes) -> bool:
    """Return whether a block has nothing but comments, such as heartbeats."""
    return all(
        line.startswith(b":") or not line.strip()
        for line in block.split(b"\n")
    )
