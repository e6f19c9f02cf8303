"""The operator's configuration, read into a routing table.

Unknown fields are ignored. A document that cannot be read in full, or that
puts an unfit table in force, is refused.
"""

import hashlib

import msgspec

from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str = msgspec.field(name="pathPrefix")
    # What may be repeated follows from the kind, not from names.
    kind: str
    timeout_ms: float = msgspec.field(name="timeoutMs")
    service: str | None = None
    traffic_split: list[_WeightedService] | None = msgspec.field(
        name="trafficSplit", default=None
    )
    target_latency_ms: float = msgspec.field(
        name="targetLatencyMs", default=0.0
    )
    # Here "priority" is the rank among routes, 0 first.
    priority: int = 5
    max_attempts: int = msgspec.field(name="maxAttempts", default=1)
    anonymous: bool = False
    resumable: bool = False
    target_gap_ms: float | None = msgspec.field(
        name="targetGapMs", default=None
    )


class _Engine(msgspec.Struct):
    slots: int = 0
    kv_cache_tokens: int = msgspec.field(name="kvCacheTokens", default=0)
    # Tokens in one event of a stream.
    stride: int = 1
    backups: bool = False
    handle_ttl_s: float = msgspec.field(name="handleTtlS", default=0.0)


class _Service(msgspec.Struct):
    name: str
    connection_limit: int = msgspec.field(name="connectionLimit", default=0)
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = msgspec.field(name="maxHeaderBytes")
    max_body_bytes: int = msgspec.field(name="maxBodyBytes")
    header_timeout_ms: float = msgspec.field(name="headerTimeoutMs")
    idle_timeout_ms: float = msgspec.field(name="idleTimeoutMs")


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = msgspec.field(name="apiKeys")
    priority: int | None = None


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


_KIND_BY_NAME = {
    "streaming": states.RequestKind.STREAM,
    "idempotent": states.RequestKind.IDEMPOTENT,
    "non_idempotent": states.RequestKind.NEVER_TWICE,
}
_decode = msgspec.json.Decoder(_Document).decode


def read_table(document: bytes) -> routing_table.RoutingTable:
    """Return the table of a document.

    Raise `Failure` with `UnfitTable`, whose message lists the faults.
    """
    try:
        read = _decode(document)
        table = _convert_table(read)
    except (msgspec.DecodeError, ValueError) as error:
        raise errors.Failure(errors.UnfitTable(str(error)))
    faults = routing_table.find_faults(table)
    if faults:
        raise errors.Failure(errors.UnfitTable("; ".join(faults)))
    return table


def digest(document: bytes) -> str:
    """Return a digest of the content, whatever the order of its fields."""
    content = msgspec.json.decode(document)
    canonical = msgspec.json.encode(content, order="sorted")
    return hashlib.sha256(canonical).hexdigest()


def _convert_table(read: _Document) -> routing_table.RoutingTable:
    keyed = read.tenants is not None
    limits = routing_table.CallerLimits()
    if read.limits is not None:
        limits = routing_table.CallerLimits(
            read.limits.max_header_bytes,
            read.limits.max_body_bytes,
            read.limits.header_timeout_ms,
            read.limits.idle_timeout_ms,
        )
    return routing_table.RoutingTable(
        version=routing_table.TableVersion(read.version),
        routes=tuple(_convert_route(each, keyed) for each in read.routes),
        services=tuple(_convert_service(each) for each in read.services),
        workspaces=tuple(
            routing_table.Workspace(
                ids.WorkspaceId(each.name),
                tuple(each.api_keys),
                each.priority,
            )
            for each in read.tenants or ()
        ),
        limits=limits,
    )


def _convert_route(read: _Route, keyed: bool) -> routing_table.Route:
    if read.kind not in _KIND_BY_NAME:
        raise ValueError(f"route {read.name}: kind {read.kind!r} is not known")
    if read.traffic_split is None and read.service is None:
        raise ValueError(f"route {read.name}: no service")
    if not (
        read.path_prefix.startswith("/") and read.path_prefix.endswith("/")
    ):
        raise ValueError(f"route {read.name}: prefix {read.path_prefix!r}")
    split = read.traffic_split or [_WeightedService(read.service, 1.0)]
    return routing_table.Route(
        name=read.name,
        host=read.host.lower(),
        prefix=read.path_prefix,
        kind=_KIND_BY_NAME[read.kind],
        services=tuple(
            routing_table.WeightedService(
                ids.ServiceName(each.service), each.weight
            )
            for each in split
        ),
        timeout_ms=read.timeout_ms,
        latency_goal_ms=read.target_latency_ms,
        rank=read.priority,
        max_attempts=max(1, read.max_attempts),
        needs_key=keyed and not read.anonymous,
        resumable=read.resumable,
        max_event_gap_ms=read.target_gap_ms,
    )


def _convert_service(read: _Service) -> routing_table.Service:
    engine = None
    if read.engine is not None:
        engine = routing_table.EngineCapabilities(
            slots=read.engine.slots,
            kv_tokens=read.engine.kv_cache_tokens,
            tokens_per_event=max(1, read.engine.stride),
            stores_kv_copies=read.engine.backups,
            kv_copy_ttl_ms=read.engine.handle_ttl_s * 1e3,
        )
    return routing_table.Service(
        ids.ServiceName(read.name), read.connection_limit, engine
    )
