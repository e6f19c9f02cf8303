"""Journals that an instance stores for generations owned by others.

Only the current owner number may append to a journal. A takeover raises the
number, so that later appends of the former owner are refused. Journals are
bounded in bytes and age.
"""

import collections.abc
import dataclasses

import expression
import msgspec

from oriolejunction.controllers import generation as generations
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import journal_messages
from oriolejunction import states
from oriolejunction import token_log as token_logs

ENTRY_OVERHEAD_BYTES = 1_000
MAX_BYTES = 64 << 20
IDLE_TTL_MS = 120_000
FINISHED_TTL_MS = 30_000

Refusal = states.JournalRefusal


@dataclasses.dataclass(frozen=True)
class JournalLimits:
    """Limits of the journals of one instance.

    An unfinished journal expires `idle_ms` after its last record, a
    finished one after `finished_ms`.
    """

    max_bytes: int = MAX_BYTES
    idle_ms: float = IDLE_TTL_MS
    finished_ms: float = FINISHED_TTL_MS


@dataclasses.dataclass
class JournalEntry:
    """The journal of one generation."""

    owner: ids.OwnerNumber
    instance: ids.InstanceId
    request: generations.GenerationRequest
    tokens: token_logs.TokenLog
    stored_bytes: int
    last_used_ms: float
    finish: journal_messages.JournalFinish | None = None


@dataclasses.dataclass
class JournalReplica:
    """All journals that this instance stores for other owners."""

    limits: JournalLimits = JournalLimits()
    entry_by_generation: dict[ids.GenerationId, JournalEntry] = (
        dataclasses.field(default_factory=dict)
    )
    stored_bytes: int = 0


def write(
    replica: JournalReplica,
    records: collections.abc.Iterable[journal_messages.JournalRecord],
    now_ms: float,
) -> tuple[journal_messages.JournalRefused, ...]:
    """Apply the records of a batch and return the refusals."""
    refused = []
    for record in records:
        refusal = _write_one(replica, record, now_ms)
        if refusal is not None:
            refused.append(
                journal_messages.JournalRefused(
                    record.generation, record.owner, refusal
                )
            )
    return tuple(refused)


def _write_one(
    replica: JournalReplica,
    record: journal_messages.JournalRecord,
    now_ms: float,
) -> Refusal | None:
    match record:
        case journal_messages.JournalAppend():
            return append(replica, record, now_ms)
        case journal_messages.JournalOpen():
            return open_journal(replica, record, now_ms)
        case journal_messages.JournalClose():
            return close(replica, record)


def open_journal(
    replica: JournalReplica,
    record: journal_messages.JournalOpen,
    now_ms: float,
) -> Refusal | None:
    """Store a complete journal, replacing an older one of the generation.

    A delayed duplicate of an earlier record of the same owner never
    shortens the journal.
    """
    tokens = token_logs.unpack(record.tokens)
    existing = replica.entry_by_generation.get(record.generation)
    if existing is not None:
        if not _may_replace(existing, record):
            return Refusal.FENCED
        if existing.owner == record.owner and existing.tokens.end > tokens.end:
            return Refusal.GAP
    size = (
        ENTRY_OVERHEAD_BYTES
        + len(record.request.prompt.encode())
        + tokens.size_bytes
    )
    if not _evict_finished(replica, size):
        return Refusal.FULL
    _drop(replica, record.generation)
    replica.stored_bytes += size
    replica.entry_by_generation[record.generation] = JournalEntry(
        owner=record.owner,
        instance=record.instance,
        request=record.request,
        tokens=tokens,
        stored_bytes=size,
        last_used_ms=now_ms,
        finish=record.finish,
    )
    return None


def _may_replace(
    existing: JournalEntry, record: journal_messages.JournalOpen
) -> bool:
    if existing.owner == record.owner:
        return existing.instance == record.instance
    return existing.owner < record.owner


