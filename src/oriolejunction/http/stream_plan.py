"""Finds an engine for a stream and one for the copy of its memory."""

import dataclasses

from oriolejunction import backends
from oriolejunction.controllers import event_answer
from oriolejunction.controllers import placement
from oriolejunction.controllers import run_table
from oriolejunction import gateway_messages
from oriolejunction.http import gateway_parts
from oriolejunction.http import waiting_room

# Part of the goal that a new stream waits for an engine with room.
WAIT_SHARE = 0.6
# A stream that has begun waits this long for an engine to go on at.
RESUME_WAIT_MS = 4_000.0
# Prompt tokens that a copy may lack when its run is lost.
COPY_LACKS_TOKENS = 200


@dataclasses.dataclass(frozen=True)
class StreamPlan:
    """Where an attempt runs, where its copy goes and what it starts from.

    The keys are those of its runs, counted on both engines from now on;
    `unread` is in prompt tokens.
    """

    candidate: placement.Candidate
    copy: backends.Backend | None
    copy_from: gateway_messages.CopySource | None
    unread: int
    run_key: int
    copy_key: int | None

    @property
    def backend(self) -> backends.Backend:
        """Return the engine that runs the attempt."""
        return self.candidate.backend

    @property
    def has_idle_engine(self) -> bool:
        """Return whether the engine reads no other prompt, as known."""
        return not self.candidate.prefill_tokens


class StreamPlanner:
    """Plans the attempts of one stream.

    `copy` is the engine that holds a copy of the last attempt's memory.
    """

    def __init__(
        self,
        parts: gateway_parts.GatewayParts,
        admitted: gateway_parts.Admitted,
        attempts: gateway_parts.Attempts,
        answer: event_answer.EventAnswer,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._attempts = attempts
        self._answer = answer
        self.copy: backends.Backend | None = None

    async def plan(self, began: bool) -> StreamPlan | None:
        """Wait for an engine with room; None where it is not to be had.

        `began` tells that the caller has got the head of the answer.
        """
        goal_ms = self._admitted.route.goal_ms
        return await gateway_parts.wait_for_place(
            self._parts,
            self._admitted,
            self._attempts,
            RESUME_WAIT_MS if began else WAIT_SHARE * goal_ms,
            waiting_room.Bid(
                self._try_plan, self._attempts.may_wait, self.give_back
            ),
            tokens=self._need().kv_tokens,
            began=began,
        )

    def give_back(self, plan: StreamPlan) -> None:
        """Count an attempt no longer as work of its engines."""
        self._parts.runs.end(plan.run_key)
        self._parts.runs.end(plan.copy_key)

    def _try_plan(self) -> StreamPlan | None:
        view = self._parts.view
        excluded = frozenset(self._attempts.excluded)
        candidates = view.engines(self._admitted.service, excluded)
        need = self._need()
        chosen, source = self._holder_of_copy(candidates), None
        unread = need.prompt_tokens
        if chosen is not None:
            source = gateway_messages.CopySource(
                chosen.backend.address, self._admitted.request.request_id
            )
            unread = COPY_LACKS_TOKENS
        else:
            chosen = placement.choose_engine(candidates, need, view.rng)
        if chosen is None:
            return None
        copy = None
        if self._admitted.service.engine.keeps_copies:
            copy = placement.choose_copy(
                candidates, need, chosen.backend, view.rng
            )
        return self._counted(chosen, copy, source, need, unread)

    def _counted(
        self,
        chosen: placement.Candidate,
        copy: placement.Candidate | None,
        source: gateway_messages.CopySource | None,
        need: placement.Need,
        unread: int,
    ) -> StreamPlan:
        """Return the plan with its work counted on both engines."""
        runs = self._parts.runs
        run_key = runs.begin(
            run_table.Run(chosen.backend.backend_id, need.kv_tokens, unread)
        )
        copy_key = None
        if copy is not None:
            copy_key = runs.begin(
                run_table.Run(
                    copy.backend.backend_id, need.kv_tokens, 0, copy=True
                )
            )
        return StreamPlan(
            chosen, copy and copy.backend, source, unread, run_key, copy_key
        )

    def _holder_of_copy(
        self, candidates: list[placement.Candidate]
    ) -> placement.Candidate | None:
        if self.copy is None:
            return None
        for candidate in candidates:
            if candidate.backend.backend_id == self.copy.backend_id:
                return candidate
        self.copy = None
        return None

    def _need(self) -> placement.Need:
        request = self._admitted.request
        per_event = self._admitted.service.engine.tokens_per_event
        read = request.prompt_tokens + self._answer.last_event * per_event
        return placement.Need(
            prompt_tokens=read,
            kv_tokens=request.prompt_tokens + request.max_output_tokens,
            zone=self._parts.view.zone,
        )
