"""Who may append to an answer, and what comes next.

Attempts have rising numbers. Only the owning attempt may append, and only
at the next place: a token offset, or the number of an event. A contender
runs beside the owner; the first of them to bring the next piece owns.
"""

from oriolejunction import ids
from oriolejunction import states

NO_ATTEMPT = ids.AttemptNumber(0)


class CommitPoint:
    """Ownership of one answer and the next place in it."""

    def __init__(self) -> None:
        self.owner = NO_ATTEMPT
        self.last_attempt = NO_ATTEMPT
        self.next_position = 0
        self._start_by_contender: dict[ids.AttemptNumber, int] = {}

    def new_attempt(self) -> ids.AttemptNumber:
        """Return the number of a new attempt."""
        self.last_attempt = ids.AttemptNumber(self.last_attempt + 1)
        return self.last_attempt

    def add_contender(self, attempt: ids.AttemptNumber, base: int) -> None:
        """Let an attempt append at `base` if it comes there first."""
        self._start_by_contender[attempt] = base

    def set_owner(self, attempt: ids.AttemptNumber, base: int) -> None:
        """Make an attempt the owner, which goes on at `base`."""
        self.owner = attempt
        self.next_position = base

    def drop_contenders(self) -> None:
        """Take from all but the owner the right to append."""
        self._start_by_contender.clear()

    def revoke(self, attempt: ids.AttemptNumber) -> bool:
        """Take from an attempt the right; return whether it owned."""
        self._start_by_contender.pop(attempt, None)
        if attempt != self.owner:
            return False
        self.owner = NO_ATTEMPT
        return True

    def may_append(self, attempt: ids.AttemptNumber) -> bool:
        """Return whether an attempt owns or may still come to own."""
        return attempt == self.owner or attempt in self._start_by_contender

    def start_of(self, attempt: ids.AttemptNumber) -> int:
        """Return where a contender would go on."""
        return self._start_by_contender[attempt]

    def append_outcome(
        self, attempt: ids.AttemptNumber, place: int, length: int
    ) -> states.CommitOutcome:
        """Return what becomes of `length` pieces offered at a place."""
        if attempt == self.owner:
            expected = self.next_position
        elif attempt in self._start_by_contender:
            expected = self._start_by_contender[attempt]
        else:
            return states.CommitOutcome.NOT_OWNER
        if place == expected:
            return states.CommitOutcome.COMMITTED
        if place > expected or place + length > expected:
            return states.CommitOutcome.GAP
        return states.CommitOutcome.REPEATED

    def advance(self, length: int) -> None:
        """Move the owner's next place on."""
        self.next_position += length