def append(
    replica: JournalReplica,
    record: journal_messages.JournalAppend,
    now_ms: float,
) -> Refusal | None:
    """Append tokens of the current owner to its journal."""
    entry = replica.entry_by_generation.get(record.generation)
    if entry is None:
        return Refusal.UNKNOWN
    if record.owner != entry.owner:
        return Refusal.FENCED
    if entry.finish is not None:
        return Refusal.FINISHED
    if record.offset != entry.tokens.end:
        return Refusal.GAP
    size = _segment_bytes(record)
    if not _evict_finished(replica, size):
        return Refusal.FULL
    if record.ids:
        entry.tokens.append(record.ids, record.text)
        entry.stored_bytes += size
        replica.stored_bytes += size
    entry.finish = record.finish
    entry.last_used_ms = now_ms
    return None


def close(
    replica: JournalReplica, record: journal_messages.JournalClose
) -> Refusal | None:
    """Drop a journal on behalf of its current owner."""
    entry = replica.entry_by_generation.get(record.generation)
    if entry is None:
        return None
    if record.owner != entry.owner:
        return Refusal.FENCED
    _drop(replica, record.generation)
    return None


def take_over(
    replica: JournalReplica,
    request: journal_messages.JournalTakeOver,
    now_ms: float,
) -> expression.Result[journal_messages.JournalContent, Refusal]:
    """Transfer a generation to another owner and fence the former one.

    A generation of another workspace is reported as unknown. Nothing
    changes if the caller has more tokens than the journal, or if its offset
    lies within tokens that were delivered together.
    """
    entry = replica.entry_by_generation.get(request.generation)
    requested = request.request
    if entry is None or entry.request.workspace != requested.workspace:
        return expression.Error(Refusal.UNKNOWN)
    pinned = msgspec.structs.replace(requested, version=entry.request.version)
    if pinned != entry.request:
        return expression.Error(Refusal.OTHER_REQUEST)
    if not entry.tokens.is_boundary(request.offset):
        return expression.Error(Refusal.NO_BOUNDARY)
    owner = ids.OwnerNumber(entry.owner + 1)
    invariants.require_rising_owner(entry.owner, owner)
    entry.owner = owner
    entry.instance = request.instance
    entry.last_used_ms = now_ms
    return expression.Ok(
        journal_messages.JournalContent(
            generation=request.generation,
            owner=owner,
            request=entry.request,
            tokens=entry.tokens.pack(),
            finish=entry.finish,
        )
    )


def expire(replica: JournalReplica, now_ms: float) -> int:
    """Drop expired journals and return their number."""
    expired = [
        generation
        for generation, entry in replica.entry_by_generation.items()
        if now_ms - entry.last_used_ms >= _ttl_ms(replica.limits, entry)
    ]
    for generation in expired:
        _drop(replica, generation)
    return len(expired)


def active_count(replica: JournalReplica, since_ms: float) -> int:
    """Return the number of unfinished journals written since then."""
    return sum(
        entry.finish is None and entry.last_used_ms >= since_ms
        for entry in replica.entry_by_generation.values()
    )


def _ttl_ms(limits: JournalLimits, entry: JournalEntry) -> float:
    return limits.idle_ms if entry.finish is None else limits.finished_ms


def _evict_finished(replica: JournalReplica, size: int) -> bool:
    """Drop finished journals, oldest first, until `size` bytes fit.

    Return whether they fit.
    """
    limit = replica.limits.max_bytes - size
    if replica.stored_bytes <= limit:
        return True
    finished = sorted(
        (entry.last_used_ms, generation)
        for generation, entry in replica.entry_by_generation.items()
        if entry.finish is not None
    )
    for _, generation in finished:
        _drop(replica, generation)
        if replica.stored_bytes <= limit:
            return True
    return False


def _drop(replica: JournalReplica, generation: ids.GenerationId) -> None:
    entry = replica.entry_by_generation.pop(generation, None)
    if entry is not None:
        replica.stored_bytes -= entry.stored_bytes


def _segment_bytes(record: journal_messages.JournalAppend) -> int:
    return (
        8 * len(record.ids)
        + len(record.text.encode())
        + token_logs.SEGMENT_BYTES
    )
