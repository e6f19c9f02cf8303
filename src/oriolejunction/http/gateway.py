"""The HTTP server through which callers reach a deployment's routes."""

import collections.abc
import contextlib
import math

from aiohttp import web
import msgspec
import structlog

from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.controllers.overload import deadline_estimates
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import attempt_errors
from oriolejunction.http import gateway_call
from oriolejunction.http import gateway_common
from oriolejunction.http import gateway_stream
from oriolejunction.http import guarded_connection
from oriolejunction.http import listener_guard
from oriolejunction.http import peer_forwarding
from oriolejunction.http import replies
from oriolejunction.http import request_body
from oriolejunction.http import stop_admission
from oriolejunction.http import stop_limit
from oriolejunction.http import unused_connections
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states

# Longer than callers keep an idle connection, so that the server does not
# close one while a caller sends a request on it.
KEEP_ALIVE_TIMEOUT_S = 120.0
MAX_HEADER_BYTES = 65_536
MAX_HEADERS = 256
# After a restart of all instances, the control replicas are available again
# within about this time. Most callers wait a second; about a third of it
# stays for the answer.
TABLE_WAIT_MS = 600.0
TABLE_POLL_MS = 20.0
# Without a table, the caller's remaining time is not known.
TABLE_RETURN_LIMIT_MS = 6_000.0
_log = structlog.get_logger(__name__)

InFlightCounter = collections.abc.Callable[
    [], contextlib.AbstractContextManager
]


class _RequestLogContext(msgspec.Struct):
    """What is known of a request so far, for the log line of a failure."""

    request_id: ids.RequestId | None = None
    kind: states.RequestKind | None = None
    table_version: routing_table.TableVersion | None = None


