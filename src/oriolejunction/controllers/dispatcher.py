"""Choose an engine for each attempt, or wait a bounded time for one.

Continuations take precedence over new requests. Each engine gets only a few
of them at a time, so the loss of a zone does not overload the remaining
engines. The quarantine isolates requests that may have crashed an engine.
"""

import collections.abc
import dataclasses

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import dispatches as dispatch_state
from oriolejunction.controllers import membership as memberships
from oriolejunction.controllers.overload import retry_budget
from oriolejunction.controllers import prefix_caches
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction.controllers import route_request
from oriolejunction.controllers import routing
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import prefix_blocks

POLL_MS = 20
NEW_REQUEST_WAIT_MS = 600
CONTINUATION_WAIT_MS = 2_000
ISOLATION_WAIT_MS = 2_000
MAX_PREFILLS = 4
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True)
class DispatcherDependencies:
    """Dependencies of the dispatcher.

    `free_slots_on` returns how many more new requests an engine may get.
    """

    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    membership: memberships.Membership
    dispatches: dispatch_state.Dispatches
    caches: prefix_caches.PrefixCaches
    quarantine: quarantines.Quarantine
    retries: retry_budget.RetryBudget
    pick: routing.Pick
    free_slots_on: collections.abc.Callable[[ids.EngineId], int]


