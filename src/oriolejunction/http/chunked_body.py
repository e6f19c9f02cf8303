"""Decodes the chunked body of an answer.

h11 makes three events and six checks of state for each chunk. Engines send
one chunk for each event of a stream, so that was a sixth of an entry
instance's processor time.
"""

import re

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*")
_TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\x00]*")
_LINE_END = b"\r\n"


class MalformedChunk(Exception):
    """The bytes are no chunked body."""


class ChunkedBody:
    """Bytes of one body that are received in pieces.

    Lines of sizes and trailers may take up to `max_line_bytes` in all.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self.is_complete = False
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        self._left_in_chunk = 0
        self._is_chunk_open = False
        self._trailer_bytes: int | None = None
        self._fault: MalformedChunk | None = None

    @property
    def has_unread(self) -> bool:
        """Return whether bytes remain that were not decoded."""
        return bool(self._buffer)

    @property
    def unread(self) -> bytes:
        """Return the bytes that were not decoded."""
        return bytes(self._buffer)

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def decode(self) -> bytes:
        """Return the content received since; raise `MalformedChunk`.

        What precedes a fault is returned first.
        """
        if self._fault is not None:
            raise self._fault
        if not self._buffer:
            return b""
        content: list[bytearray] = []
        try:
            self._decode_into(content)
        except MalformedChunk as fault:
            if not content:
                raise
            self._fault = fault
        return b"".join(content)

    def _decode_into(self, content: list[bytearray]) -> None:
        buffer = self._buffer
        position = 0
        while not self.is_complete:
            if self._left_in_chunk:
                piece = buffer[position : position + self._left_in_chunk]
                if not piece:
                    break
                content.append(piece)
                position += len(piece)
                self._left_in_chunk -= len(piece)
                continue
            end = buffer.find(_LINE_END, position)
            if self._is_chunk_open:
                # The line end that follows a chunk's content.
                if end != position:
                    if buffer[position : position + 2] not in (b"", b"\r"):
                        raise MalformedChunk("a chunk is longer than its size")
                    break
                position += len(_LINE_END)
                self._is_chunk_open = False
                continue
            if end < 0:
                self._check_line_length(len(buffer) - position)
                break
            self._read_line(bytes(buffer[position:end]))
            position = end + len(_LINE_END)
        del buffer[:position]

    def _read_line(self, line: bytes) -> None:
        """Process the line of a size or of a trailer."""
        if self._trailer_bytes is not None:
            self._trailer_bytes += len(line)
            self._check_line_length(self._trailer_bytes)
            if not line:
                self.is_complete = True
            elif not _TRAILER_LINE.fullmatch(line):
                raise MalformedChunk(f"illegal trailer {line[:40]!r}")
            return
        size = _SIZE_LINE.fullmatch(line)
        self._check_line_length(len(line))
        if size is None:
            raise MalformedChunk(f"illegal size of a chunk {line[:40]!r}")
        self._left_in_chunk = int(size[1], 16)
        self._is_chunk_open = bool(self._left_in_chunk)
        if not self._left_in_chunk:
            self._trailer_bytes = 0

    def _check_line_length(self, length: int) -> None:
        if length > self._max_line_bytes:
            raise MalformedChunk("a line is too long")
