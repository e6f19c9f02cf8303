"""Journals that an instance keeps for generations owned by others.

A generation is appended to by a single owner number. A takeover raises the
number, so that the next append of the former owner is refused. Bytes and
age are bounded.
"""

import collections.abc
import dataclasses

import expression

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
    """Bounds of the journals of one instance.

    An unfinished journal is forgotten `idle_ms` after its last record, a
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
    bytes_held: int
    last_used_ms: float
    finish: journal_messages.JournalFinish | None = None


@dataclasses.dataclass
class JournalReplica:
    """All journals that this instance keeps for others."""

    limits: JournalLimits = JournalLimits()
    entry_by_generation: dict[ids.GenerationId, JournalEntry] = (
        dataclasses.field(default_factory=dict)
    )
    bytes_held: int = 0


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
    """Keep a journal whole, in place of an older one of the generation.

    A late copy of an earlier record of the same owner never shortens it.
    """
    tokens = token_logs.unpack(record.tokens)
    known = replica.entry_by_generation.get(record.generation)
    if known is not None:
        if not _may_replace(known, record):
            return Refusal.FENCED
        if known.owner == record.owner and known.tokens.end > tokens.end:
            return Refusal.GAP
    size = (
        ENTRY_OVERHEAD_BYTES
        + len(record.request.prompt.encode())
        + tokens.size_bytes
    )
    if not _evict_finished(replica, size):
        return Refusal.FULL
    _drop(replica, record.generation)
    replica.bytes_held += size
    replica.entry_by_generation[record.generation] = JournalEntry(
        owner=record.owner,
        instance=record.instance,
        request=record.request,
        tokens=tokens,
        bytes_held=size,
        last_used_ms=now_ms,
        finish=record.finish,
    )
    return None


def _may_replace(
    known: JournalEntry, record: journal_messages.JournalOpen
) -> bool:
    if known.owner == record.owner:
        return known.instance == record.instance
    return known.owner < record.owner


def append(
    replica: JournalReplica,
    record: journal_messages.JournalAppend,
    now_ms: float,
) -> Refusal | None:
    """Append tokens of the present owner at the end."""
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
        entry.bytes_held += size
        replica.bytes_held += size
    entry.finish = record.finish
    entry.last_used_ms = now_ms
    return None


def close(
    replica: JournalReplica, record: journal_messages.JournalClose
) -> Refusal | None:
    """Forget the journal of the present owner."""
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
    """Give a generation to another owner, fencing the former one.

    A generation of another workspace is unknown to the asking one. Nothing
    changes where the caller holds more than the journal, or where its
    offset lies within tokens delivered together.
    """
    entry = replica.entry_by_generation.get(request.generation)
    asked = request.request
    if entry is None or entry.request.workspace != asked.workspace:
        return expression.Error(Refusal.UNKNOWN)
    pinned = dataclasses.replace(asked, version=entry.request.version)
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
    """Forget journals past their age and return how many."""
    old = [
        generation
        for generation, entry in replica.entry_by_generation.items()
        if now_ms - entry.last_used_ms >= _ttl_ms(replica.limits, entry)
    ]
    for generation in old:
        _drop(replica, generation)
    return len(old)


def active_count(replica: JournalReplica, since_ms: float) -> int:
    """Return the number of unfinished journals written to since then."""
    return sum(
        entry.finish is None and entry.last_used_ms >= since_ms
        for entry in replica.entry_by_generation.values()
    )


def _ttl_ms(limits: JournalLimits, entry: JournalEntry) -> float:
    return limits.idle_ms if entry.finish is None else limits.finished_ms


def _evict_finished(replica: JournalReplica, size: int) -> bool:
    """Forget finished journals, oldest first, until `size` bytes fit."""
    limit = replica.limits.max_bytes - size
    if replica.bytes_held <= limit:
        return True
    finished = sorted(
        (entry.last_used_ms, generation)
        for generation, entry in replica.entry_by_generation.items()
        if entry.finish is not None
    )
    for _, generation in finished:
        _drop(replica, generation)
        if replica.bytes_held <= limit:
            return True
    return False


def _drop(replica: JournalReplica, generation: ids.GenerationId) -> None:
    entry = replica.entry_by_generation.pop(generation, None)
    if entry is not None:
        replica.bytes_held -= entry.bytes_held


def _segment_bytes(record: journal_messages.JournalAppend) -> int:
    return (
        8 * len(record.ids)
        + len(record.text.encode())
        + token_logs.SEGMENT_BYTES
    )
