"""Servers of two software versions, simulated for bench ``rollout``."""

import dataclasses
import math
import random

from oriolejunction import backends
from oriolejunction import ids
from oriolejunction.standin import version_faults

OLD, NEW = ids.SoftwareVersion("v1"), ids.SoftwareVersion("v2")
ZONES = tuple(map(ids.ZoneId, ("z0", "z1", "z2")))
# Most servers of a zone crash at once for 1.2 s, every 6 to 7 s.
CRASH_EVERY_MS = 6_500.0
CRASH_MS = 1_200.0
CRASH_PART = 0.92
# Event gap of an engine, and its prefill.
EVENT_MS = 40.0
PREFILL_MS = 700.0
SPREAD = 0.25


@dataclasses.dataclass(frozen=True)
class Load:
    """A service's routes with their requests a second, and its servers.

    `own_failing` is the part of answers that fail at either version.
    """

    service: ids.ServiceName
    per_s_by_route: dict[str, float]
    servers: int
    slots: int
    is_stream: bool
    instances: int
    mean_ms: float = 0.0
    own_failing_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


STREAMS = Load(
    service=ids.ServiceName("engines"),
    per_s_by_route={"chat": 17.0, "draft": 3.0},
    servers=27,
    slots=8,
    is_stream=True,
    instances=24,
)
CALLS = Load(
    service=ids.ServiceName("plain"),
    per_s_by_route={"look": 45.0, "order": 12.0},
    servers=6,
    slots=6,
    is_stream=False,
    instances=24,
    mean_ms=130.0,
    own_failing_by_route={"look": 0.004, "order": 0.14},
)


@dataclasses.dataclass
class Server:
    """One server, with the requests that it runs."""

    backend: backends.Backend
    started_ms: float
    is_up: bool = True
    running: dict[int, "object"] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class PlannedAnswer:
    """How a server answers a request, if nothing breaks it."""

    fails: bool
    is_bad: bool
    first_ms: float
    lasts_ms: float
    event_ms: float


def new_servers(
    load: Load, software: ids.SoftwareVersion, started_ms: float
) -> list[Server]:
    """Return the servers of a version, spread over the zones."""
    return [
        Server(
            backends.Backend(
                ids.BackendId(f"{software}-{number}"),
                load.service,
                f"10.0.0.{number}:80",
                ZONES[number % len(ZONES)],
                load.slots,
                software=software,
            ),
            started_ms,
        )
        for number in range(load.servers)
    ]


def plan_answer(
    load: Load,
    server: Server,
    route: str,
    fault: version_faults.VersionFault,
    now_ms: float,
    rng: random.Random,
) -> PlannedAnswer:
    """Return how a server answers a request that it has just got."""
    found = version_faults.AnswerFault()
    if server.backend.software == NEW:
        found = version_faults.draw(
            fault,
            now_ms - server.started_ms,
            len(server.running),
            route,
            rng,
        )
    fails = found.fails or (
        rng.random() < load.own_failing_by_route.get(route, 0.0)
    )
    spread = math.exp(rng.gauss(0.0, SPREAD)) * found.slowdown
    crowd = 1.0 + len(server.running) / load.slots
    if not load.is_stream:
        lasts_ms = load.mean_ms * spread * crowd
        return PlannedAnswer(fails, found.is_bad, lasts_ms, lasts_ms, 0.0)
    first_ms = PREFILL_MS * spread * crowd
    event_ms = EVENT_MS * found.slowdown * (0.8 + 0.4 * crowd / 2)
    lasts_ms = first_ms + rng.uniform(60, 200) * event_ms
    if fails:
        first_ms = lasts_ms = 60.0
    return PlannedAnswer(fails, found.is_bad, first_ms, lasts_ms, event_ms)
