"""Routes, services and workspaces, published together by an operator.

A routing table is published as a whole under a version. The control group
stores the operator's document; each process parses it into these types.
"""

import collections
import functools
import random
import typing

import msgspec

from oriolejunction import ids
from oriolejunction import states

TableVersion = typing.NewType("TableVersion", int)
NO_TABLE = TableVersion(-1)
# Messages hold 64-bit integers, of which the highest stands for no version.
MAX_VERSION = TableVersion((1 << 63) - 2)


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services that share a route, by weight."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Which requests a path prefix of a host accepts, and their limits.

    `latency_goal_ms` is the time to the complete answer, for streams to the
    first event; `max_event_gap_ms` is the longest gap between events that is
    still on time. Rank 0 goes first.
    """

    name: str
    host: str
    prefix: str
    kind: states.RequestKind
    services: tuple[WeightedService, ...]
    timeout_ms: float
    latency_goal_ms: float
    rank: int
    max_attempts: int
    needs_key: bool = True
    resumable: bool = False
    max_event_gap_ms: float | None = None

    @property
    def retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is states.RequestKind.STREAM:
            return self.resumable
        return self.kind is states.RequestKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> ids.ServiceName:
        """Return a service, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [each.weight for each in self.services]
        return rng.choices(self.services, weights)[0].service


class EngineCapabilities(msgspec.Struct, frozen=True):
    """Features and capacity of each engine of a service."""

    slots: int
    kv_tokens: int
    tokens_per_event: int = 1
    stores_kv_copies: bool = False
    kv_copy_ttl_ms: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """Backend servers of one kind; `engine` is None for plain services."""

    name: ids.ServiceName
    max_connections: int
    engine: EngineCapabilities | None = None


class Workspace(msgspec.Struct, frozen=True):
    """A workspace and its keys; its rank overrides that of a route."""

    name: ids.WorkspaceId
    keys: tuple[str, ...]
    rank: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what a caller may send, in bytes and ms."""

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RoutingTable(msgspec.Struct, frozen=True, dict=True):
    """The routes, services, workspaces and limits of one version."""

    version: TableVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    @functools.cached_property
    def service_by_name(self) -> dict[ids.ServiceName, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def workspace_by_key(self) -> dict[str, Workspace]:
        """Return the workspaces by each of their keys."""
        return {key: each for each in self.workspaces for key in each.keys}

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """Return the routes of each host, the longest prefix first."""
        by_host = collections.defaultdict(list)
        for route in self.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return dict(by_host)

    @functools.cached_property
    def ranks_by_service(self) -> dict[ids.ServiceName, tuple[int, ...]]:
        """Return the ranks of each service's requests, the urgent first."""
        ranks = collections.defaultdict(set)
        own = {w.rank for w in self.workspaces if w.rank is not None}
        for route in self.routes:
            for each in route.services:
                ranks[each.service].add(route.rank)
                if route.needs_key:
                    ranks[each.service] |= own
        return {service: tuple(sorted(ranks[service])) for service in ranks}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def find_faults(table: RoutingTable) -> list[str]:
    """Return why a table can't be put in force; empty if it can."""
    faults = []
    service_names = set(table.service_by_name)
    prefixes = collections.Counter((r.host, r.prefix) for r in table.routes)
    faults += [
        f"several routes have host {host!r} and prefix {prefix!r}"
        for (host, prefix), count in prefixes.items()
        if count > 1
    ]
    for route in table.routes:
        faults += _route_faults(route, service_names)
    keys = collections.Counter(k for w in table.workspaces for k in w.keys)
    faults += ["a key of a workspace is listed more than once"] * any(
        count > 1 for count in keys.values()
    )
    return faults


def _route_faults(
    route: Route, service_names: set[ids.ServiceName]
) -> list[str]:
    faults = [
        f"route {route.name}: unknown service {each.service!r}"
        for each in route.services
        if each.service not in service_names
    ]
    if any(each.weight < 0 for each in route.services) or not sum(
        each.weight for each in route.services
    ):
        faults.append(f"route {route.name}: the weights add up to 0")
    if route.timeout_ms <= 0:
        faults.append(f"route {route.name}: the timeout must be above 0")
    return faults
