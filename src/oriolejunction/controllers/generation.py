"""One generation and its single commit point.

Engines work on a generation as attempts with rising numbers. Only the
owning attempt may append, and only at its next offset. Tokens become
deliverable at a safe boundary: not inside a UTF-8 sequence, not inside a
possible stop string.
"""

import collections.abc
import dataclasses

from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

NO_ATTEMPT = ids.AttemptNumber(0)


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
        self.owner = NO_ATTEMPT
        self._last_attempt = NO_ATTEMPT
        self._next_offset = 0
        self._pending: list[Delivery] = []

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
            self._last_attempt == NO_ATTEMPT and not self.delivered_ids,
            generation=self.generation_id,
        )
        self.delivered_ids.extend(delivered_ids)
        self._last_attempt = last_attempt
        self.prompt_tokens = prompt_tokens

    @property
    def finished(self) -> bool:
        """Return whether the answer is complete."""
        return self.finish_reason is not None

    def begin_attempt(self) -> engine_protocol.GenerateRequest:
        """Make a new attempt the owner and return its request.

        Tokens held back by the former owner are dropped; the new attempt
        goes on after what was delivered.
        """
        self._last_attempt = ids.AttemptNumber(self._last_attempt + 1)
        self.owner = self._last_attempt
        self._pending.clear()
        self._next_offset = len(self.delivered_ids)
        return engine_protocol.GenerateRequest(
            generation=self.generation_id,
            attempt=self.owner,
            model=self.request.model,
            version=self.request.version,
            adapter=self.request.adapter,
            prompt=self.request.prompt,
            max_tokens=self.request.max_tokens,
            sampling=self.request.sampling,
            forced_ids=tuple(self.delivered_ids),
            priority=1 if self.delivered_ids else 0,
        )

    def commit(self, event: engine_protocol.EngineEvent) -> Commit:
        """Append the tokens of an event, the only way to append."""
        refusal = self._refusal(event)
        if refusal is not None:
            return Commit(refusal)
        self._next_offset += len(event.ids)
        if event.ids:
            self._pending.append(Delivery(event.offset, event.ids, event.text))
        if event.finish_reason is not None:
            return self._finish(event.finish_reason, event.prompt_tokens)
        if not event.safe:
            return Commit(states.CommitOutcome.COMMITTED)
        if self.request.stop:
            return self._deliver_around_stops()
        return Commit(states.CommitOutcome.COMMITTED, self._release_all())

    def _refusal(
        self, event: engine_protocol.EngineEvent
    ) -> states.CommitOutcome | None:
        if self.finished:
            return states.CommitOutcome.FINISHED
        if event.attempt != self.owner:
            return states.CommitOutcome.NOT_OWNER
        if event.generation != self.generation_id:
            return states.CommitOutcome.NOT_OWNER
        if event.offset < self._next_offset:
            return states.CommitOutcome.REPEATED
        if event.offset > self._next_offset:
            return states.CommitOutcome.GAP
        return None

    def _finish(
        self, reason: states.FinishReason, prompt_tokens: int
    ) -> Commit:
        deliveries = self._release_all()
        self.finish_reason = reason
        self.prompt_tokens = prompt_tokens
        return Commit(states.CommitOutcome.COMMITTED, deliveries)

    def _release_all(self) -> tuple[Delivery, ...]:
        released = tuple(self._pending)
        self._pending.clear()
        for delivery in released:
            self._mark_delivered(delivery)
        return released

    def _mark_delivered(self, delivery: Delivery) -> None:
        invariants.require_contiguous(len(self.delivered_ids), delivery.offset)
        self.delivered_ids.extend(delivery.ids)

    def _deliver_around_stops(self) -> Commit:
        text = "".join(part.text for part in self._pending)
        found = _first_stop(text, self.request.stop)
        if found is not None:
            return self._cut_at(found)
        free = len(text) - _held_length(text, self.request.stop)
        released = []
        while self._pending and len(self._pending[0].text) <= free:
            delivery = self._pending.pop(0)
            free -= len(delivery.text)
            self._mark_delivered(delivery)
            released.append(delivery)
        return Commit(states.CommitOutcome.COMMITTED, tuple(released))

    def _cut_at(self, position: int) -> Commit:
        released = []
        for delivery in self._release_all():
            text = delivery.text[: max(position, 0)]
            position -= len(delivery.text)
            released.append(dataclasses.replace(delivery, text=text))
        self.finish_reason = states.FinishReason.STOP
        return Commit(states.CommitOutcome.COMMITTED, tuple(released))


def _first_stop(text: str, stops: tuple[str, ...]) -> int | None:
    positions = [text.find(stop) for stop in stops]
    found = [position for position in positions if position >= 0]
    return min(found) if found else None


def _held_length(text: str, stops: tuple[str, ...]) -> int:
    """Return the length of the longest suffix that may begin a stop."""
    return max(
        (
            length
            for stop in stops
            for length in range(1, min(len(stop), len(text) + 1))
            if text.endswith(stop[:length])
        ),
        default=0,
    )