class Gateway:
    """Reads a request, finds its route and workspace, and relays it."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        count_in_flight: InFlightCounter,
        time_to_stop_ms: collections.abc.Callable[[], float | None],
        serves_peers: bool = False,
    ) -> None:
        """Create the gateway.

        `time_to_stop_ms` returns None until the instance begins to stop. One
        that `serves_peers` gets what other instances pass on, and passes
        nothing on itself.
        """
        self._serves_peers = serves_peers
        self._deps = deps
        self._count_in_flight = count_in_flight
        self._time_to_stop_ms = time_to_stop_ms
        self._server: web.Server | None = None
        self._request_by_connection: dict[
            web.RequestHandler, web.BaseRequest
        ] = {}
        self._is_closing = False

    def runner(self) -> web.ServerRunner:
        """Return the server runner, to be set up on a listener."""
        self._server = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            lingering_time=guarded_connection.LINGER_S,
            read_bufsize=listener_guard.READ_BYTES,
        )
        return web.ServerRunner(self._server, shutdown_timeout=0.1)

    async def stop_accepting(self, site: web.BaseSite) -> None:
        """Close a listener and idle connections, and cut off no request.

        Busy connections are closed after their answer.
        """
        await unused_connections.stop_listening(site)
        self._is_closing = True
        for request in self._request_by_connection.values():
            _close_after_answer(request)
        await unused_connections.close_unused(self._idle_connections)

    def _idle_connections(self) -> list[web.RequestHandler]:
        busy = self._request_by_connection
        return [each for each in self._server.connections if each not in busy]

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None or transport.is_closing():
            # The connection was closed as idle while the request was read.
            # An engine must not run a request whose answer is undeliverable.
            return web.Response(status=503)
        self._request_by_connection[request.protocol] = request
        try:
            return await self._answer(request)
        finally:
            del self._request_by_connection[request.protocol]
            if self._is_closing:
                _close_after_answer(request)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._count_in_flight(), self._deps.bodies.hold() as held:
            log_context = _RequestLogContext()
            try:
                response = await self._serve(request, log_context, held)
                self._count_answer(
                    log_context, "answered", str(response.status)
                )
            except errors.Failure as failure:
                self._log_failure(request, log_context, failure.error)
                response = replies.error_response(
                    failure.error, whole_seconds=False
                )
            if self._time_to_stop_ms() is not None and not response.prepared:
                response.force_close()
            return response

    async def _serve(
        self,
        request: web.BaseRequest,
        log_context: _RequestLogContext,
        held: buffer_budget.HeldBytes,
    ) -> web.StreamResponse:
        admitted = await self._receive_admitted(request, log_context, held)
        relay = gateway_call.CallRelay
        if admitted.route.kind is states.RequestKind.STREAM:
            relay = gateway_stream.StreamRelay
        try:
            return await relay(self._deps, admitted).run()
        except attempt_errors.InstanceIsolated as isolated:
            return await self._serve_isolated(admitted, isolated.possibly_run)

    async def _receive_admitted(
        self,
        request: web.BaseRequest,
        log_context: _RequestLogContext,
        held: buffer_budget.HeldBytes,
    ) -> admitted_request.AdmittedRequest:
        """Return a whole request that may be served; raise `Failure`.

        Only its route is kept of the table, so that a table is not held in
        memory until the last request ends that it was in force for.
        """
        now_ms = self._deps.clock.now_ms()
        try:
            async with self._deps.stop_limit.bound():
                table, body = await self._receive(request, now_ms, held)
        except stop_limit.StopReached:
            raise errors.Failure(
                errors.NotReady(
                    "this instance stops before the request has arrived",
                    retry_after_ms=gateway_common.LEAVING_RETRY_AFTER_MS,
                )
            ) from None
        caller_request = self._deps.wire_format.read_request(
            request.method, request.raw_path, request.raw_headers, body, now_ms
        )
        if not self._serves_peers:
            caller_request = msgspec.structs.replace(
                caller_request, attempts_left=math.inf
            )
        log_context.request_id = caller_request.request_id
        log_context.table_version = table.version
        admitted = self._admit(table, caller_request, request, log_context)
        if admitted.workspace and not held.assign(admitted.workspace):
            raise request_body.no_memory("the workspace", self._deps.returns)
        return admitted

    async def _serve_isolated(
        self, admitted: admitted_request.AdmittedRequest, possibly_run: int
    ) -> web.StreamResponse:
        """Serve a request although this instance reaches no server."""
        if not self._serves_peers:
            return await peer_forwarding.PeerForwarder(
                self._deps, admitted, possibly_run
            ).serve()
        message = "this instance reaches no backend server"
        if possibly_run:
            raise errors.Failure(errors.AnswerUnknown(message))
        raise errors.Failure(
            errors.NotReady(
                message, retry_after_ms=gateway_common.LEAVING_RETRY_AFTER_MS
            )
        )

    async def _receive(
        self,
        request: web.BaseRequest,
        received_ms: float,
        held: buffer_budget.HeldBytes,
    ) -> tuple[routing_table.RoutingTable, bytes]:
        """Return the table in force and the body; raise `Failure`."""
        table = await self._wait_for_table(received_ms)
        if table is None:
            raise errors.Failure(
                errors.NoTable(
                    "no configuration has reached this instance yet",
                    retry_after_ms=self._deps.returns.return_after_ms(
                        request_body.NO_SERVICE, TABLE_RETURN_LIMIT_MS
                    ),
                )
            )
        return table, await request_body.read(
            request, table.limits.body_bytes, held, self._deps.returns
        )

    async def _wait_for_table(
        self, received_ms: float
    ) -> routing_table.RoutingTable | None:
        """Return the table in force; wait up to TABLE_WAIT_MS for it."""
        clock = self._deps.clock
        while True:
            table = self._deps.blackboard.table.read()
            waited_ms = clock.now_ms() - received_ms
            if table is not None or waited_ms >= TABLE_WAIT_MS:
                return table
            await clock.sleep_ms(TABLE_POLL_MS)

    def _admit(
        self,
        table: routing_table.RoutingTable,
        caller_request: gateway_messages.CallerRequest,
        request: web.BaseRequest,
        log_context: _RequestLogContext,
    ) -> admitted_request.AdmittedRequest:
        route = table.route(caller_request.host, caller_request.path)
        if route is None:
            raise errors.Failure(
                errors.UnknownRoute(
                    f"no route of version {table.version} matches"
                    f" {caller_request.host}{caller_request.path}"
                )
            )
        log_context.kind = route.kind
        workspace = self._find_workspace(table, route, caller_request)
        service = table.service_by_name[
            route.pick_service(self._deps.view.rng)
        ]
        deadline_ms = caller_request.received_ms + route.timeout_ms
        if caller_request.deadline_ms is not None:
            deadline_ms = min(deadline_ms, caller_request.deadline_ms)
        rank = route.rank
        if workspace is not None and workspace.rank is not None:
            rank = workspace.rank
        admitted = admitted_request.AdmittedRequest(
            request=caller_request,
            route=route,
            service=service,
            workspace=workspace.name if workspace else None,
            rank=rank,
            deadline_ms=deadline_ms,
            web_request=request,
            service_ranks=table.ranks_by_service[service.name],
            is_probe=self._deps.parts.take_probe(caller_request.shared_parts),
            from_peer=self._serves_peers,
        )
        self._refuse_blocked(admitted)
        self._refuse_if_stopping(admitted)
        self._refuse_over_deadline(admitted)
        return admitted

    def _find_workspace(
        self,
        table: routing_table.RoutingTable,
        route: routing_table.Route,
        caller_request: gateway_messages.CallerRequest,
    ) -> routing_table.Workspace | None:
        if not route.needs_key:
            return None
        workspace = table.workspace_by_key.get(caller_request.key or "")
        if workspace is None:
            raise errors.Failure(
                errors.UnknownWorkspace(
                    f"the key belongs to no workspace of version"
                    f" {table.version}"
                )
            )
        return workspace

    def _refuse_blocked(
        self, admitted: admitted_request.AdmittedRequest
    ) -> None:
        if not admitted.is_probe and gateway_common.is_blocked(
            self._deps, admitted
        ):
            raise errors.Failure(gateway_common.blocked_error())

    def _refuse_if_stopping(
        self, admitted: admitted_request.AdmittedRequest
    ) -> None:
        remaining_ms = self._time_to_stop_ms()
        if stop_admission.may_begin(self._deps, admitted, remaining_ms):
            return
        raise errors.Failure(
            errors.NotReady(
                f"this instance stops in {remaining_ms:.0f} ms",
                retry_after_ms=gateway_common.LEAVING_RETRY_AFTER_MS,
            )
        )

    def _refuse_over_deadline(
        self, admitted: admitted_request.AdmittedRequest
    ) -> None:
        if admitted.service.engine is None:
            return
        remaining_ms = admitted.deadline_ms - self._deps.clock.now_ms()
        prefill_ms = deadline_estimates.expected_stream_ms(
            admitted.request.prompt_tokens,
            0.0,
            self._deps.speeds.typical_prefill_ms_per_k(),
            self._deps.speeds.typical_event_ms(),
        )
        if deadline_estimates.can_meet_deadline(prefill_ms, remaining_ms):
            return
        raise errors.Failure(
            errors.NoCapacity(
                f"the prefill of the prompt takes {prefill_ms:.0f} ms,"
                f" the deadline is in {remaining_ms:.0f} ms"
            )
        )

    def _count_answer(
        self, log_context: _RequestLogContext, outcome: str, reason: str
    ) -> None:
        kind = (
            log_context.kind.value if log_context.kind is not None else "none"
        )
        self._deps.telemetry.answers.inc(
            {"kind": kind, "outcome": outcome, "reason": reason}
        )

    def _log_failure(
        self,
        request: web.BaseRequest,
        log_context: _RequestLogContext,
        error: errors.ServingError,
    ) -> None:
        self._count_answer(log_context, error.outcome.value, error.code)
        _log.info(
            "request failed",
            request=log_context.request_id,
            table_version=log_context.table_version,
            path=request.raw_path,
            code=error.code,
            outcome=error.outcome.value,
            status=int(error.status),
            why=error.message,
            retry_after_ms=error.retry_after_ms,
        )


def _close_after_answer(request: web.BaseRequest) -> None:
    """Let a request's connection close once the request is answered."""
    # A connection that is to be closed drops the rest of a body.
    if request.content.is_eof():
        request.protocol.close()
