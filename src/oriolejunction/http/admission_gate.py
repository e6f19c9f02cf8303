"""Wait of admitted requests until an engine has room for them."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

import expression

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import admission as admissions
from oriolejunction.controllers import dispatcher as dispatchers
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import route_request
from oriolejunction import errors

PUMP_INTERVAL_MS = 20

Granted = typing.TypeVar("Granted")
Deliveries = collections.abc.AsyncGenerator[
    tuple[generations.Delivery, ...], None
]


@dataclasses.dataclass(frozen=True)
class GateParts:
    """What the gate works with; `room` counts free places on engines."""

    clock: clocks.Clock
    admission: admissions.Admission
    dispatcher: dispatchers.Dispatcher
    room: collections.abc.Callable[[], int]
    forget: collections.abc.Callable[[generations.Generation], None]
    policy: admissions.AdmissionPolicy


class AdmissionGate:
    """Let requests pass in fair order, or refuse them typed."""

    def __init__(self, parts: GateParts) -> None:
        self._parts = parts
        self._passed_by_ticket: dict[admissions.Ticket, asyncio.Future] = {}
        self._wanted = asyncio.Event()

    async def run(self) -> None:
        """Let waiting requests pass for as long as the instance lives."""
        while True:
            await self._wanted.wait()
            while self._passed_by_ticket:
                self.pump()
                await self._parts.clock.sleep_ms(PUMP_INTERVAL_MS)
            self._wanted.clear()

    def pump(self) -> None:
        """Let pass what has room now, and refuse what waited too long."""
        admission = self._parts.admission
        for ticket in admission.overdue():
            self._resolve(
                ticket, expression.Error(admission.overloaded(ticket.request))
            )
        if self._parts.dispatcher.waiting_continuations:
            return
        for _ in range(min(admission.queued, self._parts.room())):
            ticket = admission.next()
            self._resolve(ticket, expression.Ok(ticket))

    @contextlib.asynccontextmanager
    async def admitted(
        self,
        generation: generations.Generation,
        request: admissions.AdmissionRequest,
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a place for a generation.

        Raise `Failure` with a `NotRunError` before anything was run.
        """
        self._parts.dispatcher.require_not_refused(
            route_request.route_of(generation, frozenset(), False)
        )
        if self._parts.policy is admissions.AdmissionPolicy.NONE:
            async with self._unqueued(generation):
                yield
            return
        ticket = _or_raise(self._parts.admission.offer(request))
        try:
            await self._pass(ticket)
            yield
        finally:
            self._passed_by_ticket.pop(ticket, None)
            self._parts.admission.end(ticket, len(generation.delivered_ids))
            self._parts.forget(generation)

    async def run_admitted(
        self,
        generation: generations.Generation,
        request: admissions.AdmissionRequest,
        deliveries: Deliveries,
    ) -> Deliveries:
        """Yield the deliveries of a generation once it is admitted.

        An answer taken over from another instance has run already: it waits
        for nothing and is never told as `not_run`.
        """
        entry = (
            self._unqueued(generation)
            if generation.delivered_ids
            else self.admitted(generation, request)
        )
        async with entry:
            async with contextlib.aclosing(deliveries):
                async for batch in deliveries:
                    yield batch

    @contextlib.asynccontextmanager
    async def _unqueued(
        self, generation: generations.Generation
    ) -> collections.abc.AsyncIterator[None]:
        try:
            yield
        finally:
            self._parts.forget(generation)

    @contextlib.contextmanager
    def service_call(
        self, workspace: configuration.Workspace
    ) -> collections.abc.Iterator[None]:
        """Hold a place for a call to a plain service.

        Raise `Failure` with a `NotRunError` above a limit.
        """
        if self._parts.policy is admissions.AdmissionPolicy.NONE:
            yield
            return
        _or_raise(self._parts.admission.begin_call(workspace))
        try:
            yield
        finally:
            self._parts.admission.end_call(workspace)

    async def _pass(self, ticket: admissions.Ticket) -> None:
        passed = asyncio.get_running_loop().create_future()
        self._passed_by_ticket[ticket] = passed
        self.pump()
        self._wanted.set()
        _or_raise(await passed)

    def _resolve(
        self,
        ticket: admissions.Ticket,
        result: expression.Result[admissions.Ticket, errors.NotRunError],
    ) -> None:
        passed = self._passed_by_ticket.pop(ticket, None)
        if passed is not None and not passed.done():
            passed.set_result(result)


def _or_raise(
    result: expression.Result[Granted, errors.NotRunError],
) -> Granted:
    if result.is_error():
        raise errors.Failure(result.error)
    return result.ok
