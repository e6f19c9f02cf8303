"""A call to a plain service, as received from its caller."""

import dataclasses
import hashlib

_AMBIGUOUS_CHARACTERS = frozenset("\\;%")


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call; `path_and_query` keeps the encoding of the caller.

    `void` asks to void the key instead of running the call.
    """

    method: str
    path: str
    path_and_query: str
    content_type: str
    key: str
    body: bytes
    void: bool = False

    def digest(self) -> str:
        """Return a digest that is equal for each retry of the call."""
        hasher = hashlib.sha256()
        for part in (self.method, self.path_and_query):
            hasher.update(part.encode() + b"\0")
        hasher.update(self.body)
        return hasher.hexdigest()


def lookup_call(path: str) -> ServiceCall:
    """Return a call that asks a service whether it ran a key's call."""
    return ServiceCall("GET", path, path, "application/json", "", b"")


def is_canonical(path: str) -> bool:
    """Return whether every server reads a path in the same way.

    Servers differ on empty and dot segments, backslashes, semicolons and
    encoded characters, so such a path may escape the path prefix that marks
    a call to run at most once.
    """
    segments = path[1:].split("/")
    if segments[-1] == "":
        segments.pop()
    return not any(
        segment in ("", ".", "..")
        or not _AMBIGUOUS_CHARACTERS.isdisjoint(segment)
        for segment in segments
    )
