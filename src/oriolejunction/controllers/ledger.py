"""Ledger of never-twice calls, as a deterministic state.

A key is claimed before its one dispatch. A claim without an outcome stays
claimed: whether it ran is then unknown, and it is never run again.
"""

import dataclasses

from oriolejunction import ids
from oriolejunction import messages
from oriolejunction import states

CallKey = tuple[ids.WorkspaceId, ids.ServiceName, ids.IdempotencyKey]


@dataclasses.dataclass
class LedgerEntry:
    """State of one key."""

    body_digest: str
    owner: ids.InstanceId
    claim_id: str
    state: states.CallState
    claimed_at_ms: int
    answer: messages.StoredAnswer | None = None


@dataclasses.dataclass
class Ledger:
    """All keys known."""

    entry_by_key: dict[CallKey, LedgerEntry] = dataclasses.field(
        default_factory=dict
    )


def claim(ledger: Ledger, command: messages.ClaimCall) -> messages.CallClaim:
    """Grant the first claim of a key; tell later ones where it stands."""
    key = (command.workspace, command.service, command.key)
    entry = ledger.entry_by_key.get(key)
    if entry is None or entry.state is states.CallState.RELEASED:
        ledger.entry_by_key[key] = LedgerEntry(
            body_digest=command.body_digest,
            owner=command.owner,
            claim_id=command.claim_id,
            state=states.CallState.CLAIMED,
            claimed_at_ms=command.at_ms,
        )
        return messages.CallClaim(True, states.CallState.CLAIMED, True)
    return messages.CallClaim(
        granted=entry.claim_id == command.claim_id
        and entry.state is states.CallState.CLAIMED,
        state=entry.state,
        body_matches=entry.body_digest == command.body_digest,
        answer=entry.answer,
    )


def record_outcome(
    ledger: Ledger, command: messages.RecordCallOutcome
) -> messages.Recorded:
    """Store the outcome of the claim that dispatched the call."""
    key = (command.workspace, command.service, command.key)
    entry = ledger.entry_by_key.get(key)
    if (
        entry is not None
        and entry.claim_id == command.claim_id
        and entry.state is states.CallState.CLAIMED
    ):
        entry.state = command.state
        entry.answer = command.answer
    return messages.Recorded()
