"""One attempt: forward an engine's stream to its generation's inbox."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import typing

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states

MAX_INBOX_ARRIVALS = 256
MAX_REATTACHES = 3

EventStream = collections.abc.AsyncIterator[list[engine_protocol.EngineEvent]]


class EnginePort(typing.Protocol):
    """Engine client that attempts depend on."""

    def generate(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> EventStream:
        """Open a stream; raise `Failure` with `AttemptLost` if it is lost."""

    def resume(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
        offset: int,
    ) -> EventStream:
        """Resume an attempt's stream at `offset`; raise like `generate`."""

    async def cancel(
        self,
        engine: configuration.Engine,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
    ) -> None:
        """Cancel an attempt within a short time and without raising."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Events of an attempt, or the failure that ended it."""

    attempt: "Attempt"
    events: list[engine_protocol.EngineEvent]
    failure: Exception | None = None


class Inbox:
    """Queue of one generation: arrivals of all attempts, timer ticks."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[Arrival] = collections.deque()
        self._wakeup: asyncio.Future | None = None
        self._space_freed = asyncio.Event()
        self._ticked = False

    def put(self, arrival: Arrival) -> None:
        """Add an arrival and wake the reader."""
        self._arrivals.append(arrival)
        self._wake()

    def tick(self) -> None:
        """Wake the reader without an arrival."""
        self._ticked = True
        self._wake()

    @property
    def full(self) -> bool:
        """Return whether writers must wait until the reader catches up."""
        return len(self._arrivals) >= MAX_INBOX_ARRIVALS

    async def wait_for_space(self) -> None:
        """Wait until the reader has taken the queued arrivals."""
        self._space_freed.clear()
        await self._space_freed.wait()

    async def take(self) -> list[Arrival]:
        """Wait for arrivals or a tick; return all arrivals, possibly none."""
        if not self._arrivals and not self._ticked:
            self._wakeup = asyncio.get_running_loop().create_future()
            try:
                await self._wakeup
            finally:
                self._wakeup = None
        self._ticked = False
        arrivals = list(self._arrivals)
        self._arrivals.clear()
        self._space_freed.set()
        return arrivals

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


@dataclasses.dataclass(frozen=True)
class AttemptDependencies:
    """Dependencies of an attempt."""

    engines: EnginePort
    clock: clocks.Clock
    detector: detectors.SilenceDetector
    inbox: Inbox


class Attempt:
    """An attempt to run a generation on one engine.

    `suspected_since_ms` is set while a second attempt starts or runs because
    this one is silent, `stalled_since_ms` while a replacement is searched
    for. `reattaching_since_ms` is set while a lost connection is being
    resumed. While `blocked_on_inbox` is true the inbox is full, and the lack
    of events says nothing about the engine.
    """

    def __init__(
        self,
        deps: AttemptDependencies,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
        may_reattach: bool,
    ) -> None:
        self.engine = engine
        self.request = request
        self.suspected_since_ms: float | None = None
        self.stalled_since_ms: float | None = None
        self.reattaches = 0
        self.reattaching_since_ms: float | None = None
        self.blocked_on_inbox = False
        self._deps = deps
        self._may_reattach = may_reattach
        self._offset = len(request.forced_ids)
        self._finished = False
        self.key = (request.generation, request.attempt)
        deps.detector.watch(engine.engine_id, self.key, deps.clock.now_ms())

    async def run(self) -> None:
        """Forward events to the inbox until the stream ends or is lost."""
        try:
            failure: Exception = await self._read()
        except errors.Failure as raised:
            failure = raised
        finally:
            if not self._finished:
                await self._deps.engines.cancel(
                    self.engine, self.request.generation, self.request.attempt
                )
        self._deps.inbox.put(Arrival(self, [], failure))

    async def _read(self) -> errors.Failure:
        engines = self._deps.engines
        failure = await self._forward(
            engines.generate(self.engine, self.request)
        )
        while self._should_reattach(failure):
            self.reattaches += 1
            self.reattaching_since_ms = self._deps.clock.now_ms()
            failure = await self._forward(
                engines.resume(self.engine, self.request, self._offset)
            )
            if failure.error.cause is states.LossCause.REFUSED:
                return attempt_lost(states.LossCause.DISCONNECTED)
        return failure

    async def _forward(self, stream: EventStream) -> errors.Failure:
        try:
            async with contextlib.aclosing(stream):
                async for events in stream:
                    await self._forward_batch(events)
        except errors.Failure as failure:
            if not isinstance(failure.error, errors.AttemptLost):
                raise
            return failure
        return attempt_lost(states.LossCause.ENDED_EARLY)

    async def _forward_batch(
        self, events: list[engine_protocol.EngineEvent]
    ) -> None:
        deps = self._deps
        deps.detector.record_progress(
            self.engine.engine_id, self.key, deps.clock.now_ms()
        )
        self.reattaching_since_ms = None
        last = events[-1]
        self._offset = max(self._offset, last.offset + len(last.ids))
        self._finished = last.finish_reason is not None
        deps.inbox.put(Arrival(self, events))
        if deps.inbox.full:
            self.blocked_on_inbox = True
            await deps.inbox.wait_for_space()
            self.blocked_on_inbox = False

    def _should_reattach(self, failure: errors.Failure) -> bool:
        return (
            self._may_reattach
            and self.reattaches < MAX_REATTACHES
            and failure.error.cause is states.LossCause.DISCONNECTED
        )


def attempt_lost(cause: states.LossCause) -> errors.Failure:
    """Return the failure of an attempt that was lost for `cause`."""
    return errors.Failure(errors.AttemptLost(cause.value, cause=cause))


def loss_cause(failure: Exception) -> states.LossCause:
    """Return why an attempt was lost; raise what is not a loss."""
    is_loss = isinstance(failure, errors.Failure) and isinstance(
        failure.error, errors.AttemptLost
    )
    if not is_loss:
        raise failure
    return failure.error.cause
