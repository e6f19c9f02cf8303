"""One generation and its single commit point.

Engines run a generation in attempts with increasing numbers. Only the
owning attempt may append tokens, and only at the next offset. A contender is
an attempt that runs in parallel with the owner: the first of them to produce
the next token becomes the owner, and all others are revoked. Tokens become
deliverable at a safe boundary: neither inside a UTF-8 sequence nor inside a
possible stop string.
"""

import collections.abc

import msgspec

from oriolejunction.controllers import commit_point
from oriolejunction.controllers import sampling
from oriolejunction.controllers import stop_strings
from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

NO_ATTEMPT = commit_point.NO_ATTEMPT
CONTINUATION_PRIORITY = 1


class GenerationRequest(msgspec.Struct, frozen=True):
    """The request of a caller, fixed for the life of the generation."""

    workspace: ids.WorkspaceId
    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str
    prompt: str
    max_tokens: int
    sampling: engine_protocol.Sampling
    stop: tuple[str, ...]


class Delivery(msgspec.Struct, frozen=True):
    """Tokens that may be sent to the caller; the first is at `offset`."""

    offset: int
    ids: tuple[int, ...]
    text: str


class Commit(msgspec.Struct, frozen=True):
    """The outcome of an offered event, and the deliveries it released."""

    outcome: states.CommitOutcome
    deliveries: tuple[Delivery, ...] = ()


class _PendingEvent(msgspec.Struct, frozen=True):
    """A committed event that is not yet delivered."""

    delivery: Delivery
    safe: bool


_COMMITTED = Commit(states.CommitOutcome.COMMITTED)


class Generation:
    """State of one generation.

    `delivered_ids` are the tokens already released to the caller.
    """

    def __init__(
        self, generation_id: ids.GenerationId, request: GenerationRequest
    ) -> None:
        self.generation_id = generation_id
        self.request = request
        self.delivered_ids: list[int] = []
        self.finish_reason: states.FinishReason | None = None
        self.prompt_tokens = 0
        self._commit_point = commit_point.CommitPoint()
        self._pending: list[_PendingEvent] = []

    def restore(
        self,
        delivered_ids: collections.abc.Iterable[int],
        last_attempt: ids.AttemptNumber,
        prompt_tokens: int = 0,
    ) -> None:
        """Continue after tokens that another instance delivered.

        New attempts get numbers above `last_attempt`, the highest number
        that the previous instance can have used.
        """
        invariants.require(
            "restored_before_the_first_attempt",
            self._commit_point.last_attempt == NO_ATTEMPT
            and not self.delivered_ids,
            generation=self.generation_id,
        )
        self.delivered_ids.extend(delivered_ids)
        self._commit_point.last_attempt = last_attempt
        self.prompt_tokens = prompt_tokens

    @property
    def owner(self) -> ids.AttemptNumber:
        """Return the attempt that may append at the next offset."""
        return self._commit_point.owner

    @property
    def finished(self) -> bool:
        """Return whether the answer is complete."""
        return self.finish_reason is not None

    def begin_attempt(
        self, from_start: bool = False
    ) -> engine_protocol.GenerateRequest:
        """Make a new attempt the owner and return its request.

        Undelivered tokens of the previous owner are dropped. The new attempt
        continues after the delivered tokens, or with `from_start` computes
        them again.
        """
        attempt = self._commit_point.new_attempt()
        self._commit_point.drop_contenders()
        self._set_owner(attempt, len(self.delivered_ids))
        return self._attempt_request(attempt, from_start)

    def begin_contender(self) -> engine_protocol.GenerateRequest:
        """Return the request of an attempt in parallel with the others."""
        attempt = self._commit_point.new_attempt()
        self._commit_point.add_contender(attempt, len(self.delivered_ids))
        return self._attempt_request(attempt, from_start=False)

    def revoke(self, attempt: ids.AttemptNumber) -> None:
        """Revoke an attempt's right to append."""
        if self._commit_point.revoke(attempt):
            self._pending.clear()

    def may_append(self, attempt: ids.AttemptNumber) -> bool:
        """Return whether an attempt is the owner or a contender."""
        return self._commit_point.may_append(attempt)

    def finish_at_limit(self) -> bool:
        """Finish if `max_tokens` are delivered; return whether finished.

        An engine may be lost after its last token, before the event that
        carries the finish reason.
        """
        if not self.finished and (
            len(self.delivered_ids) >= self.request.max_tokens
        ):
            self.finish_reason = states.FinishReason.LENGTH
        return self.finished

    def commit(self, event: engine_protocol.EngineEvent) -> Commit:
        """Append the tokens of an event; nothing else appends tokens."""
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
            self._commit_point.advance(len(event.ids))
            delivery = Delivery(event.offset, event.ids, event.text)
            self._pending.append(_PendingEvent(delivery, event.safe))
        if self.request.stop:
            return self._commit_with_stops(event)
        if event.finish_reason is not None:
            return self._finish(event.finish_reason)
        if not event.safe:
            return _COMMITTED
        return self._committed(self._release(len(self._pending)))

    def _attempt_request(
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

    def _set_owner(self, attempt: ids.AttemptNumber, offset: int) -> None:
        invariants.require_owner_goes_on(offset, len(self.delivered_ids))
        self._commit_point.set_owner(attempt, offset)
        self._pending.clear()

    def _claim_ownership(self, attempt: ids.AttemptNumber) -> None:
        """Make the attempt that produced the next token the owner."""
        if attempt != self.owner:
            self._set_owner(attempt, self._commit_point.start_of(attempt))
        self._commit_point.drop_contenders()

    def _refusal(
        self, event: engine_protocol.EngineEvent
    ) -> states.CommitOutcome | None:
        if self.finished:
            return states.CommitOutcome.FINISHED
        if event.generation != self.generation_id:
            return states.CommitOutcome.FOREIGN
        outcome = self._commit_point.append_outcome(
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
        delivered = self.delivered_ids[event.offset : end]
        if delivered != list(event.ids[: len(delivered)]):
            return states.CommitOutcome.DIVERGED
        return states.CommitOutcome.REPEATED

    def _commit_with_stops(self, event: engine_protocol.EngineEvent) -> Commit:
        text = "".join(pending.delivery.text for pending in self._pending)
        stop_position = stop_strings.first_position(text, self.request.stop)
        if stop_position is not None:
            return self._truncate_at(stop_position)
        if event.finish_reason is not None:
            return self._finish(event.finish_reason)
        deliverable_chars = len(text) - stop_strings.partial_match_length(
            text, self.request.stop
        )
        return self._committed(
            self._release(self._safe_count(deliverable_chars))
        )

    def _safe_count(self, remaining_chars: int) -> int:
        """Return how many pending events can be released.

        The last of them ends at a safe boundary, within the first
        `remaining_chars` characters of pending text.
        """
        count = 0
        for position, pending in enumerate(self._pending):
            remaining_chars -= len(pending.delivery.text)
            if remaining_chars < 0:
                break
            if pending.safe:
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
            released.append(msgspec.structs.replace(delivery, text=text))
        self.finish_reason = states.FinishReason.STOP
        return self._committed(tuple(released))

    def _release(self, count: int) -> tuple[Delivery, ...]:
        released = tuple(pending.delivery for pending in self._pending[:count])
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
