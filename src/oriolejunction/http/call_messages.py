"""One call to a plain service, as it came from a caller."""

import dataclasses
import hashlib

_AMBIGUOUS_CHARACTERS = frozenset("\\;%")


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call; `path_and_query` is sent on as the caller encoded it."""

    method: str
    path: str
    path_and_query: str
    content_type: str
    key: str
    body: bytes
    void: bool = False

    def digest(self) -> str:
        """Return the digest by which a resend is recognised."""
        whole = hashlib.sha256()
        for part in (self.method, self.path_and_query):
            whole.update(part.encode() + b"\0")
        whole.update(self.body)
        return whole.hexdigest()


def lookup_call(path: str) -> ServiceCall:
    """Return the call that asks a service whether a key was run."""
    return ServiceCall("GET", path, path, "application/json", "", b"")


def is_canonical(path: str) -> bool:
    """Return whether a path means the same to every service.

    Empty or dot segments, backslashes and encoded characters are read
    differently by different servers, so that a path prefix could miss them.
    """
    segments = path[1:].split("/")
    if segments[-1] == "":
        segments.pop()
    return not any(
        segment in ("", ".", "..")
        or not _AMBIGUOUS_CHARACTERS.isdisjoint(segment)
        for segment in segments
    )
