"""The audit log on disk: append-only, checksummed, never deleted."""

import collections.abc
import os
import pathlib
import threading

import msgspec

from oriolejunction.consensus import segments
from oriolejunction import errors
from oriolejunction import messages

FILE_NAME = "audit.log"
ENTRIES_PER_OFFSET = 64
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.AuditEntry)


class AuditFile:
    """Entries in number order; only sparse offsets are kept in memory."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / FILE_NAME
        self._sparse_offsets: list[int] = []
        self.last_number = 0
        self._file = segments.open_append(self._path)
        # Frames, or the end of one, that the disk has not taken yet.
        self._unwritten = bytearray()
        self._writing = threading.Lock()
        self._end_offset = 0
        self._scan()

    def _scan(self) -> None:
        data = self._path.read_bytes()
        bodies, end = segments.read_frames(data, FILE_NAME)
        if end < len(data):
            self._file.truncate(end)
        for body in bodies:
            entry = _decoder.decode(body)
            self._require_next(entry)
            self._advance(entry, segments.HEADER_BYTES + len(body))

    def append_missing(
        self, entries: collections.abc.Sequence[messages.AuditEntry]
    ) -> None:
        """Append the entries that the file does not have yet.

        After an `OSError`, those that could not be written are kept for the
        next call, or for `sync`.
        """
        with self._writing:
            for entry in entries[_first_after(entries, self.last_number) :]:
                self._require_next(entry)
                data = segments.encode_frame(_encoder.encode(entry))
                self._unwritten += data
                self._advance(entry, len(data))
            self._write()

    def _write(self) -> None:
        while self._unwritten:
            count = self._file.write(self._unwritten)
            del self._unwritten[:count]

    def _require_next(self, entry: messages.AuditEntry) -> None:
        if entry.number != self.last_number + 1:
            raise errors.Failure(
                errors.CorruptLog(
                    f"{FILE_NAME}: entry {entry.number} follows"
                    f" entry {self.last_number}"
                )
            )

    def _advance(self, entry: messages.AuditEntry, size: int) -> None:
        if (entry.number - 1) % ENTRIES_PER_OFFSET == 0:
            self._sparse_offsets.append(self._end_offset)
        self._end_offset += size
        self.last_number = entry.number

    def read(self, start: int, limit: int) -> tuple[messages.AuditEntry, ...]:
        """Return up to `limit` entries after number `start`.

        Those that are not written yet are left out.
        """
        start = max(0, start)
        if start >= self.last_number or limit <= 0:
            return ()
        first_block = start // ENTRIES_PER_OFFSET
        end_block = (start + limit - 1) // ENTRIES_PER_OFFSET + 1
        offsets = self._sparse_offsets
        stop = (
            offsets[end_block]
            if end_block < len(offsets)
            else self._end_offset
        )
        with self._path.open("rb") as file:
            file.seek(offsets[first_block])
            data = file.read(stop - offsets[first_block])
        entries = _decode_entries(data)
        first = start - first_block * ENTRIES_PER_OFFSET
        return tuple(entries[first : first + limit])

    def sync(self) -> None:
        """Make all entries durable; raise `OSError`."""
        with self._writing:
            self._write()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Close the file; entries not synced are in the replica's log."""
        segments.close_file(self._file)


def _first_after(
    entries: collections.abc.Sequence[messages.AuditEntry], number: int
) -> int:
    if not entries:
        return 0
    return max(0, number - entries[0].number + 1)


def _decode_entries(data: bytes) -> list[messages.AuditEntry]:
    entries = []
    position = 0
    while (body := segments.decode_frame(data, position)) is not None:
        entries.append(_decoder.decode(body))
        position += segments.HEADER_BYTES + len(body)
    return entries
