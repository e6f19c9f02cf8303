"""Applies committed entries in order and resolves their waiters."""

import asyncio
import pathlib

import msgspec

from oriolejunction import commands
from oriolejunction.consensus import audit_file
from oriolejunction.consensus import replica as replicas
from oriolejunction.consensus import types
from oriolejunction.controllers import control_state
from oriolejunction import errors
from oriolejunction import invariants


class SnapshotBody(msgspec.Struct, frozen=True):
    """State in a snapshot, and the length of the audit log at its index.

    The audit log itself is not part of the snapshot: a replica that installs
    it must already have the first `trail_length` entries.
    """

    trail_length: int
    state: bytes


_decoder = msgspec.msgpack.Decoder(commands.Command)
_body_decoder = msgspec.msgpack.Decoder(SnapshotBody)


def audit_entry_count(snapshot: types.Snapshot) -> int:
    """Return how many audit log entries a snapshot requires."""
    return _body_decoder.decode(snapshot.body).trail_length


class Applier:
    """The state machine and the index of its last applied entry."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.state = control_state.ControlState()
        self.applied_index = 0
        self.audit_log = audit_file.AuditFile(folder)
        self._result_by_index: dict[int, tuple[int, asyncio.Future]] = {}
        self._waiters: list[tuple[int, asyncio.Future]] = []

    def apply(self, entry: types.Entry) -> None:
        """Apply the entry after `applied_index`.

        It counts as applied although an `OSError` of the audit log is raised;
        its waiters are then left to `fail_waiters`.
        """
        invariants.require(
            "applied_in_order",
            entry.index == self.applied_index + 1,
            applied=self.applied_index,
            index=entry.index,
        )
        result = None
        if entry.command is not None:
            command = _decoder.decode(entry.command)
            result = control_state.apply(self.state, command)
        self.applied_index = entry.index
        self._append_audit()
        self._resolve_result(entry, result)
        self._resolve_applied()

    def _append_audit(self) -> None:
        self.audit_log.append_missing(control_state.drain_audit(self.state))

    def _resolve_result(
        self, entry: types.Entry, result: commands.CommandResult | None
    ) -> None:
        term, future = self._result_by_index.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(result)
        else:
            future.set_exception(replicas.NotLeader())

    def _resolve_applied(self) -> None:
        for index, future in self._waiters:
            if index <= self.applied_index and not future.done():
                future.set_result(None)
        self._waiters = [w for w in self._waiters if w[0] > self.applied_index]

    def install(self, snapshot: types.Snapshot) -> None:
        """Replace the state with that of a snapshot.

        Raise `Failure` with `CorruptLog` where the audit log lacks
        entries that the snapshot requires.
        """
        body = _body_decoder.decode(snapshot.body)
        if self.audit_log.last_number < body.trail_length:
            raise errors.Failure(
                errors.CorruptLog(
                    f"the audit log ends at {self.audit_log.last_number},"
                    f" but the snapshot requires {body.trail_length} entries"
                )
            )
        self.state = control_state.load(body.state)
        self.applied_index = snapshot.index
        self._resolve_applied()

    def snapshot_body(self) -> bytes:
        """Return the encoded body of a snapshot at `applied_index`."""
        body = SnapshotBody(
            self.state.history.audit_count, control_state.dump(self.state)
        )
        return msgspec.msgpack.encode(body)

    async def wait_result(
        self, index: int, term: int
    ) -> commands.CommandResult:
        """Return the result of the command proposed at `index` in `term`.

        Raise `NotLeader` where another entry was committed there.
        """
        future = asyncio.get_running_loop().create_future()
        self._result_by_index[index] = (term, future)
        return await future

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at `index` is applied."""
        if index <= self.applied_index:
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((index, future))
        await future

    def fail_waiters(self) -> None:
        """Fail all waiters, those of results with `OutcomeUnknown`."""
        for _, future in self._result_by_index.values():
            if not future.done():
                future.set_exception(replicas.OutcomeUnknown())
        self._result_by_index.clear()
        for _, future in self._waiters:
            if not future.done():
                future.set_exception(replicas.NotLeader())
        self._waiters.clear()

    def close(self) -> None:
        """Close the audit log."""
        self.audit_log.close()
