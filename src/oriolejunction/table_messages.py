"""Messages that carry a routing table to an entry instance, in pieces."""

import msgspec

from oriolejunction import routing_table


class TableRequest(msgspec.Struct, frozen=True):
    """Ask a control replica for the next piece of a newer table.

    `held` is the version that the instance obeys. `offset` bytes of the
    document of `version` with `digest` have been received, from any replica.
    """

    held: routing_table.TableVersion
    version: routing_table.TableVersion = routing_table.NO_TABLE
    digest: str = ""
    offset: int = 0


class TablePiece(msgspec.Struct, frozen=True):
    """A part of a document of `size` bytes that begins at `offset`.

    `data` is compressed by zlib on its own, so that the parts of one document
    may come from different replicas. It is empty if the replica has no table
    newer than the one held. `fresh` is that of `fleet_messages.WatchReply`.
    """

    fresh: bool
    version: routing_table.TableVersion
    digest: str = ""
    size: int = 0
    offset: int = 0
    data: bytes = b""
