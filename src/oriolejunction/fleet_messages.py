"""Messages between entry instances and control replicas.

An entry instance reports its own load to a control replica, which relays the
report to the other replicas and answers a watch with the sums over all other
entry instances. A reply grows with the number of backend servers in use, so
that the traffic doesn't grow with the square of the number of instances.
"""

import msgspec

from oriolejunction import backends
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states

# Change number of a watcher that has received no reply yet.
NO_CHANGE_SEEN = -1
# Above the version of any table.
NO_DOCUMENTS = routing_table.TableVersion(routing_table.MAX_VERSION + 1)


class BackendLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load on a backend server: streams, KV cache and tokens to prefill."""

    backend_id: ids.BackendId
    streams: int
    kv_tokens: int
    prefill_tokens: int


class EngineSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Observed ms per event and per thousand prompt tokens."""

    backend_id: ids.BackendId
    event_ms: float
    prefill_ms_per_k: float


class SpeedSums(msgspec.Struct, frozen=True, array_like=True):
    """Sums of speeds in tenths of ms, each with the number of its values."""

    backend_id: ids.BackendId
    event: int
    event_count: int
    prefill_per_k: int
    prefill_per_k_count: int


class EngineCrash(msgspec.Struct, frozen=True, array_like=True):
    """An engine that was lost while it started a request.

    `retried` is set if the request was sent to it after another engine's
    crash by the same request was known.
    """

    fingerprint: ids.Fingerprint
    backend_id: ids.BackendId
    retried: bool = False


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """An engine that was lost as it began to answer on a prompt part.

    The part was in the prompt of the request with this fingerprint.
    """

    part: ids.PromptPart
    backend_id: ids.BackendId
    fingerprint: ids.Fingerprint


