"""Chooses the engine of a stream and that of its KV cache copy.

Both have the software version that the stream has begun at.
"""

import itertools
import math

from oriolejunction import backends
from oriolejunction.controllers import event_answer
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import urgency
from oriolejunction.controllers.overload import wait_forecast
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import backend_checks
from oriolejunction.http import backend_wait
from oriolejunction.http import gateway_common
from oriolejunction.http import placement_queue
from oriolejunction.http import room_for_urgent
from oriolejunction.http import stream_attempt
from oriolejunction.http import stream_software
from oriolejunction import ids

# Fraction of the latency goal that a new stream waits for an engine.
QUEUE_WAIT_FRACTION = 0.6
# A stream that has begun waits this long for an engine to resume on.
RESUME_WAIT_MS = 4_000.0
# Tokens that a KV cache copy may lack when its source engine is lost.
MAX_COPY_LAG_TOKENS = 200


class StreamPlanner:
    """Plans the attempts of one stream.

    `software` keeps them on one software version; `last_copy_backend` is the
    engine that stores a copy of the last attempt's KV cache.
    """

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
        attempts: gateway_common.AttemptTracker,
        answer: event_answer.EventAnswer,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._attempts = attempts
        self._answer = answer
        self.software = stream_software.StreamSoftware(
            deps, admitted, answer, attempts.rollout
        )
        self.last_copy_backend: backends.Backend | None = None
        self._room = room_for_urgent.Room(deps, admitted, answer)

    async def plan(
        self, has_started: bool
    ) -> stream_attempt.StreamPlan | None:
        """Wait for an engine with capacity; return None if there is none.

        `has_started` is set once the caller has the head of the answer.
        """
        requirements = self._requirements()
        now_ms = self._deps.clock.now_ms()
        prefill_ms = (
            requirements.prompt_tokens
            / 1_000
            * self._deps.speeds.typical_prefill_ms_per_k()
        )
        return await backend_wait.wait_for_backend(
            self._deps,
            self._admitted,
            self._attempts,
            self._max_wait_ms(has_started, prefill_ms),
            placement_queue.PlacementRequest(
                self._try_plan,
                self._attempts.may_wait,
                self._return,
                (
                    placement_queue.unknown_wait_ms
                    if has_started
                    else self._forecast_wait_ms
                ),
            ),
            tokens=requirements.kv_tokens,
            has_started=has_started,
            goal_until_ms=now_ms + requirements.first_event_ms - prefill_ms,
            has_exclusions=self.software.excludes_engines,
        )

    async def plan_reachable(
        self, has_started: bool
    ) -> stream_attempt.StreamPlan | None:
        """Return a plan on an engine that accepts a connection now.

        Its send is charged to the budget already.
        """
        plan = await self.plan(has_started)
        if plan is None:
            return None
        if not self._attempts.reserve_send():
            self._return(plan)
            return None
        reachable = False
        try:
            reachable = await backend_checks.is_reachable(
                self._deps, plan.backend
            )
        finally:
            if not reachable:
                self.discard(plan)
        if reachable:
            return plan
        self._attempts.excluded.add(plan.backend.backend_id)
        await backend_checks.mark_unless_isolated(
            self._deps, plan.backend, "not reached"
        )
        return None

    def _max_wait_ms(self, has_started: bool, prefill_ms: float) -> float:
        """Return how long waiting for an engine can be of use.

        Without a forecast, a new stream waits for a part of its latency goal.
        """
        if has_started:
            return RESUME_WAIT_MS
        if not self._forecast_wait_ms(0):
            goal_ms = self._admitted.route.latency_goal_ms
            return QUEUE_WAIT_FRACTION * goal_ms
        return self._attempts.remaining_ms - prefill_ms

    def _forecast_wait_ms(self, ahead: int) -> float:
        """Return the expected wait behind `ahead` others of this instance.

        It is 0 while nothing runs whose end would free capacity, and no
        server would take a request later.
        """
        service = self._admitted.service
        limited_ms, limit_interval_ms = self._deps.view.limited_wait_ms(
            self._attempts.rollout, ahead
        )
        if limited_ms:
            self._attempts.expected_wait_ms = limited_ms
            self._attempts.return_interval_ms = limit_interval_ms
            return limited_ms
        interval_ms = self._deps.release_intervals.interval_ms(
            (service.name, self._answer.software), self._release_interval_ms
        )
        if math.isinf(interval_ms):
            return 0.0
        fleet = self._deps.blackboard.fleet.read()
        others = fleet.use_by_others(service.name, self._deps.clock.now_ms())
        waiting = urgency.waiting_ahead(
            self._admitted.rank, self._admitted.service_ranks, others
        )
        wait_ms = wait_forecast.expected_wait_ms(ahead + waiting, interval_ms)
        self._attempts.expected_wait_ms = wait_ms
        self._attempts.return_interval_ms = interval_ms * fleet.entry_count
        return wait_ms

    def _release_interval_ms(self) -> float:
        requirements = self._requirements()
        return wait_forecast.release_interval_ms(
            itertools.chain.from_iterable(
                self._deps.view.engine_candidates(
                    self._admitted.service,
                    self._attempts.rollout,
                    software=self._answer.software,
                )
            ),
            requirements.prompt_tokens,
            requirements.events,
        )

    def release(self, plan: stream_attempt.StreamPlan) -> None:
        """Remove an attempt from the load of its engines."""
        self._deps.own_loads.end(plan.load_key)
        self._deps.own_loads.end(plan.copy_load_key)
        self._deps.queue.notify_capacity()

    def record_first_event(
        self, plan: stream_attempt.StreamPlan, took_ms: float
    ) -> None:
        """Take note that an attempt's prefill has ended."""
        self._deps.own_loads.mark_prefilled(plan.load_key)
        if plan.times_prefill:
            self._deps.speeds.add_prefill(
                plan.backend.backend_id, plan.tokens_to_prefill, took_ms
            )

    def discard(self, plan: stream_attempt.StreamPlan) -> None:
        """Undo a plan of `plan_reachable`."""
        self._return(plan)
        self._attempts.cancel_reservation()

    def _return(self, plan: stream_attempt.StreamPlan) -> None:
        """Undo a plan that nothing was sent by."""
        self.release(plan)
        self._deps.intake.give_back(plan.backend.backend_id)

    def _try_plan(self) -> stream_attempt.StreamPlan | None:
        excluded = self._attempts.excluded
        plan = self._plan_without(frozenset(excluded))
        if plan is None and self._attempts.stalled:
            plan = self._plan_without(
                frozenset(excluded - self._attempts.stalled)
            )
        return plan

    def _plan_without(
        self, excluded: frozenset[ids.BackendId]
    ) -> stream_attempt.StreamPlan | None:
        for software in self.software.preferences():
            plan = self._plan_at(software, excluded)
            if plan is not None:
                return plan
        return None

    def _plan_at(
        self,
        software: ids.SoftwareVersion | None,
        excluded: frozenset[ids.BackendId],
    ) -> stream_attempt.StreamPlan | None:
        """Return a plan with engines of a software version, None for any."""
        for candidates in self._deps.view.engine_candidates(
            self._admitted.service,
            self._attempts.rollout,
            excluded,
            software,
            self._admitted.request.parts,
        ):
            plan = self._plan_among(candidates, excluded)
            if plan is not None:
                return plan
        return None

    def _plan_among(
        self,
        candidates: list[placement.Candidate],
        excluded: frozenset[ids.BackendId],
    ) -> stream_attempt.StreamPlan | None:
        """Return a plan with one of these engines."""
        view, requirements = self._deps.view, self._requirements()
        chosen, source = self._find_copy_candidate(candidates), None
        tokens_to_prefill = requirements.prompt_tokens
        if chosen is not None:
            source = gateway_messages.KvCopySource(
                chosen.backend.address, self._admitted.request.request_id
            )
            tokens_to_prefill = MAX_COPY_LAG_TOKENS
        else:
            chosen = self._room.choose(candidates, requirements)
        if chosen is None:
            return None
        copy = None
        if self._admitted.service.engine.stores_kv_copies:
            if self._deps.rollouts.is_in_progress(self._admitted.service.name):
                # A copy is no request: it may go to any engine of the version.
                candidates = view.copy_candidates(
                    self._admitted.service, excluded
                )
            copy = placement.choose_kv_copy_engine(
                candidates, requirements, chosen.backend, view.rng
            )
        return self._reserve(
            chosen, copy, source, requirements, tokens_to_prefill
        )

    def _reserve(
        self,
        chosen: placement.Candidate,
        copy: placement.Candidate | None,
        source: gateway_messages.KvCopySource | None,
        requirements: placement.StreamRequirements,
        tokens_to_prefill: int,
    ) -> stream_attempt.StreamPlan:
        """Return the plan with its work counted on both engines."""
        self._deps.intake.take(chosen.backend.backend_id)
        own_loads = self._deps.own_loads
        prefill_tokens = tokens_to_prefill
        if source is None and chosen.cached_tokens:
            prefill_tokens = round(
                placement.remaining_tokens(chosen, tokens_to_prefill)
            )
        load_key = own_loads.begin(
            load_table.LoadEntry(
                chosen.backend.backend_id,
                requirements.kv_tokens,
                prefill_tokens,
            )
        )
        copy_key = None
        if copy is not None:
            copy_key = own_loads.begin(
                load_table.LoadEntry(
                    copy.backend.backend_id,
                    requirements.kv_tokens,
                    0,
                    is_kv_copy=True,
                )
            )
        return stream_attempt.StreamPlan(
            chosen,
            copy and copy.backend,
            source,
            tokens_to_prefill,
            load_key,
            copy_key,
        )

    def _find_copy_candidate(
        self, candidates: list[placement.Candidate]
    ) -> placement.Candidate | None:
        wanted = self.last_copy_backend
        if wanted is None:
            return None
        for candidate in candidates:
            if candidate.backend.backend_id == wanted.backend_id:
                return candidate
        self.last_copy_backend = None
        return None

    def _requirements(self) -> placement.StreamRequirements:
        request = self._admitted.request
        route = self._admitted.route
        per_event = self._admitted.service.engine.tokens_per_event
        delivered = self._answer.last_event
        events = self._deps.lengths.expected(
            route.name, request.max_output_tokens / per_event
        )
        goal_at_ms = self._admitted.began_ms + route.latency_goal_ms
        left_ms = goal_at_ms - self._deps.clock.now_ms()
        return placement.StreamRequirements(
            prompt_tokens=request.prompt_tokens + delivered * per_event,
            kv_tokens=request.prompt_tokens + request.max_output_tokens,
            zone=self._deps.view.zone,
            events=max(0.0, events - delivered),
            first_event_ms=math.inf if delivered else left_ms,
        )
