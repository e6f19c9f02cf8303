"""The identity of a replica: stored on its disk and lost with it."""

import pathlib
import secrets

import msgspec

from oriolejunction.consensus import segments
from oriolejunction.consensus import types
from oriolejunction import errors

FILE_NAME = "identity"


class Identity(msgspec.Struct, frozen=True):
    """Random id of this disk, and the group it belongs to, if any.

    `initial_voters` are the addresses of the replicas that form the group. A
    disk has them if it dates from the first start of the deployment, and
    until it belongs to a group.
    """

    replica: types.ReplicaId
    group: types.GroupId | None = None
    initial_voters: tuple[str, ...] = ()


def new_identity(initial_voters: tuple[str, ...] = ()) -> Identity:
    """Return a new random identity, without a group."""
    return Identity(
        types.ReplicaId(secrets.token_hex(8)), initial_voters=initial_voters
    )


def new_group_id() -> types.GroupId:
    """Return a random id for a new group."""
    return types.GroupId(secrets.token_hex(8))


def load(
    folder: pathlib.Path, initial_voters: tuple[str, ...] = ()
) -> Identity:
    """Return the identity in a folder; an empty folder gets a new one.

    `initial_voters` is given at the first start of the deployment only. It is
    stored, since this process may end before the group is formed.

    Raise `Failure` with `CorruptLog` where the identity is damaged, or where
    it is missing although the folder contains a log.
    """
    path = folder / FILE_NAME
    if not path.exists():
        if any(folder.glob("wal-*.log")):
            raise errors.Failure(
                errors.CorruptLog(
                    f"{folder.name}: a log without an identity file"
                )
            )
        identity = new_identity(initial_voters)
        save(folder, identity)
        return identity
    body = segments.decode_frame(path.read_bytes(), 0)
    if body is None:
        raise errors.Failure(
            errors.CorruptLog(f"{folder.name}: the identity file is damaged")
        )
    identity = msgspec.msgpack.decode(body, type=Identity)
    is_unmarked = identity.group is None and not identity.initial_voters
    if initial_voters and is_unmarked:
        identity = msgspec.structs.replace(
            identity, initial_voters=initial_voters
        )
        save(folder, identity)
    return identity


def save(folder: pathlib.Path, identity: Identity) -> None:
    """Store an identity durably."""
    body = msgspec.msgpack.encode(identity)
    segments.write_durably(folder / FILE_NAME, segments.encode_frame(body))
