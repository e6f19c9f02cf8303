"""Puts the pieces of a routing table or a configuration together.

Load pattern: the pieces come over a link that is nearly full, from control
replicas of which one or another is lost on the way. What has arrived is kept,
and only a single piece has a time limit, which grows while none arrives.
"""

import dataclasses
import zlib

from oriolejunction.controllers import document_pieces
from oriolejunction import document_messages

# A piece takes 0.14 s on a link of 3.75 Mbit/s that is three quarters full.
FIRST_TIMEOUT_MS = 1_000.0
MAX_TIMEOUT_MS = 16_000.0
# An operator's document has at most this size.
MAX_DOCUMENT_BYTES = 64 << 20


class PieceRejected(Exception):
    """A piece does not continue the document that has been received."""


@dataclasses.dataclass(frozen=True)
class ReceivedDocument:
    """A whole document, and what its transfer took."""

    version: int
    content: bytes
    pieces: int
    compressed_bytes: int


class DocumentTransfer:
    """The document that is being received, if any."""

    def __init__(self) -> None:
        self._failures = 0
        self._clear()

    def _clear(self) -> None:
        self.version = document_messages.NO_VERSION
        self.size = 0
        self._pieces = 0
        self._compressed_bytes = 0
        self._digest = ""
        self._received = bytearray()

    @property
    def received_bytes(self) -> int:
        """Return how much of the document has arrived."""
        return len(self._received)

    @property
    def timeout_ms(self) -> float:
        """Return the time limit of the next piece."""
        return min(MAX_TIMEOUT_MS, FIRST_TIMEOUT_MS * 2.0**self._failures)

    def next_request(self, held: int) -> document_messages.PieceRequest:
        """Return the request for the next piece."""
        if self.version <= held:
            self._clear()
        return document_messages.PieceRequest(
            held, self.version, self._digest, len(self._received)
        )

    def record_timeout(self) -> None:
        """Count a piece that did not arrive in time."""
        self._failures += 1

    def add(
        self, piece: document_messages.DocumentPiece
    ) -> ReceivedDocument | None:
        """Add a piece; return the document once it is complete.

        Raise `PieceRejected` for a piece that does not fit, after which the
        transfer begins anew.
        """
        try:
            return self._add(piece)
        except PieceRejected:
            self._clear()
            raise

    def _add(
        self, piece: document_messages.DocumentPiece
    ) -> ReceivedDocument | None:
        if (piece.version, piece.digest) != (self.version, self._digest):
            self._clear()
            self.version, self._digest = piece.version, piece.digest
            self.size = piece.size
        if piece.offset != len(self._received):
            raise PieceRejected(f"offset {piece.offset}")
        if not 0 < piece.size <= MAX_DOCUMENT_BYTES:
            raise PieceRejected(f"size {piece.size}")
        self._received += _decompress(piece.data)
        self._pieces += 1
        self._compressed_bytes += len(piece.data)
        self._failures = 0
        if len(self._received) < self.size:
            return None
        received = ReceivedDocument(
            self.version,
            bytes(self._received),
            self._pieces,
            self._compressed_bytes,
        )
        if document_pieces.digest_of(received.content) != self._digest:
            raise PieceRejected("another digest")
        self._clear()
        return received


def _decompress(data: bytes) -> bytes:
    """Return a part of a document, within the limit of its size."""
    decompress = zlib.decompressobj()
    try:
        part = decompress.decompress(
            data, document_pieces.MAX_DOCUMENT_PART_BYTES
        )
    except zlib.error as error:
        raise PieceRejected(str(error)) from error
    if not decompress.eof or not part:
        raise PieceRejected("compressed part is cut off or too long")
    return part
