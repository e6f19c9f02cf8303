"""The search for the engine of a generation's next attempt."""

import structlog

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import route_request
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states

MAX_ATTEMPTS = 12
_NOT_RUN_CAUSES = (
    states.LossCause.NOT_REACHED,
    states.LossCause.REFUSED,
    states.LossCause.LEAVING,
)
_log = structlog.get_logger(__name__)


class EngineSearch:
    """Engines that a generation lost, and the choice of the next one."""

    def __init__(
        self,
        generation: generations.Generation,
        choose_engine: route_request.ChooseEngine,
        detector: detectors.SilenceDetector,
        clock: clocks.Clock,
        policy: loss_policy.LossPolicy,
    ) -> None:
        self._generation = generation
        self._choose_engine = choose_engine
        self._detector = detector
        self._clock = clock
        self._policy = policy
        self._lost_engines: set[ids.EngineId] = set()
        self._attempt_count = 0
        self._may_have_run = False
        self._searched_in_vain = False

    @property
    def may_begin(self) -> bool:
        """Return whether the generation may have another attempt."""
        return self._attempt_count < MAX_ATTEMPTS

    def record_attempt(self) -> None:
        """Count an attempt that begins."""
        self._attempt_count += 1
        self._searched_in_vain = False

    def record_loss(
        self, engine_id: ids.EngineId, cause: states.LossCause
    ) -> None:
        """Record that an attempt was lost on an engine."""
        self._lost_engines.add(engine_id)
        if cause not in _NOT_RUN_CAUSES:
            self._may_have_run = True

    async def choose_another(
        self, busy: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        """Choose an engine beside the `busy` ones that have an attempt."""
        try:
            engine = await self._choose(busy | self._lost_engines)
        except errors.Failure as failure:
            _log.warning(
                "no other engine is chosen",
                generation=self._generation.generation_id,
                why=failure.error.code,
            )
            engine = None
        self._searched_in_vain = engine is None
        return engine

    async def choose_or_raise(self) -> configuration.Engine:
        """Choose an engine, one that lost an attempt if there is no other.

        Raise `Failure` with `NoEngine` if no engine ran the generation, or
        with `GenerationLost`.
        """
        engine = None
        self._searched_in_vain = False
        try:
            if self.may_begin:
                engine = await self._choose(frozenset(self._lost_engines))
            if engine is None and self._lost_engines and self.may_begin:
                self._lost_engines.clear()
                engine = await self._choose(frozenset())
        except errors.Failure as failure:
            raise self._without_false_not_run(failure)
        if engine is None:
            raise self._without_false_not_run(
                errors.Failure(
                    errors.NoEngine(
                        "no engine is available", retry_after_ms=1_000
                    )
                )
            )
        return engine

    async def _choose(
        self, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        """Choose an engine, if possible one that is not stalled."""
        stalled = self._detector.stalled_engines(
            self._clock.now_ms(), self._policy.give_up
        )
        engine = None
        if stalled - excluded:
            engine = await self._route(excluded | stalled)
        return engine or await self._route(excluded)

    async def _route(
        self, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        continuation = self._attempt_count > 0 or bool(
            self._generation.delivered_ids
        )
        return await self._choose_engine(
            route_request.route_of(
                self._generation,
                excluded,
                continuation,
                self._searched_in_vain,
            )
        )

    def _without_false_not_run(
        self, failure: errors.Failure
    ) -> errors.Failure:
        """Turn an unproven `not_run` failure into `GenerationLost`."""
        never_ran = not (self._may_have_run or self._generation.delivered_ids)
        if never_ran or failure.error.outcome is not states.Outcome.NOT_RUN:
            return failure
        return errors.Failure(
            errors.GenerationLost(
                "the answer cannot continue, discard the part received:"
                f" {failure.error.message}"
            )
        )
