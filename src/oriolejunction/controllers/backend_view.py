"""The backend servers of a service, as one instance knows them now.

Joins the platform's list, the work of this instance and of the others, the
observed speeds and the suspicions into candidates for placement.
"""

import collections.abc
import math
import random

import msgspec

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction.controllers import backend_health
from oriolejunction.controllers import cached_parts
from oriolejunction.controllers import engine_speeds
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import call_choice
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import reported_loads
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers import rollout_gate
from oriolejunction.controllers import rollout_use
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import routing_table

# A server that fails all its answers counts as having this many more calls.
FAILURE_PENALTY_CALLS = 4.0
JITTER_CALLS = 0.2
CROSS_ZONE_CALLS = 0.4
# Streams on an engine that no instance reports count at this rate less.
UNKNOWN_STREAMS_DECAY_MS = 1_000.0
_IDLE = fm.BackendLoad(ids.BackendId(""), 0, 0, 0)


class BackendView(msgspec.Struct, frozen=True):
    """All data used to choose among backend servers."""

    blackboard: blackboards.Blackboard
    own_loads: load_table.LoadTable
    speeds: engine_speeds.EngineSpeeds
    health: backend_health.BackendHealth
    intake: server_intake.ServerIntake
    reported: reported_loads.ReportedLoads
    zone: ids.ZoneId
    rng: random.Random
    rollouts: rollout_gate.RolloutGate
    # None where the reuse of cached prompts is not asked for.
    cached: cached_parts.CachedParts | None = None

    def listed(self, service: ids.ServiceName) -> list[backends.Backend]:
        """Return the backend servers of a service that aren't leaving."""
        return [
            each
            for each in self.blackboard.backends.read().available_for(service)
            if not self.intake.departures.has_left(each.backend_id)
        ]

    def available(
        self,
        use: rollout_use.RolloutUse,
        excluded: frozenset[ids.BackendId] = frozenset(),
    ) -> list[list[backends.Backend]]:
        """Return the backend servers that may receive a request.

        Those of the first list are preferred, by the rollout of its service.
        """
        return self.rollouts.tiers(use, self._open(use.service, excluded))

    def _full_ms(self, backend_id: ids.BackendId) -> float:
        """Return for how long a server has no capacity, 0 if it has some."""
        if not self.reported.are_known:
            return 0.0
        return self.reported.full_ms(
            backend_id, self.own_loads.calls(backend_id)
        )

    def limited_wait_ms(
        self, use: rollout_use.RolloutUse, ahead: int
    ) -> tuple[float, float]:
        """Return the wait that limits and pauses of servers cause.

        It is that behind `ahead` other requests, with the time between two;
        both are 0 if any server of the service takes requests now.
        """
        if not self.intake.is_restricted:
            return 0.0, 0.0
        tiers = self.rollouts.tiers(use, self._healthy(use.service))
        return self.intake.expected_wait_ms(
            [each.backend_id for tier in tiers for each in tier], ahead
        )

    def full_wait_ms(self, use: rollout_use.RolloutUse) -> float:
        """Return for how long all servers for a call have no capacity."""
        if not self.reported.are_known:
            return 0.0
        tiers = self.rollouts.tiers(use, self._healthy(use.service))
        return min(
            (
                self._full_ms(each.backend_id)
                for tier in tiers
                for each in tier
                if self.intake.allows(each.backend_id)
            ),
            default=0.0,
        )

    def _open(
        self, service: ids.ServiceName, excluded: frozenset[ids.BackendId]
    ) -> list[backends.Backend]:
        return [
            each
            for each in self._healthy(service, excluded)
            if self.intake.allows(each.backend_id)
            and not self._full_ms(each.backend_id)
        ]

    def _healthy(
        self,
        service: ids.ServiceName,
        excluded: frozenset[ids.BackendId] = frozenset(),
    ) -> list[backends.Backend]:
        reported = self.blackboard.fleet.read().suspects
        return [
            each
            for each in self.listed(service)
            if each.backend_id not in excluded
            and not self.health.is_suspect(each.backend_id, reported)
        ]

    def engine_candidates(
        self,
        service: routing_table.Service,
        use: rollout_use.RolloutUse,
        excluded: frozenset[ids.BackendId] = frozenset(),
        software: ids.SoftwareVersion | None = None,
        parts: cached_parts.Parts = (),
    ) -> collections.abc.Iterator[list[placement.Candidate]]:
        """Yield the engines of a service with all their known work.

        Those of the first list are preferred. With `software`, yield only
        those of that software version. `parts` are those of the prompt.
        """
        candidate = self._candidate_maker(service, parts)
        for servers in self.available(use, excluded):
            yield [
                candidate(each)
                for each in servers
                if software is None or each.software == software
            ]

    def copy_candidates(
        self,
        service: routing_table.Service,
        excluded: frozenset[ids.BackendId] = frozenset(),
    ) -> list[placement.Candidate]:
        """Return the engines that may store a KV cache copy."""
        candidate = self._candidate_maker(service)
        return [candidate(each) for each in self._open(service.name, excluded)]

    def _candidate_maker(
        self, service: routing_table.Service, parts: cached_parts.Parts = ()
    ) -> collections.abc.Callable[[backends.Backend], placement.Candidate]:
        own = self.own_loads.loads()
        fleet = self.blackboard.fleet.read()
        failing = placement.failing_zones(
            self.listed(service.name),
            fleet.suspects | set(self.health.suspects()),
        )
        return lambda each: self._candidate(
            each, service.engine, own, fleet.load_by_id, failing, parts
        )

    def _candidate(
        self,
        backend: backends.Backend,
        capabilities: routing_table.EngineCapabilities,
        own: dict[ids.BackendId, fm.BackendLoad],
        others: dict[ids.BackendId, fm.BackendLoad],
        failing: frozenset[ids.ZoneId],
        parts: cached_parts.Parts,
    ) -> placement.Candidate:
        mine = own.get(backend.backend_id, _IDLE)
        theirs = others.get(backend.backend_id, _IDLE)
        streams = mine.streams + theirs.streams
        event_ms = self.speeds.event_ms(backend.backend_id)
        prefill_ms_per_k = self.speeds.prefill_ms_per_k(backend.backend_id)
        load = self.reported.estimate(backend.backend_id)
        if load is not None:
            # Streams that no instance reports, such as abandoned ones, end
            # soon.
            unknown = max(0.0, load.others - streams)
            streams += round(
                unknown * math.exp(-load.age_ms / UNKNOWN_STREAMS_DECAY_MS)
            )
            if not self.speeds.is_fresh(backend.backend_id):
                event_ms *= load.slowdown
                prefill_ms_per_k *= load.slowdown
        kv_tokens = mine.kv_tokens + theirs.kv_tokens
        cached_tokens = 0.0
        if self.cached is not None and parts:
            cached_tokens = self.cached.expected_tokens(
                backend, parts, _room(capabilities.kv_tokens, kv_tokens)
            )
        return placement.Candidate(
            backend=backend,
            streams=streams,
            kv_tokens=kv_tokens,
            prefill_tokens=mine.prefill_tokens + theirs.prefill_tokens,
            kv_limit=capabilities.kv_tokens,
            slots=capabilities.slots,
            event_ms=event_ms,
            prefill_ms_per_k=prefill_ms_per_k,
            zone_failing=backend.zone in failing,
            cached_tokens=cached_tokens,
        )

    def record_sent(
        self, candidate: placement.Candidate, parts: cached_parts.Parts
    ) -> None:
        """Record that the prompt with these parts goes to an engine."""
        if self.cached is not None:
            self.cached.record_sent(
                candidate.backend,
                parts,
                _room(candidate.kv_limit, candidate.kv_tokens),
            )

    def others_prefill_tokens(self, backend_id: ids.BackendId) -> int:
        """Return the tokens that others have yet to prefill on an engine."""
        load = self.blackboard.fleet.read().load_by_id.get(backend_id)
        return load.prefill_tokens if load is not None else 0

    def choose_for_call(
        self,
        use: rollout_use.RolloutUse,
        excluded: frozenset[ids.BackendId] = frozenset(),
    ) -> backends.Backend | None:
        """Return the backend server for a call to a plain service.

        Where servers state no load, it is the one with the fewest calls of
        this instance. A server that failed recently or is in another zone
        counts as having more.
        """
        for servers in self.available(use, excluded):
            if servers:
                return self._choose_among(servers)
        return None

    def _choose_among(
        self, servers: list[backends.Backend]
    ) -> backends.Backend:
        if self.reported.are_known:
            candidates = [self._call_candidate(each) for each in servers]
            if any(each.load is not None for each in candidates):
                return call_choice.choose(
                    candidates, self.zone, self.rng
                ).backend
        return min(servers, key=self._call_cost)

    def has_free_slot(self, backend_id: ids.BackendId) -> bool:
        """Return whether a call to a plain service would run at once.

        It would, as far as known, if the server states no load or slots.
        """
        load = self.reported.estimate(backend_id)
        if load is None or not load.slots:
            return True
        return load.others + self.own_loads.calls(backend_id) < load.slots

    def _call_candidate(
        self, backend: backends.Backend
    ) -> call_choice.CallCandidate:
        backend_id = backend.backend_id
        return call_choice.CallCandidate(
            backend,
            self.own_loads.calls(backend_id),
            self.health.failure_rate(backend_id),
            self.reported.estimate(backend_id),
        )

    def _call_cost(self, backend: backends.Backend) -> float:
        backend_id = backend.backend_id
        return (
            self.own_loads.calls(backend_id)
            + FAILURE_PENALTY_CALLS * self.health.failure_rate(backend_id)
            + CROSS_ZONE_CALLS * (backend.zone != self.zone)
            + self.rng.uniform(0, JITTER_CALLS)
        )

    def forget_parts(
        self, lost: collections.abc.Iterable[ids.BackendId]
    ) -> None:
        """Forget what engines had cached that are probably lost."""
        if self.cached is not None:
            for backend_id in lost:
                self.cached.forget(backend_id)


def _room(kv_limit: int, kv_tokens: int) -> float:
    """Return the tokens that running requests leave free in a KV cache."""
    return max(0, kv_limit - kv_tokens) if kv_limit else math.inf
