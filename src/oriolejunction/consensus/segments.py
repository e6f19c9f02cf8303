"""Checksummed frames for append-only files, and durable file writes."""

import io
import os
import pathlib
import zlib

import structlog

from oriolejunction import errors

HEADER_BYTES = 8
_log = structlog.get_logger(__name__)


def encode_frame(body: bytes) -> bytes:
    """Return a body preceded by its length and checksum."""
    checksum = zlib.crc32(body)
    return len(body).to_bytes(4, "big") + checksum.to_bytes(4, "big") + body


def decode_frame(data: bytes, position: int) -> bytes | None:
    """Return the body of the frame at `position`, None if it is invalid."""
    start = position + HEADER_BYTES
    if start > len(data):
        return None
    length = int.from_bytes(data[position : position + 4], "big")
    # Checked before the copy: `read_frames` tries each byte of a damaged end.
    if not 0 < length <= len(data) - start:
        return None
    checksum = int.from_bytes(data[position + 4 : start], "big")
    body = data[start : start + length]
    return body if zlib.crc32(body) == checksum else None


def read_frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Return the bodies of the valid frames, and the offset after them.

    The rest is a write that a crash cut off: a frame is written only after
    the one before it is synced. Raise `Failure` with `CorruptLog` where a
    valid frame follows the damage.
    """
    bodies = []
    position = 0
    while (body := decode_frame(data, position)) is not None:
        bodies.append(body)
        position += HEADER_BYTES + len(body)
    for later in range(position + 1, len(data) - HEADER_BYTES):
        if decode_frame(data, later) is not None:
            raise errors.Failure(
                errors.CorruptLog(
                    f"{name}: damaged at byte {position},"
                    f" but byte {later} starts a valid frame"
                )
            )
    return bodies, position


def open_append(path: pathlib.Path) -> io.FileIO:
    """Open a file to append to, without a buffer.

    Closing a buffered file writes what a failed write left in its buffer.
    """
    return path.open("ab", buffering=0)


def append(file: io.FileIO, data: bytes) -> None:
    """Write all data; raise `OSError`, after which a part may be written."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


def close_file(file: io.FileIO) -> None:
    """Close a file; log an `OSError`, after which it is closed too."""
    try:
        file.close()
    except OSError as error:
        _log.warning("file closed with an error", why=repr(error))


def write_durably(path: pathlib.Path, data: bytes) -> None:
    """Replace a file so that a crash leaves the old one or the new one."""
    temporary = path.with_suffix(path.suffix + ".tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(folder: pathlib.Path) -> None:
    """Make the file names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
