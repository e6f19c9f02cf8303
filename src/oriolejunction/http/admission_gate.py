"""Queueing of accepted requests until an engine has a free slot."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

import expression
import structlog

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import dispatcher as dispatchers
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction.controllers import route_request
from oriolejunction import errors

ADMIT_INTERVAL_MS = 20
_log = structlog.get_logger(__name__)

Granted = typing.TypeVar("Granted")
Deliveries = collections.abc.AsyncGenerator[
    tuple[generations.Delivery, ...], None
]


@dataclasses.dataclass(frozen=True)
class GateDependencies:
    """Dependencies of the gate; `free_slots` counts those of all engines."""

    clock: clocks.Clock
    admission: admissions.Admission
    dispatcher: dispatchers.Dispatcher
    free_slots: collections.abc.Callable[[], int]
    end_generation: collections.abc.Callable[[generations.Generation], None]
    policy: admissions.AdmissionPolicy


class AdmissionGate:
    """Admit requests in fair order or refuse them with a typed error."""

    def __init__(self, deps: GateDependencies) -> None:
        self._deps = deps
        self._future_by_ticket: dict[admissions.Ticket, asyncio.Future] = {}
        self._has_waiters = asyncio.Event()

    async def run(self) -> None:
        """Admit waiting requests for as long as the instance lives."""
        while True:
            await self._has_waiters.wait()
            while self._future_by_ticket:
                self.admit_waiting()
                await self._deps.clock.sleep_ms(ADMIT_INTERVAL_MS)
            self._has_waiters.clear()

    def admit_waiting(self) -> None:
        """Refuse what waited too long, then admit what free slots allow.

        Continuations go first: while one waits, no request is admitted.
        """
        admission = self._deps.admission
        for ticket in admission.refuse_overdue():
            self._resolve(
                ticket,
                expression.Error(admission.overload_error(ticket.request)),
            )
        if self._deps.dispatcher.waiting_continuations:
            return
        free_slots = self._deps.free_slots()
        for ticket in admission.start_allowed(free_slots):
            _log.debug(
                "request starts",
                workspace=ticket.workspace_id,
                waited_ms=self._deps.clock.now_ms() - ticket.queued_at_ms,
                free_slots=free_slots,
                running=admission.running,
            )
            self._resolve(ticket, expression.Ok(ticket))

    @contextlib.asynccontextmanager
    async def admit(
        self,
        generation: generations.Generation,
        request: admissions.AdmissionRequest,
    ) -> collections.abc.AsyncIterator[None]:
        """Wait until a generation is admitted; end it on exit.

        Raise `Failure` with a `NotRunError` where it is refused; nothing
        was run then.
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
            self._deps.end_generation(generation)

    async def run_admitted(
        self,
        generation: generations.Generation,
        request: admissions.AdmissionRequest,
        deliveries: Deliveries,
    ) -> Deliveries:
        """Yield the deliveries of a generation once it is admitted.

        A generation taken over from another instance has already run: it
        skips the queue and is never reported as `not_run`.
        """
        admission_context = (
            self._unqueued(generation)
            if generation.delivered_ids
            else self.admit(generation, request)
        )
        async with admission_context:
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
            self._deps.end_generation(generation)

    @contextlib.contextmanager
    def service_call(
        self, workspace: configuration.Workspace
    ) -> collections.abc.Iterator[None]:
        """Count a call to a plain service while it runs.

        Raise `Failure` with a `NotRunError` where a limit is reached.
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
        admitted = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = admitted
        self.admit_waiting()
        self._has_waiters.set()
        _unwrap(await admitted)

    def _resolve(
        self,
        ticket: admissions.Ticket,
        result: expression.Result[admissions.Ticket, errors.NotRunError],
    ) -> None:
        admitted = self._future_by_ticket.pop(ticket, None)
        if admitted is not None and not admitted.done():
            admitted.set_result(result)


def _unwrap(
    result: expression.Result[Granted, errors.NotRunError],
) -> Granted:
    if result.is_error():
        raise errors.Failure(result.error)
    return result.ok
