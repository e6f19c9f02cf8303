"""Replaces the start of a long log with a snapshot."""

import asyncio

import msgspec

from oriolejunction.consensus import applier as appliers
from oriolejunction.consensus import core as cores
from oriolejunction.consensus import core_state
from oriolejunction.consensus import storage as storages
from oriolejunction.consensus import types

# Whatever their size, so that a member that is a little behind needs no
# snapshot.
MIN_RETAINED = 4


class LogLimits(msgspec.Struct, frozen=True):
    """Log size that triggers a snapshot; entries retained before it.

    Fewer are retained where they exceed `retained_bytes`, which are written
    anew with each snapshot.
    """

    max_entries: int = 4_096
    max_bytes: int = 32 << 20
    retained: int = 512
    retained_bytes: int = 8 << 20


async def compact(
    core: cores.Core,
    applier: appliers.Applier,
    storage: storages.Storage,
    limits: LogLimits,
) -> None:
    """Write a snapshot if the log has reached one of its limits.

    The audit log is synced before the log entries that produced it are
    dropped. Raise `OSError` where the disk fails.
    """
    state = core.state
    index = applier.applied_index
    if not _is_long(state, storage, index, limits) or state.output.writes:
        return
    base_index = _first_retained(state, index, limits) - 1
    if base_index == state.log.base_index:
        return
    core.compact(base_index)
    snapshot, base = _snapshot_at(
        state, index, base_index, applier.snapshot_body()
    )
    hard_state = types.HardState(state.term, state.vote)
    retained_entries = state.log.entries_after(base_index)
    await asyncio.to_thread(applier.audit_log.sync)
    await asyncio.to_thread(
        storage.compact, snapshot, base, hard_state, retained_entries
    )


def _is_long(
    state: core_state.CoreState,
    storage: storages.Storage,
    index: int,
    limits: LogLimits,
) -> bool:
    entries = index - state.log.base_index
    return (
        entries >= limits.max_entries
        or storage.segment_bytes >= limits.max_bytes
    )


def _first_retained(
    state: core_state.CoreState, index: int, limits: LogLimits
) -> int:
    """Return the index of the first entry to retain up to `index`."""
    oldest = max(state.log.base_index, index - limits.retained) + 1
    first, retained_bytes = index + 1, 0
    while first > oldest:
        retained_bytes += len(state.log.entry(first - 1).command or b"")
        is_enough = index - first + 1 >= MIN_RETAINED
        if is_enough and retained_bytes > limits.retained_bytes:
            break
        first -= 1
    return first


def _snapshot_at(
    state: core_state.CoreState, index: int, base_index: int, body: bytes
) -> tuple[types.Snapshot, storages.Base]:
    log = state.log
    membership_index, membership = log.membership_at(index)
    snapshot = types.Snapshot(
        index, log.term_at(index), membership, membership_index, body
    )
    membership_index, membership = log.membership_at(base_index)
    base = storages.Base(
        base_index, log.base_term, membership, membership_index
    )
    return snapshot, base
