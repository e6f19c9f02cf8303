"""The identity of a replica: stored on its disk and lost with it."""

import pathlib
import secrets

import msgspec

from oriolejunction.consensus import segments
from oriolejunction.consensus import types
from oriolejunction import errors

FILE_NAME = "identity"


class Identity(msgspec.Struct, frozen=True):
    """Random id of this disk, and the group it belongs to, if any."""

    replica: types.ReplicaId
    group: types.GroupId | None = None


def new_identity() -> Identity:
    """Return a new random identity, without a group."""
    return Identity(types.ReplicaId(secrets.token_hex(8)))


def new_group_id() -> types.GroupId:
    """Return a random id for a new group."""
    return types.GroupId(secrets.token_hex(8))


def load(folder: pathlib.Path) -> Identity:
    """Return the identity in a folder; an empty folder gets a new one.

    Raise `Failure` with `CorruptLog` where it is damaged, or where it is
    missing although the folder contains a log.
    """
    path = folder / FILE_NAME
    if not path.exists():
        if any(folder.glob("wal-*.log")):
            raise errors.Failure(
                errors.CorruptLog(
                    f"{folder.name}: a log without an identity file"
                )
            )
        identity = new_identity()
        save(folder, identity)
        return identity
    body = segments.decode_frame(path.read_bytes(), 0)
    if body is None:
        raise errors.Failure(
            errors.CorruptLog(f"{folder.name}: the identity file is damaged")
        )
    return msgspec.msgpack.decode(body, type=Identity)


def save(folder: pathlib.Path, identity: Identity) -> None:
    """Store an identity durably."""
    body = msgspec.msgpack.encode(identity)
    segments.write_durably(folder / FILE_NAME, segments.encode_frame(body))
