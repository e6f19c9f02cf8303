"""Ledger of non-idempotent (never-twice) calls, as a deterministic state.

A key is claimed before its only dispatch. A claim without an outcome stays
claimed: whether the call ran is unknown, so it is never dispatched again.
Keys leave the ledger after `RETENTION_HOURS`. A dated key is then refused by
its date, a plain one by its digest, which is stored permanently.
"""

import dataclasses
import hashlib

from oriolejunction import commands
from oriolejunction.controllers import idempotency_keys
from oriolejunction import ids
from oriolejunction import states

RETENTION_HOURS = 24
MAX_FUTURE_HOURS = 1
IN_PROGRESS_MS = 60_000
MAX_KEYS_PER_WORKSPACE = 50_000
MAX_PLAIN_KEYS_PER_WORKSPACE = 1_000_000
MAX_ANSWER_BYTES = 64 << 10
MAX_ANSWERS_BYTES = 32 << 20
MAX_RELEASES = 16
MAX_OWNERS = 1_024
DIGEST_BYTES = 8

CallKey = tuple[ids.WorkspaceId, ids.ServiceName, ids.IdempotencyKey]
CallCommand = (
    commands.ClaimCall
    | commands.RecordCallOutcome
    | commands.VoidCall
    | commands.ResolveCall
)


@dataclasses.dataclass
class LedgerEntry:
    """State of one key; claims in `released_claims` are never granted."""

    body_digest: str
    claim_id: str
    state: states.CallState
    claimed_at_ms: int
    answer: commands.StoredAnswer | None = None
    released_claims: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Ledger:
    """All known keys, and the digests of plain keys that expired.

    `now_ms` never decreases. It follows the median of the wall clocks that
    instances reported, so that a single wrong clock expires no key.
    """

    now_ms: int = 0
    wall_ms_by_owner: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )
    entry_by_key: dict[CallKey, LedgerEntry] = dataclasses.field(
        default_factory=dict
    )
    keys_by_hour: dict[int, list[CallKey]] = dataclasses.field(
        default_factory=dict
    )
    count_by_workspace: dict[ids.WorkspaceId, int] = dataclasses.field(
        default_factory=dict
    )
    answer_bytes_by_key: dict[CallKey, int] = dataclasses.field(
        default_factory=dict
    )
    answer_bytes: int = 0
    used_by_workspace: dict[ids.WorkspaceId, bytearray] = dataclasses.field(
        default_factory=dict
    )


def claim(ledger: Ledger, command: commands.ClaimCall) -> commands.CallClaim:
    """Grant the first claim of a key; report its state to later ones."""
    _advance_clock(ledger, command.owner, command.at_ms)
    key = _key_of(command)
    entry = ledger.entry_by_key.get(key)
    if entry is None:
        refusal = _refusal(ledger, key)
        if refusal is not None:
            return _refused(refusal)
        entry = _new_entry(ledger, key, states.CallState.RELEASED)
    if entry.state is states.CallState.RELEASED:
        _grant(ledger, entry, command)
    return commands.CallClaim(
        granted=entry.claim_id == command.claim_id
        and entry.state is states.CallState.CLAIMED,
        state=_reported_state(ledger, entry),
        body_matches=entry.body_digest == command.body_digest
        or entry.state is states.CallState.VOID,
        answer=entry.answer,
    )


def void(ledger: Ledger, command: commands.VoidCall) -> commands.CallClaim:
    """Block a key permanently unless a claim was committed before."""
    _advance_clock(ledger, command.owner, command.at_ms)
    key = _key_of(command)
    entry = ledger.entry_by_key.get(key)
    if entry is None:
        refusal = _refusal(ledger, key)
        if refusal is not None:
            return _refused(refusal)
        entry = _new_entry(ledger, key, states.CallState.VOID)
    if entry.state is states.CallState.RELEASED:
        entry.state = states.CallState.VOID
    return commands.CallClaim(
        granted=False,
        state=_reported_state(ledger, entry),
        body_matches=True,
        answer=entry.answer,
    )


def record_outcome(
    ledger: Ledger, command: commands.RecordCallOutcome
) -> commands.Recorded:
    """Store the outcome of the claim that dispatched the call.

    A release blocks its claim permanently, even if the claim is committed
    only later.
    """
    _advance_clock(ledger, command.owner, command.at_ms)
    key = _key_of(command)
    entry = ledger.entry_by_key.get(key)
    if command.state is states.CallState.RELEASED:
        _release(ledger, key, entry, command.claim_id)
    elif entry is not None and _is_open(entry, command.claim_id):
        entry.state = command.state
        _store_answer(ledger, key, entry, command.answer)
    return commands.Recorded()


def resolve(
    ledger: Ledger, command: commands.ResolveCall
) -> commands.Recorded:
    """Record that the service's lookup reports the call as executed."""
    key = _key_of(command)
    entry = ledger.entry_by_key.get(key)
    if entry is not None and entry.state in (
        states.CallState.CLAIMED,
        states.CallState.UNKNOWN,
    ):
        entry.state = states.CallState.DONE
        _store_answer(ledger, key, entry, command.answer)
    return commands.Recorded()


def _key_of(command: CallCommand) -> CallKey:
    return (command.workspace, command.service, command.key)


def _refused(refusal: states.KeyRefusal) -> commands.CallClaim:
    return commands.CallClaim(
        granted=False,
        state=states.CallState.UNKNOWN,
        body_matches=True,
        refusal=refusal,
    )


def _is_open(entry: LedgerEntry, claim_id: str) -> bool:
    return (
        entry.claim_id == claim_id and entry.state is states.CallState.CLAIMED
    )


