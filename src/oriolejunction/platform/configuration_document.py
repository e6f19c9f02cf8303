"""Parses the operator's configuration document into a routing table.

Unknown fields are ignored. A document that can't be parsed in full, or whose
table can't be put in force, is refused.
"""

import hashlib
import typing

import msgspec

from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states
from oriolejunction import tolerant_json

_Count = tolerant_json.Count
_Amount = tolerant_json.Amount
_Rank = typing.Annotated[int, msgspec.Meta(ge=-(10**6), le=10**6)]
_Version = typing.Annotated[
    int, msgspec.Meta(ge=0, le=routing_table.MAX_VERSION)
]


class _WeightedService(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    # Only the kind decides whether requests may be retried, never a name.
    kind: str
    timeout_ms: _Amount
    service: str | None = None
    traffic_split: list[_WeightedService] | None = None
    target_latency_ms: _Amount = 0.0
    # Here "priority" is the rank among routes, 0 first.
    priority: _Rank = 5
    max_attempts: _Count = 1
    anonymous: bool = False
    resumable: bool = False
    target_gap_ms: _Amount | None = None


class _Engine(msgspec.Struct, rename="camel"):
    slots: _Count = 0
    kv_cache_tokens: _Count = 0
    # Tokens in one event of a stream.
    stride: _Count = 1
    backups: bool = False
    handle_ttl_s: _Amount = 0.0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    connection_limit: _Count = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_ms: _Amount
    idle_timeout_ms: _Amount


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str]
    priority: _Rank | None = None


class _Document(msgspec.Struct):
    version: _Version
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

    Raise `Failure` with `UnfitTable`, whose message lists the faults, or with
    `MalformedRequest` for values nested too deeply.
    """
    try:
        decoded = _decode(document)
        table = _convert_table(decoded)
    except RecursionError:
        raise errors.Failure(errors.MalformedRequest("nested too deeply"))
    except ValueError as error:
        raise errors.Failure(errors.UnfitTable(str(error)))
    faults = routing_table.find_faults(table)
    if faults:
        raise errors.Failure(errors.UnfitTable("; ".join(faults)))
    return table


def digest(document: bytes) -> str:
    """Return a digest of the content that ignores the order of fields.

    The order counts if an unknown field holds what can't be decoded.
    """
    try:
        content = msgspec.json.decode(document)
        canonical = msgspec.json.encode(content, order="sorted")
    except tolerant_json.DECODE_ERRORS:
        canonical = document
    return hashlib.sha256(canonical).hexdigest()


def _convert_table(document: _Document) -> routing_table.RoutingTable:
    needs_keys = document.tenants is not None
    limits = routing_table.CallerLimits()
    if document.limits is not None:
        limits = routing_table.CallerLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms,
            document.limits.idle_timeout_ms,
        )
    return routing_table.RoutingTable(
        version=routing_table.TableVersion(document.version),
        routes=tuple(
            _convert_route(each, needs_keys) for each in document.routes
        ),
        services=tuple(_convert_service(each) for each in document.services),
        workspaces=tuple(
            routing_table.Workspace(
                ids.WorkspaceId(each.name),
                tuple(each.api_keys),
                each.priority,
            )
            for each in document.tenants or ()
        ),
        limits=limits,
    )


def _convert_route(route: _Route, needs_keys: bool) -> routing_table.Route:
    if route.kind not in _KIND_BY_NAME:
        raise ValueError(f"route {route.name}: unknown kind {route.kind!r}")
    if route.traffic_split is None and route.service is None:
        raise ValueError(
            f"route {route.name}: neither service nor traffic split"
        )
    if not (
        route.path_prefix.startswith("/") and route.path_prefix.endswith("/")
    ):
        raise ValueError(
            f"route {route.name}: the prefix must start and end with '/', not "
            f"{route.path_prefix!r}"
        )
    split = route.traffic_split or [_WeightedService(route.service, 1.0)]
    return routing_table.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=_KIND_BY_NAME[route.kind],
        services=tuple(
            routing_table.WeightedService(
                ids.ServiceName(each.service), each.weight
            )
            for each in split
        ),
        timeout_ms=route.timeout_ms,
        latency_goal_ms=route.target_latency_ms,
        rank=route.priority,
        max_attempts=max(1, route.max_attempts),
        needs_key=needs_keys and not route.anonymous,
        resumable=route.resumable,
        max_event_gap_ms=route.target_gap_ms,
    )


def _convert_service(service: _Service) -> routing_table.Service:
    engine = None
    if service.engine is not None:
        engine = routing_table.EngineCapabilities(
            slots=service.engine.slots,
            kv_tokens=service.engine.kv_cache_tokens,
            tokens_per_event=max(1, service.engine.stride),
            stores_kv_copies=service.engine.backups,
            kv_copy_ttl_ms=service.engine.handle_ttl_s * 1e3,
        )
    return routing_table.Service(
        ids.ServiceName(service.name), service.connection_limit, engine
    )
