"""Leaves engines to more urgent streams that wait at other instances."""

import collections.abc

from oriolejunction.controllers import event_answer
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import urgency
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common

# Fraction of the latency goal for which a new stream leaves engines to others.
MAX_GOAL_FRACTION = 0.5


class Room:
    """The engines that one stream may take, and leaves to urgent ones."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
        answer: event_answer.EventAnswer,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._answer = answer
        self._is_logged = False

    @property
    def _has_started(self) -> bool:
        return self._answer.last_event > 0

    def choose(
        self,
        candidates: list[placement.Candidate],
        requirements: placement.StreamRequirements,
    ) -> placement.Candidate | None:
        """Return the engine for a stream, None if it has to wait."""
        if self._is_left(candidates, requirements.kv_tokens):
            return None
        may_interrupt = urgency.may_interrupt(
            self._admitted.rank,
            self._admitted.service_ranks,
            resumed=self._has_started,
        )
        if may_interrupt:
            candidates = placement.with_spare_room(
                candidates, requirements.kv_tokens
            )
        return placement.choose_engine(
            candidates, requirements, self._deps.view.rng
        )

    def _is_left(
        self,
        candidates: collections.abc.Iterable[placement.Candidate],
        kv_tokens: int,
    ) -> bool:
        """Return whether more urgent streams elsewhere go first."""
        if self._has_started or len(self._admitted.service_ranks) < 2:
            return False
        now_ms = self._deps.clock.now_ms()
        waited_ms = now_ms - self._admitted.began_ms
        goal_ms = self._admitted.route.latency_goal_ms
        if waited_ms > MAX_GOAL_FRACTION * goal_ms:
            return False
        fleet = self._deps.blackboard.fleet.read()
        others = fleet.use_by_others(self._admitted.service.name, now_ms)
        if others is None or not others.waiting:
            return False
        fitting = sum(each.can_fit(kv_tokens) for each in candidates)
        is_left = urgency.must_leave_room(
            self._admitted.rank, self._admitted.service_ranks, others, fitting
        )
        if is_left and not self._is_logged:
            self._is_logged = True
            gateway_common.log_decision(
                self._admitted,
                "engines left to more urgent streams",
                rank=self._admitted.rank,
                fitting=fitting,
                waiting_first=others.waiting_first,
                waiting_second=others.waiting_second,
                age_ms=round(now_ms - fleet.updated_at_ms),
            )
        return is_left
