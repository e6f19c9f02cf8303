"""Cuts routing tables and configurations into pieces for instances.

Load pattern: a version with thousands of routes is asked for by all instances
within the same tenth of a second, over links that streams nearly fill, and
the next one follows before the slowest have it. A piece is small, so that
urgent messages wait for one piece at most. The transfer of a version goes on
after a newer one came, unless that one is there sooner.
"""

import dataclasses
import zlib

import xxhash

from oriolejunction import document_messages

# 17 ms of a link of 7.5 Mbit/s.
MAX_PIECE_BYTES = 16 << 10
# Bounds the time of compressing one piece to some ms.
MAX_DOCUMENT_PART_BYTES = 128 << 10
# Of the documents of earlier versions, whose transfers may go on.
MAX_EARLIER_BYTES = 8 << 20
# Of one document. Replicas of other builds may end their pieces elsewhere.
MAX_KEPT_PIECES = 4_096
_FASTEST = 1


@dataclasses.dataclass
class _Document:
    version: int
    content: bytes
    digest: str
    data_by_offset: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def data_at(self, offset: int) -> bytes:
        data = self.data_by_offset.get(offset)
        if data is None:
            data = _compress_part(self.content, offset)
            if len(self.data_by_offset) >= MAX_KEPT_PIECES:
                self.data_by_offset.clear()
            self.data_by_offset[offset] = data
        return data


class DocumentPieces:
    """The newest document of a control replica and some earlier ones."""

    def __init__(self) -> None:
        # In the order of their versions, the newest last.
        self._documents: dict[int, _Document] = {}

    def add(self, version: int, content: bytes) -> None:
        """Add a document that is newer than all others."""
        self._documents[version] = _Document(
            version, content, digest_of(content)
        )
        earlier = list(self._documents.values())[:-1]
        excess = sum(len(each.content) for each in earlier)
        excess -= MAX_EARLIER_BYTES
        for each in earlier:
            if excess <= 0:
                break
            excess -= len(each.content)
            del self._documents[each.version]

    def next_piece(
        self, request: document_messages.PieceRequest, is_fresh: bool
    ) -> document_messages.DocumentPiece:
        """Return the piece that brings an instance to a newer document."""
        if not self._documents:
            return document_messages.DocumentPiece(
                is_fresh, document_messages.NO_VERSION
            )
        newest = next(reversed(self._documents.values()))
        if newest.version <= request.held:
            return document_messages.DocumentPiece(is_fresh, newest.version)
        chosen, offset = self._begun(request), request.offset
        if chosen is not newest and (
            chosen is None
            or len(newest.content) <= len(chosen.content) - offset
        ):
            chosen, offset = newest, 0
        return document_messages.DocumentPiece(
            is_fresh,
            chosen.version,
            chosen.digest,
            len(chosen.content),
            offset,
            chosen.data_at(offset),
        )

    def _begun(
        self, request: document_messages.PieceRequest
    ) -> _Document | None:
        """Return the document of which an instance has a part."""
        chosen = self._documents.get(request.version)
        if (
            chosen is None
            or chosen.digest != request.digest
            or not 0 < request.offset < len(chosen.content)
        ):
            return None
        return chosen


def digest_of(content: bytes) -> str:
    """Return a digest of the bytes of a document."""
    return xxhash.xxh3_128_hexdigest(content)


def _compress_part(content: bytes, offset: int) -> bytes:
    """Compress as much as fits into a piece."""
    part_bytes = MAX_DOCUMENT_PART_BYTES
    while True:
        data = zlib.compress(
            memoryview(content)[offset : offset + part_bytes], _FASTEST
        )
        if len(data) <= MAX_PIECE_BYTES or part_bytes <= MAX_PIECE_BYTES:
            return data
        part_bytes //= 2
