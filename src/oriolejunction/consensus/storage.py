"""Term, vote, log and snapshots on disk.

The write-ahead log is one file, a segment; a new one replaces it. Each batch
of records is one frame, and is synced before the next one is written.
"""

import collections.abc
import io
import os
import pathlib

import msgspec

from oriolejunction.consensus import log as logs
from oriolejunction.consensus import segments
from oriolejunction.consensus import types
from oriolejunction import errors

EMPTY_MEMBERSHIP = types.Membership(())
_SEGMENT_GLOB = "wal-*.log"
_SNAPSHOT_NAME = "snapshot"


class Base(msgspec.Struct, frozen=True, tag=True):
    """Log position and membership before the first entry of a segment."""

    index: int
    term: int
    membership: types.Membership
    membership_index: int


_LogRecord = Base | types.HardState | types.AppendEntries | types.TruncateLog
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[_LogRecord, ...])
_snapshot_decoder = msgspec.msgpack.Decoder(types.Snapshot)


class Storage:
    """The durable state of one replica, in a folder of its own."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.hard_state = types.HardState(0, None)
        self.log = logs.Log(EMPTY_MEMBERSHIP)
        self.snapshot: types.Snapshot | None = None
        self.segment_bytes = 0
        self._segment_number = 0
        self._file: io.FileIO | None = None
        self.sync_count = 0

    @classmethod
    def create(
        cls,
        folder: pathlib.Path,
        records: collections.abc.Iterable[types.Record] = (),
    ) -> "Storage":
        """Return new storage for a replica; former storage is replaced."""
        storage = cls(folder)
        former = max(folder.glob(_SEGMENT_GLOB), default=None)
        if former is not None:
            storage._segment_number = _number_of(former)
        storage._start_segment((Base(0, 0, EMPTY_MEMBERSHIP, 0), *records))
        storage._replay_records((*records,))
        return storage

    @classmethod
    def load(cls, folder: pathlib.Path) -> "Storage":
        """Return the storage found in a folder.

        Raise `Failure` with `CorruptLog` where it is missing or damaged
        other than by a write that a crash cut off.
        """
        storage = cls(folder)
        storage._load_snapshot()
        storage._load_segment()
        storage._reconcile_snapshot()
        return storage

    def _load_snapshot(self) -> None:
        path = self._folder / _SNAPSHOT_NAME
        if not path.exists():
            return
        body = segments.decode_frame(path.read_bytes(), 0)
        if body is None:
            raise errors.Failure(errors.CorruptLog("the snapshot is damaged"))
        self.snapshot = _snapshot_decoder.decode(body)

    def _load_segment(self) -> None:
        paths = sorted(self._folder.glob(_SEGMENT_GLOB))
        if not paths:
            raise errors.Failure(errors.CorruptLog("the log is missing"))
        path = paths[-1]
        data = path.read_bytes()
        bodies, end = segments.read_frames(data, path.name)
        if not bodies:
            raise errors.Failure(
                errors.CorruptLog("the log has no valid first frame")
            )
        for body in bodies:
            self._replay_records(_decoder.decode(body))
        self._segment_number = _number_of(path)
        self._file = segments.open_append(path)
        if end < len(data):
            self._file.truncate(end)
            os.fsync(self._file.fileno())
        self.segment_bytes = end
        for old_path in paths[:-1]:
            old_path.unlink()

    def _replay_records(
        self, records: collections.abc.Iterable[_LogRecord]
    ) -> None:
        for record in records:
            match record:
                case Base():
                    self.log = logs.Log(
                        record.membership,
                        record.membership_index,
                        record.index,
                        record.term,
                    )
                case types.HardState():
                    self.hard_state = record
                case types.AppendEntries():
                    self.log.append(record.entries)
                case types.TruncateLog():
                    self.log.truncate(record.index)

    def _reconcile_snapshot(self) -> None:
        snapshot = self.snapshot
        base_index = self.log.base_index
        if base_index and (snapshot is None or snapshot.index < base_index):
            raise errors.Failure(
                errors.CorruptLog(
                    "the snapshot that the log starts from is missing"
                )
            )
        if snapshot is None:
            return
        if self.log.term_at(snapshot.index) != snapshot.term:
            self.log.reset(snapshot)
            self._start_after(snapshot)

    def _start_after(self, snapshot: types.Snapshot) -> None:
        """Start a segment whose first entry follows a snapshot."""
        self._start_segment(
            (
                Base(
                    snapshot.index,
                    snapshot.term,
                    snapshot.membership,
                    snapshot.membership_index,
                ),
                self.hard_state,
            )
        )

    def write(self, records: collections.abc.Sequence[types.Record]) -> None:
        """Write records in order and sync them; raise `OSError`.

        The log in memory has changed already, and changes while a thread
        writes.
        """
        batch: list[types.Record] = []
        for record in records:
            if isinstance(record, types.HardState):
                self.hard_state = record
            if not isinstance(record, types.Snapshot):
                batch.append(record)
                continue
            self._write_batch(batch)
            batch = []
            self._save_snapshot(record)
            self._start_after(record)
        self._write_batch(batch)

    def _write_batch(
        self, batch: collections.abc.Sequence[types.Record]
    ) -> None:
        if not batch:
            return
        data = segments.encode_frame(_encoder.encode(tuple(batch)))
        segments.append(self._file, data)
        os.fdatasync(self._file.fileno())
        self.segment_bytes += len(data)
        self.sync_count += 1

    def _save_snapshot(self, snapshot: types.Snapshot) -> None:
        segments.write_durably(
            self._folder / _SNAPSHOT_NAME,
            segments.encode_frame(_encoder.encode(snapshot)),
        )
        self.snapshot = snapshot

    def compact(
        self,
        snapshot: types.Snapshot,
        base: Base,
        hard_state: types.HardState,
        entries: tuple[types.Entry, ...],
    ) -> None:
        """Save a snapshot, then start a segment that begins at `base`."""
        self._save_snapshot(snapshot)
        self._start_segment((base, hard_state, types.AppendEntries(entries)))

    def rewrite(self) -> None:
        """Write hard state and log to a new segment; raise `OSError`."""
        log = self.log
        membership_index, membership = log.membership_at(log.base_index)
        self._start_segment(
            (
                Base(
                    log.base_index,
                    log.base_term,
                    membership,
                    membership_index,
                ),
                self.hard_state,
                types.AppendEntries(log.entries_after(log.base_index)),
            )
        )

    def _start_segment(
        self, records: collections.abc.Sequence[_LogRecord]
    ) -> None:
        self._segment_number += 1
        path = self._folder / f"wal-{self._segment_number:08}.log"
        data = segments.encode_frame(_encoder.encode(tuple(records)))
        segments.write_durably(path, data)
        self.close()
        self._file = segments.open_append(path)
        self.segment_bytes = len(data)
        for old_path in sorted(self._folder.glob(_SEGMENT_GLOB)):
            if old_path < path:
                old_path.unlink()

    def close(self) -> None:
        """Close the file; an error of the disk doesn't prevent it."""
        if self._file is not None:
            segments.close_file(self._file)
            self._file = None


def _number_of(segment: pathlib.Path) -> int:
    return int(segment.stem.removeprefix("wal-"))
