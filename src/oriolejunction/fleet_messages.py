"""What entry instances and control replicas tell each other.

An entry instance sends its own share of the load to a control replica,
which hands it on, and is answered with what all others hold. It grows with
the backend servers in use, not with the square of the instances.
"""

import msgspec

from oriolejunction import backends
from oriolejunction import ids
from oriolejunction import routing_table

# The change number of a watcher that was told nothing yet.
NO_CHANGE_SEEN = -1


class BackendLoad(msgspec.Struct, frozen=True, array_like=True):
    """Work on a backend server: streams, their memory, prompts unread."""

    backend_id: ids.BackendId
    streams: int
    kv_tokens: int
    prefill_tokens: int


class EngineSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Observed ms for an event and for a thousand prompt tokens."""

    backend_id: ids.BackendId
    event_ms: float
    prefill_ms_per_k: float


class CrashCount(msgspec.Struct, frozen=True, array_like=True):
    """A request was the only one to run on engines that crashed."""

    fingerprint: ids.Fingerprint
    crashes: int


class EntryReport(msgspec.Struct, frozen=True, array_like=True):
    """What one entry instance does and believes.

    `boot` names the incarnation, `number` rises with each change in it.
    `suspects` are backend servers that it found lost by itself.
    """

    instance: ids.InstanceId
    boot: str
    number: int
    loads: tuple[BackendLoad, ...] = ()
    suspects: tuple[ids.BackendId, ...] = ()
    crashes: tuple[CrashCount, ...] = ()
    speeds: tuple[EngineSpeed, ...] = ()


class ListingSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The platform's list, and how long ago it was read."""

    age_ms: float
    digest: str
    backends: tuple[backends.Backend, ...] | None


class Acknowledgement(msgspec.Struct, frozen=True):
    """The receiver took it in."""


class ReportRequest(msgspec.Struct, frozen=True):
    """An entry instance's share, to the control replica it watches."""

    share: EntryReport


class RelayRequest(msgspec.Struct, frozen=True):
    """Shares that one control replica hands on to another."""

    shares: tuple[EntryReport, ...]
    listing: ListingSnapshot | None = None


class WatchRequest(msgspec.Struct, frozen=True):
    """Ask for what changed; held back until something did.

    `seen` is the change number of the last reply of the replica's
    incarnation `boot`.
    """

    instance: ids.InstanceId
    table_version: routing_table.TableVersion
    listing_digest: str
    seen: int
    boot: str = ""


class WatchReply(msgspec.Struct, frozen=True):
    """What a control replica knows.

    `fresh` tells that the leader reached it a moment ago. `loads` are the
    sums over the other entry instances, of which there are `entries` with
    the one that asked. `loads` and `speeds` are those that changed since
    the change number asked with, or all that there are where `whole`;
    `suspects` and `crashes` are all there are, where `seen` has moved.
    `replicas` are the control replicas' peer addresses and availability
    zones.
    """

    fresh: bool
    seen: int
    boot: str
    table_version: routing_table.TableVersion
    document: bytes | None = None
    listing: ListingSnapshot | None = None
    whole: bool = False
    loads: tuple[BackendLoad, ...] = ()
    suspects: tuple[ids.BackendId, ...] = ()
    crashes: tuple[CrashCount, ...] = ()
    speeds: tuple[EngineSpeed, ...] = ()
    entries: int = 1
    replicas: tuple[tuple[str, str], ...] = ()


class PublishRequest(msgspec.Struct, frozen=True):
    """Ask the leader to put a document in force."""

    version: routing_table.TableVersion
    document: bytes
    digest: str


class PublishReply(msgspec.Struct, frozen=True):
    """`refusal` is why it was refused; `unknown` without a clear end."""

    done: bool = False
    refusal: str | None = None
    unknown: bool = False


class ReadRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the newest document."""


class ReadReply(msgspec.Struct, frozen=True):
    """The document, None where the receiver cannot be sure of it."""

    version: routing_table.TableVersion
    document: bytes | None
