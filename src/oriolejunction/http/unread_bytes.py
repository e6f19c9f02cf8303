"""Bytes that a connection received ahead of the reader of its answer."""

import collections

from oriolejunction.controllers.overload import buffer_budget

MAX_UNREAD_BYTES = 262_144
# Used instead while all connections together hold too much. It is enough for
# the events of a second.
SCARCE_UNREAD_BYTES = 16_384
# Parsed at once before other requests of this process have their turn.
PARSED_BYTES = 4_096


class UnreadBytes:
    """The unread bytes of one connection, in pieces.

    `budget` counts those of all connections.
    """

    def __init__(self) -> None:
        self.budget = buffer_budget.BufferBudget()
        self._pieces: collections.deque[bytes] = collections.deque()
        self._count = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    def add(self, data: bytes) -> None:
        """Add what was received."""
        for start in range(0, len(data), PARSED_BYTES):
            self._pieces.append(data[start : start + PARSED_BYTES])
        self._count += len(data)
        self.budget.add(len(data))

    def add_end(self) -> None:
        """Add an empty piece, which stands for the end of the bytes."""
        self._pieces.append(b"")

    def take(self) -> bytes:
        """Remove and return the first piece."""
        data = self._pieces.popleft()
        self._count -= len(data)
        self.budget.add(-len(data))
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces.clear()
        self.budget.add(-self._count)
        self._count = 0

    @property
    def are_too_many(self) -> bool:
        """Return whether the peer has to wait until more are read."""
        if self.budget.is_exceeded:
            return self._count > SCARCE_UNREAD_BYTES
        return self._count > MAX_UNREAD_BYTES
