"""Cuts the documents of routing tables into pieces for entry instances.

Load pattern: a version with thousands of routes is asked for by all instances
within the same tenth of a second, over links that streams nearly fill, and
the next one follows before the slowest have it. A piece is small, so that
urgent messages wait for one piece at most. The transfer of a version goes on
after a newer one came, unless that one is there sooner.
"""

import dataclasses
import zlib

import xxhash

from oriolejunction import routing_table
from oriolejunction import table_messages

# 17 ms of a link of 7.5 Mbit/s.
MAX_PIECE_BYTES = 16 << 10
# Bounds the time of compressing one piece to some ms.
MAX_DOCUMENT_PART_BYTES = 128 << 10
# Of the documents of earlier versions, whose transfers may go on.
MAX_EARLIER_BYTES = 8 << 20
_FASTEST = 1


@dataclasses.dataclass
class _Table:
    version: routing_table.TableVersion
    document: bytes
    digest: str
    data_by_offset: dict[int, bytes] = dataclasses.field(default_factory=dict)

    def data_at(self, offset: int) -> bytes:
        data = self.data_by_offset.get(offset)
        if data is None:
            data = _compress_part(self.document, offset)
            self.data_by_offset[offset] = data
        return data


class TablePieces:
    """The newest table of a control replica and some earlier ones."""

    def __init__(self) -> None:
        # In the order of their versions, the newest last.
        self._tables: dict[routing_table.TableVersion, _Table] = {}

    def add(
        self, version: routing_table.TableVersion, document: bytes
    ) -> None:
        """Add a table that is newer than all others."""
        self._tables[version] = _Table(version, document, digest_of(document))
        earlier = list(self._tables.values())[:-1]
        excess = sum(len(each.document) for each in earlier)
        excess -= MAX_EARLIER_BYTES
        for each in earlier:
            if excess <= 0:
                break
            excess -= len(each.document)
            del self._tables[each.version]

    def next_piece(
        self, request: table_messages.TableRequest, is_fresh: bool
    ) -> table_messages.TablePiece:
        """Return the piece that brings an instance to a newer table."""
        if not self._tables:
            return table_messages.TablePiece(is_fresh, routing_table.NO_TABLE)
        newest = next(reversed(self._tables.values()))
        if newest.version <= request.held:
            return table_messages.TablePiece(is_fresh, newest.version)
        table, offset = self._begun(request), request.offset
        if table is not newest and (
            table is None
            or len(newest.document) <= len(table.document) - offset
        ):
            table, offset = newest, 0
        return table_messages.TablePiece(
            is_fresh,
            table.version,
            table.digest,
            len(table.document),
            offset,
            table.data_at(offset),
        )

    def _begun(self, request: table_messages.TableRequest) -> _Table | None:
        """Return the table of which an instance has a part."""
        table = self._tables.get(request.version)
        if (
            table is None
            or table.digest != request.digest
            or not 0 < request.offset < len(table.document)
        ):
            return None
        return table


def digest_of(document: bytes) -> str:
    """Return a digest of the bytes of a document."""
    return xxhash.xxh3_128_hexdigest(document)


def _compress_part(document: bytes, offset: int) -> bytes:
    """Compress as much as fits into a piece."""
    part_bytes = MAX_DOCUMENT_PART_BYTES
    while True:
        data = zlib.compress(
            memoryview(document)[offset : offset + part_bytes], _FASTEST
        )
        if len(data) <= MAX_PIECE_BYTES or part_bytes <= MAX_PIECE_BYTES:
            return data
        part_bytes //= 2