class NamedLimit(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Requests a second that a server takes from all instances together."""

    backend_id: ids.BackendId
    per_s: float


class LeavingServer(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a server that left `age_ms` ago; see `Backend`."""

    backend_id: ids.BackendId
    born: int
    age_ms: float


class ServiceUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests to a service and resends of them in the last window.

    `waiting` counts the requests that wait for a backend server now. Where
    the requests of a service differ in rank, `waiting_first` counts those of
    the most urgent rank among them, and `waiting_second` those of the next.
    """

    service: ids.ServiceName
    requests: int
    resends: int
    waiting: int = 0
    waiting_first: int = 0
    waiting_second: int = 0


class RolloutCount(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one route at one version of a service in a rollout.

    The counts rise within an incarnation of the entry instance. `number` is
    that of the rollout. `sent` counts every request sent to a server, `ended`
    those that no longer run, `failed` the answers that the server failed;
    `latencies` counts good answers by bucket of `rollout_latency`. The rows
    with the EVENT measure hold latencies only.
    """

    service: ids.ServiceName
    number: int
    software: ids.SoftwareVersion
    route: str
    measure: states.RolloutMeasure
    sent: int = 0
    ended: int = 0
    failed: int = 0
    latencies: tuple[int, ...] = ()


class RolloutOrder(msgspec.Struct, frozen=True, array_like=True):
    """The newest rollout of a service, for one entry instance.

    `allowance` is the number of requests in all that the instance's
    incarnation may have sent to the target since the order. It holds for
    `ttl_ms` from when the instance sent the watch request.
    """

    service: ids.ServiceName
    number: int
    target: ids.SoftwareVersion
    state: states.RolloutState
    phase: states.RolloutPhase
    allowance: int = 0
    ttl_ms: float = 0.0


class EntryReport(msgspec.Struct, frozen=True, array_like=True):
    """Load and observations of one entry instance.

    `boot` is the incarnation, within which `number` rises with each report.
    `suspects` are the backend servers that the instance itself found lost;
    `answered` are requests with crashes that an engine answered in full.
    `cleared_parts` are accused parts of prompts that an engine answered on; a
    request with all parts of one of the sets `blocked_parts` is refused.
    `limits` are those that servers name to the instance. `helpers` holds the
    address at which it serves requests of other instances, while it can.
    `rollout_counts` are those of the services that have had a rollout.
    `leaving` are the servers known to leave, whichever instance found it.
    `protocol` tells which orders of control replicas the instance can follow
    (`commands.PROTOCOL`).
    """

    instance: ids.InstanceId
    boot: str
    number: int
    loads: tuple[BackendLoad, ...] = ()
    suspects: tuple[ids.BackendId, ...] = ()
    crashes: tuple[EngineCrash, ...] = ()
    speeds: tuple[EngineSpeed, ...] = ()
    uses: tuple[ServiceUse, ...] = ()
    answered: tuple[ids.Fingerprint, ...] = ()
    part_crashes: tuple[PartCrash, ...] = ()
    cleared_parts: tuple[ids.PromptPart, ...] = ()
    blocked_parts: tuple[tuple[ids.PromptPart, ...], ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    helpers: tuple[str, ...] = ()
    rollout_counts: tuple[RolloutCount, ...] = ()
    leaving: tuple[LeavingServer, ...] = ()
    protocol: int = 0


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The software version that runs a stream from its first event on.

    `request_id` is that of the caller's request that begins the stream;
    `number` rises when its version changes before the first event. `ended`
    is set once the caller was sent the whole answer. `ambiguous` means that
    another version was recorded under the same number, so that the version
    of the events is not known.
    """

    request_id: ids.RequestId
    software: ids.SoftwareVersion
    number: int
    ended: bool = False
    ambiguous: bool = False


class ListingSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The platform's list and its age; `backends` is None if unchanged.

    A control leader numbers the lists that it reads in its `term`, so that
    one that was held up on its way is known as older; 0 for other readers.
    """

    age_ms: float
    digest: str
    backends: tuple[backends.Backend, ...] | None
    term: int = 0
    number: int = 0


class Acknowledgement(msgspec.Struct, frozen=True):
    """The receiver applied the message."""


class ReportRequest(msgspec.Struct, frozen=True):
    """Report of an entry instance to the control replica it watches."""

    share: EntryReport


class WatchRequest(msgspec.Struct, frozen=True):
    """Long poll for changes since `seen`.

    `seen` is the change number of the last reply from the replica's
    incarnation `boot`. An instance that takes sums over all instances, and
    subtracts its own share, sends its own incarnation as `entry_boot`.

    An instance that fetches tables itself is told of versions above
    `announced_version`, and sends NO_DOCUMENTS as `table_version`, so that
    replicas of earlier builds put no document into the reply either.
    """

    instance: ids.InstanceId
    table_version: routing_table.TableVersion
    listing_digest: str
    seen: int
    boot: str = ""
    entry_boot: str = ""
    announced_version: routing_table.TableVersion | None = None


class SessionMessage(msgspec.Struct, frozen=True, array_like=True):
    """A report, a watch or both, on the stream of an entry instance.

    The stream answers each watch with one reply, and reports with none.
    """

    report: EntryReport | None = None
    watch: WatchRequest | None = None


class RelayRequest(msgspec.Struct, frozen=True):
    """Reports and origins that one control replica relays to another.

    `log_index` is the sender's last one when it sends a listing as the
    leader: orders of rollouts up to it may explain versions on the list.
    """

    shares: tuple[EntryReport, ...]
    listing: ListingSnapshot | None = None
    origins: tuple[StreamOrigin, ...] = ()
    log_index: int = -1


class OriginsRequest(msgspec.Struct, frozen=True):
    """Origins of the streams that an entry instance begins."""

    origins: tuple[StreamOrigin, ...]


class OriginProposal(msgspec.Struct, frozen=True):
    """An origin that a majority of the control replicas is to have.

    The receiver records it and sends it to the others with `forwarded` set.
    """

    origin: StreamOrigin
    forwarded: bool = False


class OriginConfirmation(msgspec.Struct, frozen=True):
    """Whether a majority of the control replicas has an origin."""

    by_majority: bool = False


class OriginLookup(msgspec.Struct, frozen=True):
    """Ask for the origin of a stream.

    A control replica asks the others with `forwarded` set.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    forwarded: bool = False


class OriginReply(msgspec.Struct, frozen=True):
    """The origin, if known, and the software versions seen lately.

    `by_majority` means that a majority of the control replicas was asked, so
    that the origin is the newest confirmed one. `covered_ms` is the time for
    which the versions are complete. `lasting` means that they are complete
    whatever has restarted: all control replicas told those on their disks.
    """

    origin: StreamOrigin | None = None
    versions: tuple[ids.SoftwareVersion, ...] = ()
    by_majority: bool = False
    covered_ms: float = 0.0
    lasting: bool = False


class WatchReply(msgspec.Struct, frozen=True):
    """Changes that a control replica reports to an entry instance.

    `fresh` means that the leader reached the replica a moment ago. `loads`
    are sums over the other entry instances; `entries` counts all entry
    instances, the receiver included. `loads` and `speeds` hold what changed
    since the change number in the request, or everything if `whole` is set;
    `suspects`, `crashes`, `answered`, `limits` and what concerns prompt parts
    are complete whenever `seen` has changed. `uses` are sums over the other
    entry instances and always complete. `helpers` are addresses of some other
    instances that serve requests passed on to them, as of `seen`.
    `replicas` are the control replicas' peer addresses and availability
    zones. `rollouts` holds the newest rollout of each service that has had
    one, None where the deployment has none or the replica does not know.
    `leaving` is complete whenever `seen` has changed.

    With `own_number`, `loads`, `speed_sums` (instead of `speeds`) and `uses`
    are sums over all entry instances, the receiver included with its report
    of that number, or without any if it is 0. `has_observations` is then set
    if the reply holds `suspects` and all else but loads, speeds and uses;
    otherwise these are as in the reply before.
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
    crashes: tuple[EngineCrash, ...] = ()
    speeds: tuple[EngineSpeed, ...] = ()
    entries: int = 1
    uses: tuple[ServiceUse, ...] = ()
    replicas: tuple[tuple[str, str], ...] = ()
    answered: tuple[ids.Fingerprint, ...] = ()
    part_crashes: tuple[PartCrash, ...] = ()
    cleared_parts: tuple[ids.PromptPart, ...] = ()
    blocked_parts: tuple[tuple[ids.PromptPart, ...], ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    helpers: tuple[str, ...] = ()
    rollouts: tuple[RolloutOrder, ...] | None = None
    own_number: int | None = None
    speed_sums: tuple[SpeedSums, ...] = ()
    has_observations: bool = True
    leaving: tuple[LeavingServer, ...] = ()


class PublishRequest(msgspec.Struct, frozen=True):
    """Ask the leader to put a document in force."""

    version: routing_table.TableVersion
    document: bytes
    digest: str


class PublishReply(msgspec.Struct, frozen=True):
    """`refusal` is the reason; `unknown` means it may be in force or not."""

    done: bool = False
    refusal: str | None = None
    unknown: bool = False


class ReadRequest(msgspec.Struct, frozen=True):
    """Ask the leader for the newest document.

    The sender has the documents up to `held_version` itself.
    """

    held_version: routing_table.TableVersion = routing_table.NO_TABLE


class ReadReply(msgspec.Struct, frozen=True):
    """The newest document, None where the receiver can't confirm it.

    It is also None if the sender has it: the newest version is `confirmed`.
    """

    version: routing_table.TableVersion
    document: bytes | None
    confirmed: bool = False
