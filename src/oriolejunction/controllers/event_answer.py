"""The commit point of an answer made of numbered events.

Events of one answer may come from several engines. An event is appended only
by the attempt that owns the answer, and only if its number follows the last
one. All events of an answer come from one software version.
"""

from oriolejunction.controllers import commit_point
from oriolejunction import gateway_messages
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states


class EventAnswer:
    """One answer; `last_event` is the number of the caller's last event.

    `software` is None until the software version is known that all further
    events must come from.
    """

    def __init__(self, last_event: int = 0) -> None:
        self.first_event = last_event
        self.last_event = last_event
        self.weights: int | None = None
        self.software: ids.SoftwareVersion | None = None
        self._attempt_software = ids.SoftwareVersion("")
        self._commit_point = commit_point.CommitPoint()

    @property
    def delivered(self) -> int:
        """Return how many events were appended so far."""
        return self.last_event - self.first_event

    def begin_attempt(
        self, software: ids.SoftwareVersion
    ) -> ids.AttemptNumber:
        """Make a new attempt the owner; it continues after the last event."""
        if self.software is not None:
            invariants.require_one_software(self.software, software)
        self._attempt_software = software
        attempt = self._commit_point.new_attempt()
        self._commit_point.set_owner(attempt, self.last_event + 1)
        return attempt

    def revoke(self, attempt: ids.AttemptNumber) -> None:
        """Revoke an attempt's right to append."""
        self._commit_point.revoke(attempt)

    def commit(
        self,
        attempt: ids.AttemptNumber,
        event: gateway_messages.NumberedEvent,
    ) -> states.CommitOutcome:
        """Append an event, or return why it may not be appended."""
        outcome = self._commit_point.append_outcome(attempt, event.number, 1)
        if outcome is states.CommitOutcome.COMMITTED:
            invariants.require_contiguous(self.last_event + 1, event.number)
            self._commit_point.advance(1)
            self.last_event = event.number
            self.software = self._attempt_software
            if event.weights_version is not None:
                self.weights = event.weights_version
        return outcome
