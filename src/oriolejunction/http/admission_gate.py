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

ADMIT_INTERVAL_MS = 20

Granted = typing.TypeVar("Granted")
Deliveries = collections.abc.AsyncGenerator[
    tuple[generations.Delivery, ...], None
]


@dataclasses.dataclass(frozen=True)
class GateDependencies:
    """What the gate works with; `room` counts free places on engines."""

    clock: clocks.Clock
    admission: admissions.Admission
    dispatcher: dispatchers.Dispatcher
    free_slots: collections.abc.Callable[[], int]
    forget: collections.abc.Callable[[generations.Generation], None]
    policy: admissions.AdmissionPolicy


class AdmissionGate:
    """Let requests pass in fair order, or refuse them typed."""

    def __init__(self, parts: GateDependencies) -> None:
        self._deps = parts
        self._future_by_ticket: dict[admissions.Ticket, asyncio.Future] = {}
        self._has_waiters = asyncio.Event()

    async def run(self) -> None:
        """Let waiting requests pass for as long as the instance lives."""
        while True:
            await self._has_waiters.wait()
            while self._future_by_ticket:
                self.admit_waiting()
                await self._deps.clock.sleep_ms(ADMIT_INTERVAL_MS)
            self._has_waiters.clear()

    def admit_waiting(self) -> None:
        """Let pass what has room now, and refuse what waited too long."""
        admission = self._deps.admission
        for ticket in admission.refuse_overdue():
            self._resolve(
                ticket,
                expression.Error(admission.overload_error(ticket.request)),
            )
        if self._deps.dispatcher.waiting_continuations:
            return
        for _ in range(min(admission.queued, self._deps.free_slots())):
            ticket = admission.start_next()
            self._resolve(ticket, expression.Ok(ticket))

    @contextlib.asynccontextmanager
    async def admit(
        self,
        generation: generations.Generation,
        request: admissions.AdmissionRequest,
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a place for a generation.

        Raise `Failure` with a `NotRunError` before anything was run.
        """
        self._deps.dispatcher.require_not_refused(
            route_request.route_of(generation, frozenset(), False)
        )
        if self._deps.policy is admissions.AdmissionPolicy.NONE:
            async with self._unqueued(generation):
                yield
            return
        ticket = _unwrap(self._deps.admission.submit(request))
        try:
            await self._wait_for_admission(ticket)
            yield
        finally:
            self._future_by_ticket.pop(ticket, None)
            self._deps.admission.end(ticket, len(generation.delivered_ids))
            self._deps.forget(generation)

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
            else self.admit(generation, request)
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
            self._deps.forget(generation)

    @contextlib.contextmanager
    def service_call(
        self, workspace: configuration.Workspace
    ) -> collections.abc.Iterator[None]:
        """Hold a place for a call to a plain service.

        Raise `Failure` with a `NotRunError` above a limit.
        """
        if self._deps.policy is admissions.AdmissionPolicy.NONE:
            yield
            return
        _unwrap(self._deps.admission.begin_call(workspace))
        try:
            yield
        finally:
            self._deps.admission.end_call(workspace)

    async def _wait_for_admission(self, ticket: admissions.Ticket) -> None:
        passed = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = passed
        self.admit_waiting()
        self._has_waiters.set()
        _unwrap(await passed)

    def _resolve(
        self,
        ticket: admissions.Ticket,
        result: expression.Result[admissions.Ticket, errors.NotRunError],
    ) -> None:
        passed = self._future_by_ticket.pop(ticket, None)
        if passed is not None and not passed.done():
            passed.set_result(result)


def _unwrap(
    result: expression.Result[Granted, errors.NotRunError],
) -> Granted:
    if result.is_error():
        raise errors.Failure(result.error)
    return result.ok