class Dispatcher:
    """Choose engines for the attempts of one instance."""

    def __init__(self, deps: DispatcherDependencies) -> None:
        self._deps = deps
        self._engine_by_id: dict[ids.EngineId, configuration.Engine] = {}
        self.waiting_continuations = 0

    async def choose(
        self, route: route_request.RouteRequest
    ) -> configuration.Engine | None:
        """Return the engine for an attempt, or None if none is available.

        Raise `Failure` with `RequestQuarantined`, or with
        `GenerationQuarantined` if the request has already run.
        """
        if not self._deps.retries.allows(route):
            return None
        has_precedence = route.continuation and not route.repeated
        self.waiting_continuations += has_precedence
        try:
            engine = await self._wait_for_engine(route)
        finally:
            self.waiting_continuations -= has_precedence
        if engine is not None:
            self._record_dispatch(route, engine)
        return engine

    async def _wait_for_engine(
        self, route: route_request.RouteRequest
    ) -> configuration.Engine | None:
        clock = self._deps.clock
        started_ms = clock.now_ms()
        while True:
            self.require_not_refused(route)
            waited_ms = clock.now_ms() - started_ms
            engines = self._eligible_engines(route, waited_ms)
            if engines:
                return self._pick(route, engines)
            if waited_ms >= self._max_wait_ms(route):
                return None
            if self._only_excluded_are_live(route):
                return None
            await clock.sleep_ms(POLL_MS)

    def _only_excluded_are_live(
        self, route: route_request.RouteRequest
    ) -> bool:
        """Return whether all live engines are excluded.

        Waiting cannot help then, but a choice without exclusions could.
        """
        if not route.excluded:
            return False
        blackboard = self._deps.blackboard
        unrestricted = dataclasses.replace(route, excluded=frozenset())
        return bool(
            routing.candidates(blackboard, unrestricted)
        ) and not routing.candidates(blackboard, route)

    def require_not_refused(self, route: route_request.RouteRequest) -> None:
        """Raise `Failure` if the request is in quarantine."""
        remaining_ms = self._deps.quarantine.refused_for_ms(route.fingerprint)
        if remaining_ms <= 0:
            return
        message = "the request crashed engines and is temporarily quarantined"
        if route.continuation:
            raise errors.Failure(
                errors.GenerationQuarantined(message, int(remaining_ms) + 1)
            )
        raise errors.Failure(
            errors.RequestQuarantined(message, int(remaining_ms) + 1)
        )

    def _max_wait_ms(self, route: route_request.RouteRequest) -> float:
        quarantine = self._deps.quarantine
        if quarantine.last_strike(route.fingerprint) is not None:
            return ISOLATION_WAIT_MS + quarantine.verdict_delay_ms(
                route.fingerprint
            )
        return (
            CONTINUATION_WAIT_MS if route.continuation else NEW_REQUEST_WAIT_MS
        )

    def _eligible_engines(
        self, route: route_request.RouteRequest, waited_ms: float
    ) -> list[configuration.Engine]:
        deps = self._deps
        deps.membership.refresh()
        engines = routing.candidates(deps.blackboard, route)
        if deps.quarantine.verdict_delay_ms(
            route.fingerprint
        ) > 0 or deps.quarantine.is_on_trial(route.fingerprint):
            return []
        if deps.quarantine.must_isolate(route.fingerprint):
            return self._without_suspects(route, engines)
        engines = [
            engine
            for engine in engines
            if not deps.quarantine.is_reserved(
                engine.engine_id, route.fingerprint
            )
        ]
        if route.continuation:
            return self._below_prefill_limit(engines, waited_ms)
        return self._with_capacity(route, engines)

    def _without_suspects(
        self,
        route: route_request.RouteRequest,
        engines: list[configuration.Engine],
    ) -> list[configuration.Engine]:
        """Return engines without suspects, if possible in another zone.

        In one zone, repeated crashes by this request would look like the
        failure of the zone.
        """
        quarantine = self._deps.quarantine
        unsuspected = [
            engine
            for engine in engines
            if not quarantine.suspect_count(
                engine.engine_id, route.fingerprint
            )
        ]
        zone = quarantine.last_strike(route.fingerprint).zone
        in_other_zones = [
            engine for engine in unsuspected if engine.zone != zone
        ]
        return in_other_zones or unsuspected

    def _below_prefill_limit(
        self, engines: list[configuration.Engine], waited_ms: float
    ) -> list[configuration.Engine]:
        if waited_ms >= CONTINUATION_WAIT_MS / 2:
            return engines
        dispatches = self._deps.dispatches
        return [
            engine
            for engine in engines
            if dispatches.prefill_count(engine.engine_id) < MAX_PREFILLS
        ]

    def _with_capacity(
        self,
        route: route_request.RouteRequest,
        engines: list[configuration.Engine],
    ) -> list[configuration.Engine]:
        needed = prefix_blocks.token_estimate(route.prompt) + route.delivered
        with_memory = [
            engine
            for engine in engines
            if self.free_kv_tokens(engine.engine_id) >= needed
        ]
        with_slots = [
            e for e in with_memory if self._deps.free_slots_on(e.engine_id) > 0
        ]
        return with_slots or with_memory

    def free_kv_tokens(self, engine_id: ids.EngineId) -> float:
        """Return the estimated free KV cache of an engine, in tokens."""
        deps = self._deps
        report = deps.blackboard.engine_report_by_id.read().get(engine_id)
        if report is None or not report.kv_limit_tokens:
            return float("inf")
        own_tokens = deps.dispatches.kv_tokens(engine_id)
        return report.kv_limit_tokens - max(own_tokens, report.kv_tokens)

    def _pick(
        self,
        route: route_request.RouteRequest,
        engines: list[configuration.Engine],
    ) -> configuration.Engine:
        if self._deps.quarantine.last_strike(route.fingerprint) is None:
            return self._deps.pick(route, engines)
        min_count = min(
            self._suspect_count(route, engine) for engine in engines
        )
        least_suspect = [
            e for e in engines if self._suspect_count(route, e) == min_count
        ]
        return self._deps.pick(route, least_suspect)

    def _suspect_count(
        self,
        route: route_request.RouteRequest,
        engine: configuration.Engine,
    ) -> int:
        return self._deps.quarantine.suspect_count(
            engine.engine_id, route.fingerprint
        )

    def _record_dispatch(
        self,
        route: route_request.RouteRequest,
        engine: configuration.Engine,
    ) -> None:
        deps = self._deps
        deps.retries.spend(route)
        placement = route_request.Placement(route.generation, engine.engine_id)
        blocks = prefix_blocks.block_hashes(
            route.version, route.adapter, route.prompt
        )
        tokens = prefix_blocks.token_estimate(route.prompt) + route.delivered
        cached = prefix_blocks.BLOCK_TOKENS * deps.caches.cached_blocks(
            engine.engine_id, blocks
        )
        prefill = max(1, tokens - int(cached))
        deps.dispatches.begin(placement, tokens, prefill)
        deps.caches.record_dispatch(engine.engine_id, blocks)
        deps.quarantine.record_dispatch(
            placement, route.fingerprint, route.delivered
        )
