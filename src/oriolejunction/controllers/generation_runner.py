"""Drive a generation through its attempts until the answer is whole."""

import asyncio
import collections.abc
import dataclasses
import typing

from reactivex import subject
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import route_request
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import telemetry as metrics

GAP_TIMEOUT_MS = 1_500
MAX_ATTEMPTS = 8
_log = structlog.get_logger(__name__)

EventStream = collections.abc.AsyncIterator[list[engine_protocol.EngineEvent]]


class EnginePort(typing.Protocol):
    """What the runner needs of the shell towards engines."""

    def generate(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> EventStream:
        """Open a stream; raise `Failure` with `AttemptLost` on any loss."""

    async def cancel(
        self,
        engine: configuration.Engine,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
    ) -> None:
        """Cancel an attempt, without waiting long or raising."""


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """What a run needs from its instance."""

    engines: EnginePort
    choose_engine: route_request.ChooseEngine
    telemetry: metrics.Telemetry
    clock: clocks.Clock
    attempt_losses: subject.Subject


async def run(
    generation: generations.Generation, parts: RunnerParts
) -> collections.abc.AsyncIterator[tuple[generations.Delivery, ...]]:
    """Yield the deliveries of an answer, whatever engines are lost.

    Raise `Failure` with `NoEngine` where nothing was run, or with
    `GenerationLost` where the answer cannot be finished whole.
    """
    lost: set[ids.EngineId] = set()
    for _ in range(MAX_ATTEMPTS):
        engine = await parts.choose_engine(
            route_request.route_of(generation, frozenset(lost), bool(lost))
        )
        if engine is None:
            break
        try:
            async for deliveries in _attempt(generation, engine, parts):
                yield deliveries
        except errors.Failure as failure:
            if not isinstance(failure.error, errors.AttemptLost):
                raise
            lost.add(engine.engine_id)
            _record_loss(generation, engine, failure, parts)
        if _complete(generation):
            return
    if lost:
        raise errors.Failure(
            errors.GenerationLost("no engine is left to go on; discard")
        )
    raise errors.Failure(
        errors.NoEngine("no engine is free", retry_after_ms=1_000)
    )


def _complete(generation: generations.Generation) -> bool:
    if not generation.finished and (
        len(generation.delivered_ids) >= generation.request.max_tokens
    ):
        generation.finish_reason = states.FinishReason.LENGTH
    return generation.finished


async def _attempt(
    generation: generations.Generation,
    engine: configuration.Engine,
    parts: RunnerParts,
) -> collections.abc.AsyncIterator[tuple[generations.Delivery, ...]]:
    request = generation.begin_attempt()
    stream = parts.engines.generate(engine, request)
    try:
        while not generation.finished:
            events = await _next_events(stream)
            for event in events:
                commit = generation.commit(event)
                if commit.outcome is not states.CommitOutcome.COMMITTED:
                    parts.telemetry.tokens_dropped.inc(
                        {"why": commit.outcome.value}
                    )
                if commit.outcome is states.CommitOutcome.GAP:
                    raise _lost(states.LossCause.GAP)
                if commit.deliveries:
                    yield commit.deliveries
    finally:
        await stream.aclose()
        if not generation.finished or generation.request.stop:
            await parts.engines.cancel(
                engine, generation.generation_id, request.attempt
            )


async def _next_events(
    stream: EventStream,
) -> list[engine_protocol.EngineEvent]:
    try:
        async with asyncio.timeout(GAP_TIMEOUT_MS / 1000.0):
            return await anext(stream)
    except TimeoutError:
        raise _lost(states.LossCause.SILENT)
    except StopAsyncIteration:
        raise _lost(states.LossCause.ENDED_EARLY)


def _lost(cause: states.LossCause) -> errors.Failure:
    return errors.Failure(errors.AttemptLost(cause.value, cause=cause))


def _record_loss(generation, engine, failure, parts) -> None:
    cause = failure.error.cause
    parts.telemetry.attempts_lost.inc(
        {"engine": engine.engine_id, "cause": cause.value}
    )
    parts.attempt_losses.on_next(
        blackboards.AttemptLoss(
            engine_id=engine.engine_id,
            generation=generation.generation_id,
            workspace=generation.request.workspace,
            fingerprint=route_request.fingerprint_of(generation.request),
            cause=cause,
            at_ms=parts.clock.now_ms(),
            engine_wide=cause is states.LossCause.NOT_REACHED,
        )
    )
    _log.warning(
        "attempt lost",
        generation=generation.generation_id,
        engine=engine.engine_id,
        delivered=len(generation.delivered_ids),
        why=failure.error.message,
    )
