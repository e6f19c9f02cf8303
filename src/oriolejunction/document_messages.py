"""Messages that carry a versioned document to an instance, in pieces.

Documents are routing tables and configurations; versions only rise.
"""

import msgspec

NO_VERSION = -1


class PieceRequest(msgspec.Struct, frozen=True):
    """Ask a control replica for the next piece of a newer document.

    `held` is the version that the instance obeys. `offset` bytes of the
    document of `version` with `digest` have been received, from any replica.
    """

    held: int
    version: int = NO_VERSION
    digest: str = ""
    offset: int = 0


class DocumentPiece(msgspec.Struct, frozen=True):
    """A part of a document of `size` bytes that begins at `offset`.

    `data` is compressed by zlib on its own, so that the parts of one document
    may come from different replicas. It is empty if the replica has no
    document newer than the one held. `fresh` means that the leader reached
    the replica a moment ago.
    """

    fresh: bool
    version: int
    digest: str = ""
    size: int = 0
    offset: int = 0
    data: bytes = b""
