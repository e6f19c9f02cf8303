"""The owner's side of a journal: what was sent and what is acknowledged."""

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
    """The journal of a generation that this instance works on.

    Without a `replica` the generation is unprotected: its tokens are
    delivered without an acknowledgement and cannot be taken over.
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
        for position, part in enumerate(deliveries):
            invariants.require_contiguous(self.tokens.end, part.offset)
            self.tokens.append(part.ids, part.text)
            records.append(
                journal_messages.JournalAppend(
                    self.generation_id,
                    self.owner,
                    part.offset,
                    part.ids,
                    part.text,
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
        """Return the record that journals all there is at a new replica."""
        return journal_messages.JournalOpen(
            self.generation_id,
            self.owner,
            self.instance,
            self.request,
            self.tokens.pack(),
            self.finish,
        )

    def close_record(self) -> journal_messages.JournalClose:
        """Return the record by which the replica forgets the journal."""
        return journal_messages.JournalClose(self.generation_id, self.owner)

    def adopt(
        self,
        content: journal_messages.JournalContent,
        replica: ids.InstanceId,
    ) -> None:
        """Go on with a journal that was taken over at `replica`.

        A replica on this instance itself protects nothing: all is
        journalled again elsewhere.
        """
        invariants.require_rising_owner(self.owner, content.owner)
        self.owner = content.owner
        self.tokens = token_logs.unpack(content.tokens)
        self.finish = content.finish
        if replica != self.instance:
            self.replica = replica
            self.acknowledged = self.tokens.end

    def acknowledge(self, end: int) -> None:
        """Note that the replica holds all tokens before `end`."""
        self.acknowledged = max(self.acknowledged, end)

    def require_deliverable(self, end: int) -> None:
        """Assert that tokens before `end` may go to the caller."""
        if self.replica is not None:
            invariants.require_acknowledged(end, self.acknowledged)


def needs_journal(
    request: generations.GenerationRequest, streamed: bool
) -> bool:
    """Return whether an answer is worth a journal.

    An answer that is not streamed shows its caller nothing before it is
    whole, and a short one is sooner generated again.
    """
    return streamed and request.max_tokens >= MIN_JOURNALLED_TOKENS


def choose_replica(
    peer_by_id: dict[ids.InstanceId, messages.PeerInstance],
    own: ids.InstanceId,
    zone: ids.ZoneId,
    excluded: collections.abc.Container[ids.InstanceId],
    rng: random.Random,
) -> ids.InstanceId | None:
    """Return another instance, in another availability zone if there is one.

    Leaving instances are taken only where no other is left.
    """
    candidates = [
        peer
        for peer in peer_by_id.values()
        if peer.instance != own and peer.instance not in excluded
    ]
    if not candidates:
        return None
    best = min(_rank(peer, zone) for peer in candidates)
    return rng.choice(
        [peer.instance for peer in candidates if _rank(peer, zone) == best]
    )


def _rank(peer: messages.PeerInstance, zone: ids.ZoneId) -> tuple[bool, bool]:
    return peer.leaving, peer.zone == zone


def deliveries_after(
    tokens: token_logs.TokenLog, offset: int
) -> tuple[generations.Delivery, ...]:
    """Return what follows the `offset` tokens that a caller holds."""
    parts = []
    for token_ids, text in tokens.segments_after(offset):
        parts.append(generations.Delivery(offset, token_ids, text))
        offset += len(token_ids)
    return tuple(parts)
