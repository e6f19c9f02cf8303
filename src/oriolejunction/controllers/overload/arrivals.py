"""Which connections yield when clients hold too much of unfinished requests.

Load pattern: a crowd of connections, from one address or many, sends requests
that stop short of their end, or nothing, and stays. Ordinary callers send
little and end it within a few turns of the event loop. So the request that
has been arriving for longest yields, and a fresh one is taken in.
"""

import enum
import typing

import msgspec

Key = typing.TypeVar("Key", bound=typing.Hashable)


class ArrivalLimits(msgspec.Struct, frozen=True):
    """Limits of one listener on connections and unfinished requests.

    `max_bytes` is for the bytes of all unfinished requests together.
    """

    max_connections: int
    max_arriving: int
    max_bytes: int


class ConnectionUse(enum.IntEnum):
    """What a connection is used for; the lowest yields first."""

    CLOSING = 0
    UNUSED = 1
    ARRIVING = 2
    IDLE = 3
    # A whole request was received, and its answer is not complete. The client
    # does not read it, or does.
    UNREAD = 4
    ANSWERING = 5


class Arrivals(typing.Generic[Key]):
    """Unfinished requests, in the order in which they began."""

    def __init__(self, limits: ArrivalLimits) -> None:
        self._limits = limits
        self._bytes_by_key: dict[Key, int] = {}
        self._total_bytes = 0

    def __iter__(self) -> typing.Iterator[Key]:
        return iter(tuple(self._bytes_by_key))

    def update(self, key: Key, count: int) -> None:
        """Set the bytes held of a request; none if it has ended."""
        self._total_bytes += count - self._bytes_by_key.get(key, 0)
        if count:
            self._bytes_by_key[key] = count
        else:
            self._bytes_by_key.pop(key, None)

    def to_yield(self) -> Key | None:
        """Return the connection that has to yield now, None if none has."""
        is_exceeded = (
            len(self._bytes_by_key) > self._limits.max_arriving
            or self._total_bytes > self._limits.max_bytes
        )
        return next(iter(self._bytes_by_key)) if is_exceeded else None
