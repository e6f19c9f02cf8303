"""One generation and its single commit point.

Engines work on a generation as attempts with rising numbers. Only the
owning attempt may append, and only at its next offset. A contender is an
attempt that runs beside the owner: the first of them to give the next
token owns, and all others are revoked. Tokens become deliverable at a safe
boundary: not inside a UTF-8 sequence, not inside a possible stop string.
"""

import collections.abc
import dataclasses

from oriolejunction.controllers import commit_point
from oriolejunction.controllers import sampling
from oriolejunction.controllers import stop_strings
from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

NO_ATTEMPT = commit_point.NO_ATTEMPT
CONTINUATION_PRIORITY = 1


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """What was asked, pinned for the life of the generation."""

    workspace: ids.WorkspaceId
    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str
    prompt: str
    max_tokens: int
    sampling: engine_protocol.Sampling
    stop: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Tokens that may go to the caller, from `offset` on."""

    offset: int
    ids: tuple[int, ...]
    text: str


@dataclasses.dataclass(frozen=True)
class Commit:
    """What became of offered tokens, and what may now be delivered."""

    outcome: states.CommitOutcome
    deliveries: tuple[Delivery, ...] = ()


@dataclasses.dataclass(frozen=True)
class _PendingEvent:
    """A committed event that is not delivered yet."""

    delivery: Delivery
    safe: bool


_COMMITTED = Commit(states.CommitOutcome.COMMITTED)


class Generation:
    """State of one generation; `delivered_ids` is what a caller holds."""

    def __init__(
        self, generation_id: ids.GenerationId, request: GenerationRequest
    ) -> None:
        self.generation_id = generation_id
        self.request = request
        self.delivered_ids: list[int] = []
        self.finish_reason: states.FinishReason | None = None
        self.prompt_tokens = 0
        self._point = commit_point.CommitPoint()
        self._pending: list[_PendingEvent] = []

    def restore(
        self,
        delivered_ids: collections.abc.Iterable[int],
        last_attempt: ids.AttemptNumber,
        prompt_tokens: int = 0,
    ) -> None:
        """Go on after tokens that another instance delivered.

        Attempts are numbered after `last_attempt`, the highest number that
        the former instance can have used.
        """
        invariants.require(
            "restored_before_the_first_attempt",
            self._point.last_attempt == NO_ATTEMPT and not self.delivered_ids,
            generation=self.generation_id,
        )
        self.delivered_ids.extend(delivered_ids)
        self._point.last_attempt = last_attempt
        self.prompt_tokens = prompt_tokens

    @property
    def owner(self) -> ids.AttemptNumber:
        """Return the attempt that may append at the next offset."""
        return self._point.owner

    @property
    def finished(self) -> bool:
        """Return whether the answer is complete."""
        return self.finish_reason is not None

    def begin_attempt(
        self, from_start: bool = False
    ) -> engine_protocol.GenerateRequest:
        """Make a new attempt the owner and return its request.

        Tokens held back by the former owner are dropped; the new attempt
        goes on after what was delivered, or computes it again where
        `from_start` is set.
        """
        attempt = self._point.new_attempt()
        self._point.drop_contenders()
        self._set_owner(attempt, len(self.delivered_ids))
        return self._request_of(attempt, from_start)

    def begin_contender(self) -> engine_protocol.GenerateRequest:
        """Return the request of a new attempt beside the others."""
        attempt = self._point.new_attempt()
        self._point.add_contender(attempt, len(self.delivered_ids))
        return self._request_of(attempt, from_start=False)

    def revoke(self, attempt: ids.AttemptNumber) -> None:
        """Take from an attempt the right to append."""
        if self._point.revoke(attempt):
            self._pending.clear()

    def may_append(self, attempt: ids.AttemptNumber) -> bool:
        """Return whether an attempt owns or may still come to own."""
        return self._point.may_append(attempt)

    def finish_at_limit(self) -> bool:
        """Finish where all asked tokens are delivered; return if finished.

        An engine may be lost between its last token and its last event.
        """
        if not self.finished and (
            len(self.delivered_ids) >= self.request.max_tokens
        ):
            self.finish_reason = states.FinishReason.LENGTH
        return self.finished

    def commit(self, event: engine_protocol.EngineEvent) -> Commit:
        """Append the tokens of an event, the only way to append."""
        refusal = self._refusal(event)
        if refusal is not None:
            return Commit(refusal)
        self.prompt_tokens = event.prompt_tokens or self.prompt_tokens
        if event.ids or event.finish_reason is not None:
            self._claim_ownership(event.attempt)
        if event.ids:
            invariants.require_one_generation(
                self.generation_id, event.generation
            )
            self._point.advance(len(event.ids))
            delivery = Delivery(event.offset, event.ids, event.text)
            self._pending.append(_PendingEvent(delivery, event.safe))
        if self.request.stop:
            return self._commit_with_stops(event)
        if event.finish_reason is not None:
            return self._finish(event.finish_reason)
        if not event.safe:
            return _COMMITTED
        return self._committed(self._release(len(self._pending)))

    def _request_of(
        self, attempt: ids.AttemptNumber, from_start: bool
    ) -> engine_protocol.GenerateRequest:
        forced_ids = () if from_start else tuple(self.delivered_ids)
        return engine_protocol.GenerateRequest(
            generation=self.generation_id,
            attempt=attempt,
            model=self.request.model,
            version=self.request.version,
            adapter=self.request.adapter,
            prompt=self.request.prompt,
            max_tokens=self.request.max_tokens,
            sampling=sampling.for_continuation(
                self.request.sampling, len(forced_ids)
            ),
            forced_ids=forced_ids,
            priority=CONTINUATION_PRIORITY if forced_ids else 0,
        )

    def _set_owner(self, attempt: ids.AttemptNumber, base: int) -> None:
        invariants.require_owner_goes_on(base, len(self.delivered_ids))
        self._point.set_owner(attempt, base)
        self._pending.clear()

    def _claim_ownership(self, attempt: ids.AttemptNumber) -> None:
        """Give the generation to the attempt that gave the next token."""
        if attempt != self.owner:
            self._set_owner(attempt, self._point.start_of(attempt))
        self._point.drop_contenders()

    def _refusal(
        self, event: engine_protocol.EngineEvent
    ) -> states.CommitOutcome | None:
        if self.finished:
            return states.CommitOutcome.FINISHED
        if event.generation != self.generation_id:
            return states.CommitOutcome.FOREIGN
        outcome = self._point.append_outcome(
            event.attempt, event.offset, len(event.ids)
        )
        if outcome is states.CommitOutcome.COMMITTED:
            return None
        if outcome is states.CommitOutcome.REPEATED:
            return self._check_repeated(event)
        return outcome

    def _check_repeated(
        self, event: engine_protocol.EngineEvent
    ) -> states.CommitOutcome:
        end = event.offset + len(event.ids)
        known = self.delivered_ids[event.offset : end]
        if known != list(event.ids[: len(known)]):
            return states.CommitOutcome.DIVERGED
        return states.CommitOutcome.REPEATED

    def _commit_with_stops(self, event: engine_protocol.EngineEvent) -> Commit:
        text = "".join(held.delivery.text for held in self._pending)
        found = stop_strings.first_position(text, self.request.stop)
        if found is not None:
            return self._truncate_at(found)
        if event.finish_reason is not None:
            return self._finish(event.finish_reason)
        free = len(text) - stop_strings.partial_match_length(
            text, self.request.stop
        )
        return self._committed(self._release(self._safe_count(free)))

    def _safe_count(self, free: int) -> int:
        """Return how many held events end safely within `free` characters."""
        count = 0
        for position, held in enumerate(self._pending):
            free -= len(held.delivery.text)
            if free < 0:
                break
            if held.safe:
                count = position + 1
        return count

    def _finish(self, reason: states.FinishReason) -> Commit:
        released = self._release(len(self._pending))
        self.finish_reason = reason
        return self._committed(released)

    def _truncate_at(self, position: int) -> Commit:
        released = []
        for delivery in self._release(len(self._pending)):
            text = delivery.text[: max(position, 0)]
            position -= len(delivery.text)
            released.append(dataclasses.replace(delivery, text=text))
        self.finish_reason = states.FinishReason.STOP
        return self._committed(tuple(released))

    def _release(self, count: int) -> tuple[Delivery, ...]:
        released = tuple(held.delivery for held in self._pending[:count])
        del self._pending[:count]
        for delivery in released:
            invariants.require_contiguous(
                len(self.delivered_ids), delivery.offset
            )
            self.delivered_ids.extend(delivery.ids)
        return released

    def _committed(self, deliveries: tuple[Delivery, ...]) -> Commit:
        if not deliveries:
            return _COMMITTED
        return Commit(states.CommitOutcome.COMMITTED, deliveries)
