"""Engine port that records the progress of attempts for controllers."""

import collections.abc
import contextlib
import dataclasses

from oriolejunction import configuration
from oriolejunction.controllers import dispatches as dispatch_state
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import membership as memberships
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction.controllers import route_request
from oriolejunction import engine_protocol
from oriolejunction import ids

Events = collections.abc.AsyncGenerator[
    list[engine_protocol.EngineEvent], None
]


@dataclasses.dataclass(frozen=True)
class TrackedEngines:
    """Forward attempts to `engines`; record their progress and end."""

    engines: generation_attempt.EnginePort
    membership: memberships.Membership
    dispatches: dispatch_state.Dispatches
    quarantine: quarantines.Quarantine

    async def generate(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> Events:
        """Yield the events of an attempt as they arrive, in batches."""
        self.membership.require_may_dispatch(engine.engine_id)
        placement = route_request.Placement(
            request.generation, engine.engine_id
        )
        stream = self.engines.generate(engine, request)
        async with contextlib.aclosing(stream):
            try:
                async for events in stream:
                    self._record_progress(placement, events)
                    yield events
            finally:
                self.dispatches.end(placement)

    async def resume(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
        offset: int,
    ) -> Events:
        """Continue an attempt's stream.

        It is not new work, so a leaving engine may still do it.
        """
        placement = route_request.Placement(
            request.generation, engine.engine_id
        )
        stream = self.engines.resume(engine, request, offset)
        async with contextlib.aclosing(stream):
            async for events in stream:
                self._record_progress(placement, events)
                yield events

    def _record_progress(
        self,
        placement: route_request.Placement,
        events: list[engine_protocol.EngineEvent],
    ) -> None:
        tokens = sum(len(event.ids) for event in events)
        last = events[-1]
        self.dispatches.record_progress(placement, tokens)
        self.quarantine.record_progress(placement, last.offset + len(last.ids))
        if last.finish_reason is not None:
            self.quarantine.record_finish(placement, complete=True)

    async def cancel(
        self,
        engine: configuration.Engine,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
    ) -> None:
        """Cancel an attempt in the background."""
        await self.engines.cancel(engine, generation, attempt)
