"""Journal of a generation on its owner's side.

Records the tokens that were appended and how many of them the replica
acknowledged.
"""

import collections.abc
import random

from oriolejunction.controllers import generation as generations
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import journal_messages
from oriolejunction import messages
from oriolejunction import token_log as token_logs

NO_OWNER = ids.OwnerNumber(0)
FIRST_OWNER = ids.OwnerNumber(1)
ATTEMPTS_PER_OWNER = 1_000
MIN_JOURNALLED_TOKENS = 16

Deliveries = collections.abc.Sequence[generations.Delivery]


class OwnedJournal:
    """Journal of a generation that this instance runs.

    Without a `replica` the generation is unprotected: its tokens are
    delivered unacknowledged, and no other instance can take it over.
    """

    def __init__(
        self,
        generation_id: ids.GenerationId,
        request: generations.GenerationRequest,
        instance: ids.InstanceId,
        owner: ids.OwnerNumber = FIRST_OWNER,
    ) -> None:
        self.generation_id = generation_id
        self.request = request
        self.instance = instance
        self.owner = owner
        self.tokens = token_logs.TokenLog()
        self.finish: journal_messages.JournalFinish | None = None
        self.acknowledged = 0
        self.replica: ids.InstanceId | None = None
        self.retry_at_ms = 0.0

    def extend(
        self,
        deliveries: Deliveries,
        finish: journal_messages.JournalFinish | None = None,
    ) -> tuple[journal_messages.JournalAppend, ...]:
        """Add deliveries and return the records that journal them."""
        records = []
        last = len(deliveries) - 1
        for position, delivery in enumerate(deliveries):
            invariants.require_contiguous(self.tokens.end, delivery.offset)
            self.tokens.append(delivery.ids, delivery.text)
            records.append(
                journal_messages.JournalAppend(
                    self.generation_id,
                    self.owner,
                    delivery.offset,
                    delivery.ids,
                    delivery.text,
                    finish if position == last else None,
                )
            )
        if finish is not None:
            self.finish = finish
        if finish is not None and not records:
            records.append(self._finish_record(finish))
        return tuple(records)

    def _finish_record(
        self, finish: journal_messages.JournalFinish
    ) -> journal_messages.JournalAppend:
        return journal_messages.JournalAppend(
            self.generation_id, self.owner, self.tokens.end, (), "", finish
        )

    def open_record(self) -> journal_messages.JournalOpen:
        """Return the record that stores the complete journal on a replica."""
        return journal_messages.JournalOpen(
            self.generation_id,
            self.owner,
            self.instance,
            self.request,
            self.tokens.pack(),
            self.finish,
        )

    def close_record(self) -> journal_messages.JournalClose:
        """Return the record that makes the replica drop the journal."""
        return journal_messages.JournalClose(self.generation_id, self.owner)

    def adopt(
        self,
        content: journal_messages.JournalContent,
        replica: ids.InstanceId,
    ) -> None:
        """Continue a journal that was taken over at `replica`.

        A replica on this instance itself does not protect the generation.
        `replica` then stays unset, and the complete journal is stored on
        another instance.
        """
        invariants.require_rising_owner(self.owner, content.owner)
        self.owner = content.owner
        self.tokens = token_logs.unpack(content.tokens)
        self.finish = content.finish
        if replica != self.instance:
            self.replica = replica
            self.acknowledged = self.tokens.end

    def acknowledge(self, end: int) -> None:
        """Record that the replica stores all tokens before `end`."""
        self.acknowledged = max(self.acknowledged, end)

    def require_deliverable(self, end: int) -> None:
        """Assert that tokens before `end` may be sent to the caller."""
        if self.replica is not None:
            invariants.require_acknowledged(end, self.acknowledged)


def needs_journal(
    request: generations.GenerationRequest, streamed: bool
) -> bool:
    """Return whether an answer is worth a journal.

    A caller that does not stream receives nothing before the answer is
    complete, and a short answer is faster to generate again.
    """
    return streamed and request.max_tokens >= MIN_JOURNALLED_TOKENS


def choose_replica(
    peer_by_id: dict[ids.InstanceId, messages.PeerInstance],
    own_instance: ids.InstanceId,
    zone: ids.ZoneId,
    excluded: collections.abc.Container[ids.InstanceId],
    rng: random.Random,
) -> ids.InstanceId | None:
    """Return another instance, in another availability zone if possible.

    Leaving instances are chosen only if there is no other.
    """
    candidates = [
        peer
        for peer in peer_by_id.values()
        if peer.instance != own_instance and peer.instance not in excluded
    ]
    if not candidates:
        return None
    best_rank = min(_rank(peer, zone) for peer in candidates)
    return rng.choice(
        [
            peer.instance
            for peer in candidates
            if _rank(peer, zone) == best_rank
        ]
    )


def _rank(peer: messages.PeerInstance, zone: ids.ZoneId) -> tuple[bool, bool]:
    return peer.leaving, peer.zone == zone


def deliveries_after(
    tokens: token_logs.TokenLog, offset: int
) -> tuple[generations.Delivery, ...]:
    """Return the deliveries after the first `offset` tokens."""
    deliveries = []
    for token_ids, text in tokens.segments_after(offset):
        deliveries.append(generations.Delivery(offset, token_ids, text))
        offset += len(token_ids)
    return tuple(deliveries)
