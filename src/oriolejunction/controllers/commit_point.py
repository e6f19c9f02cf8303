"""Which attempt may append to an answer, and at which position.

Attempts have increasing numbers. Only the owning attempt may append, and only
at the next position: a token offset, or the number of an event. A contender
runs in parallel with the owner; the first of them to deliver the next piece
becomes the owner.
"""

from oriolejunction import ids
from oriolejunction import states

NO_ATTEMPT = ids.AttemptNumber(0)


class CommitPoint:
    """The owner of one answer and the next position in it."""

    def __init__(self) -> None:
        self.owner = NO_ATTEMPT
        self.last_attempt = NO_ATTEMPT
        self.next_position = 0
        self._start_by_contender: dict[ids.AttemptNumber, int] = {}

    def new_attempt(self) -> ids.AttemptNumber:
        """Return the number of a new attempt."""
        self.last_attempt = ids.AttemptNumber(self.last_attempt + 1)
        return self.last_attempt

    def add_contender(self, attempt: ids.AttemptNumber, start: int) -> None:
        """Let an attempt append at `start` if it is the first to do so."""
        self._start_by_contender[attempt] = start

    def set_owner(self, attempt: ids.AttemptNumber, start: int) -> None:
        """Make an attempt the owner; it continues at `start`."""
        self.owner = attempt
        self.next_position = start

    def drop_contenders(self) -> None:
        """Revoke the right to append of all attempts but the owner."""
        self._start_by_contender.clear()

    def revoke(self, attempt: ids.AttemptNumber) -> bool:
        """Revoke an attempt's right to append; return if it was the owner."""
        self._start_by_contender.pop(attempt, None)
        if attempt != self.owner:
            return False
        self.owner = NO_ATTEMPT
        return True

    def may_append(self, attempt: ids.AttemptNumber) -> bool:
        """Return whether an attempt is the owner or a contender."""
        return attempt == self.owner or attempt in self._start_by_contender

    def start_of(self, attempt: ids.AttemptNumber) -> int:
        """Return the position at which a contender would append."""
        return self._start_by_contender[attempt]

    def append_outcome(
        self, attempt: ids.AttemptNumber, position: int, length: int
    ) -> states.CommitOutcome:
        """Return the outcome of appending `length` pieces at a position."""
        if attempt == self.owner:
            expected = self.next_position
        elif attempt in self._start_by_contender:
            expected = self._start_by_contender[attempt]
        else:
            return states.CommitOutcome.NOT_OWNER
        if position == expected:
            return states.CommitOutcome.COMMITTED
        if position > expected or position + length > expected:
            return states.CommitOutcome.GAP
        return states.CommitOutcome.REPEATED

    def advance(self, length: int) -> None:
        """Advance the next position."""
        self.next_position += length
