"""Entry instances and outcomes of bench ``rollout``."""

import random

import msgspec

from oriolejunction import backends
from oriolejunction.bench import rollout_servers as servers
from oriolejunction import clock as clocks
from oriolejunction.controllers import rollout_gate
from oriolejunction.controllers import rollout_use
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import node_settings
from oriolejunction.standin import version_faults
from oriolejunction import states

BOUNDS = node_settings.RolloutBounds(
    exposure_share=0.1, exposure_tolerance=50, rollback_ms=5_000
)
MAX_LIST_LAG_MS = 800.0
# Instances know the demand of their routes from this time of traffic.
KNOWN_TRAFFIC_S = 40.0


class Setup(msgspec.Struct, frozen=True):
    """One rollout; faults that the version does not cause are optional."""

    load: servers.Load
    fault: version_faults.VersionFault
    has_crashes: bool
    seed: int
    duration_ms: float = 12_000.0
    loses_leader: bool = False
    restarts_instances: bool = False


class Outcome(msgspec.Struct):
    """What one rollout did; times are in ms since the order."""

    requests: int = 0
    exposed: int = 0
    bad: int = 0
    bad_50_ms: float | None = None
    last_target_ms: float | None = None
    ended_ms: float | None = None
    state: states.RolloutState = states.RolloutState.IN_PROGRESS
    broken: int = 0
    mixed: int = 0
    after_end: int = 0


class Request:
    """A caller's request on its way over servers."""

    def __init__(self, use: rollout_use.RolloutUse) -> None:
        self.use = use
        self.tries = 0
        self.software: ids.SoftwareVersion | None = None
        use.begun_at = lambda: self.software


class Instance:
    """One entry instance: its gate and what it knows of servers."""

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, name: str, boot: str
    ) -> None:
        self.name = ids.InstanceId(name)
        self.boot = boot
        self.is_lost = False
        self._reports = 0
        self.suspect_until_ms: dict[ids.BackendId, float] = {}
        self.list_lag_ms = rng.uniform(100.0, MAX_LIST_LAG_MS)
        self.gate = rollout_gate.RolloutGate(
            clock, BOUNDS.exposure_share, rng.getrandbits(32)
        )
        self.listed: dict[ids.BackendId, backends.Backend] = {}

    def know_demand(self, load: servers.Load) -> None:
        """Let the instance know the demand of its routes."""
        for route, per_s in load.per_s_by_route.items():
            for _ in range(round(KNOWN_TRAFFIC_S * per_s / load.instances)):
                self.gate.open(load.service, route, load.is_stream)

    def report(self) -> fm.EntryReport:
        """Return a report with the counts of rollouts only."""
        self._reports += 1
        return fm.EntryReport(
            self.name,
            self.boot,
            self._reports,
            (),
            (),
            rollout_counts=self.gate.counts.messages(),
        )