def _reported_state(ledger: Ledger, entry: LedgerEntry) -> states.CallState:
    overdue = ledger.now_ms - entry.claimed_at_ms > IN_PROGRESS_MS
    if entry.state is states.CallState.CLAIMED and overdue:
        return states.CallState.UNKNOWN
    return entry.state


def _grant(
    ledger: Ledger, entry: LedgerEntry, command: commands.ClaimCall
) -> None:
    if command.claim_id in entry.released_claims:
        return
    if len(entry.released_claims) >= MAX_RELEASES:
        entry.state = states.CallState.VOID
        return
    entry.body_digest = command.body_digest
    entry.claim_id = command.claim_id
    entry.claimed_at_ms = ledger.now_ms
    entry.state = states.CallState.CLAIMED


def _release(
    ledger: Ledger, key: CallKey, entry: LedgerEntry | None, claim_id: str
) -> None:
    if entry is None:
        if _refusal(ledger, key) is not None:
            return
        entry = _new_entry(ledger, key, states.CallState.RELEASED)
    if _is_open(entry, claim_id):
        entry.state = states.CallState.RELEASED
    is_released = claim_id in entry.released_claims
    if not is_released and len(entry.released_claims) < MAX_RELEASES:
        entry.released_claims.append(claim_id)


def _new_entry(
    ledger: Ledger, key: CallKey, state: states.CallState
) -> LedgerEntry:
    entry = LedgerEntry("", "", state, ledger.now_ms)
    ledger.entry_by_key[key] = entry
    hour = idempotency_keys.hour_of(key[2])
    if hour is None:
        hour = _current_hour(ledger)
    ledger.keys_by_hour.setdefault(hour, []).append(key)
    count = ledger.count_by_workspace.get(key[0], 0)
    ledger.count_by_workspace[key[0]] = count + 1
    return entry


def _refusal(ledger: Ledger, key: CallKey) -> states.KeyRefusal | None:
    hour = idempotency_keys.hour_of(key[2])
    used_digests = ledger.used_by_workspace.get(key[0], bytearray())
    count = ledger.count_by_workspace.get(key[0], 0)
    if hour is None:
        if _contains_digest(used_digests, _digest(key)):
            return states.KeyRefusal.USED
        used_count = len(used_digests) // DIGEST_BYTES
        if used_count + count >= MAX_PLAIN_KEYS_PER_WORKSPACE:
            return states.KeyRefusal.NO_ROOM
    elif hour + RETENTION_HOURS < _current_hour(ledger):
        return states.KeyRefusal.EXPIRED
    elif hour > _current_hour(ledger) + MAX_FUTURE_HOURS:
        return states.KeyRefusal.EARLY
    if count >= MAX_KEYS_PER_WORKSPACE:
        return states.KeyRefusal.NO_ROOM
    return None


def _current_hour(ledger: Ledger) -> int:
    return ledger.now_ms // idempotency_keys.HOUR_MS


def _advance_clock(
    ledger: Ledger, owner: ids.InstanceId, wall_ms: int
) -> None:
    wall_times = ledger.wall_ms_by_owner
    wall_times.pop(owner, None)
    wall_times[owner] = wall_ms
    if len(wall_times) > MAX_OWNERS:
        del wall_times[next(iter(wall_times))]
    median = sorted(wall_times.values())[(len(wall_times) - 1) // 2]
    hour_before = _current_hour(ledger)
    ledger.now_ms = max(ledger.now_ms, median)
    if _current_hour(ledger) > hour_before:
        _expire_keys(ledger)


def _expire_keys(ledger: Ledger) -> None:
    first_retained = _current_hour(ledger) - RETENTION_HOURS
    for hour in sorted(h for h in ledger.keys_by_hour if h < first_retained):
        for key in ledger.keys_by_hour.pop(hour):
            _drop(ledger, key)


def _drop(ledger: Ledger, key: CallKey) -> None:
    del ledger.entry_by_key[key]
    ledger.count_by_workspace[key[0]] -= 1
    ledger.answer_bytes -= ledger.answer_bytes_by_key.pop(key, 0)
    if idempotency_keys.hour_of(key[2]) is None:
        used_digests = ledger.used_by_workspace.setdefault(key[0], bytearray())
        _insert_digest(used_digests, _digest(key))


def _store_answer(
    ledger: Ledger,
    key: CallKey,
    entry: LedgerEntry,
    answer: commands.StoredAnswer | None,
) -> None:
    if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
        return
    entry.answer = answer
    ledger.answer_bytes_by_key[key] = len(answer.body)
    ledger.answer_bytes += len(answer.body)
    while ledger.answer_bytes > MAX_ANSWERS_BYTES:
        oldest = next(iter(ledger.answer_bytes_by_key))
        ledger.answer_bytes -= ledger.answer_bytes_by_key.pop(oldest)
        ledger.entry_by_key[oldest].answer = None


def _digest(key: CallKey) -> bytes:
    text = "\0".join(key[1:]).encode()
    return hashlib.sha256(text).digest()[:DIGEST_BYTES]


def _digest_position(used_digests: bytearray, digest: bytes) -> int:
    low, high = 0, len(used_digests) // DIGEST_BYTES
    while low < high:
        middle = (low + high) // 2
        start = middle * DIGEST_BYTES
        if used_digests[start : start + DIGEST_BYTES] < digest:
            low = middle + 1
        else:
            high = middle
    return low * DIGEST_BYTES


def _contains_digest(used_digests: bytearray, digest: bytes) -> bool:
    start = _digest_position(used_digests, digest)
    return used_digests[start : start + DIGEST_BYTES] == digest


def _insert_digest(used_digests: bytearray, digest: bytes) -> None:
    if not _contains_digest(used_digests, digest):
        start = _digest_position(used_digests, digest)
        used_digests[start:start] = digest
