"""The listener that callers reach a deployment's routes through."""

import collections.abc
import contextlib
import dataclasses

from aiohttp import web
import structlog

from oriolejunction.controllers import deadline_estimates
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import gateway_call
from oriolejunction.http import gateway_common
from oriolejunction.http import gateway_stream
from oriolejunction.http import replies
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states

# Callers reuse connections that were idle for up to their limit; closing
# them later than that crosses no request.
KEEP_ALIVE_TIMEOUT_S = 120.0
MAX_HEADER_BYTES = 65_536
MAX_HEADERS = 256
BLOCKED_RETRY_AFTER_MS = 60_000
# After a restart of all, the control group is back within about this time;
# most callers wait a second, of which a third is kept for the answer.
TABLE_WAIT_MS = 600.0
TABLE_POLL_MS = 20.0
# Any other instance will do.
LEAVING_RETRY_AFTER_MS = 20
_log = structlog.get_logger(__name__)

InFlightCounter = collections.abc.Callable[
    [], contextlib.AbstractContextManager
]


@dataclasses.dataclass
class _RequestLogContext:
    """What is known of a request so far, for the line of its failure."""

    request_id: ids.RequestId | None = None
    kind: states.RequestKind | None = None
    table_version: routing_table.TableVersion | None = None


class Gateway:
    """Reads a request, finds its route and workspace, and relays it."""

    def __init__(
        self,
        parts: gateway_common.GatewayDependencies,
        count: InFlightCounter,
        left_ms: collections.abc.Callable[[], float | None],
    ) -> None:
        """Serve; `left_ms` is the time to the stop, None while it stays."""
        self._deps = parts
        self._count_in_flight = count
        self._time_to_stop_ms = left_ms
        self._server: web.Server | None = None
        self._busy: set[web.RequestHandler] = set()

    def runner(self) -> web.ServerRunner:
        """Return the server to be set up on a listener."""
        self._server = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
        )
        return web.ServerRunner(self._server, shutdown_timeout=0.1)

    def close_idle(self) -> None:
        """Close idle connections now, and others after their answer."""
        for connection in self._server.connections if self._server else ():
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None or transport.is_closing():
            # Closed as idle while the request was being read; an engine
            # must not run what nobody can be told of.
            return web.Response(status=503)
        self._busy.add(request.protocol)
        try:
            return await self._answer(request)
        finally:
            self._busy.discard(request.protocol)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._count_in_flight():
            received = _RequestLogContext()
            try:
                response = await self._serve(request, received)
                self._count_answer(received, "answered", str(response.status))
            except errors.Failure as failure:
                self._log_failure(request, received, failure.error)
                response = replies.error_response(
                    failure.error, whole_seconds=False
                )
            if self._time_to_stop_ms() is not None and not response.prepared:
                response.force_close()
            return response

    async def _serve(
        self, request: web.BaseRequest, received: _RequestLogContext
    ) -> web.StreamResponse:
        now_ms = self._deps.clock.now_ms()
        table = await self._wait_for_table(now_ms)
        if table is None:
            raise errors.Failure(
                errors.NoTable(
                    "no configuration has reached this instance yet",
                    retry_after_ms=gateway_common.RETRY_AFTER_MS,
                )
            )
        body = await self._read_body(request, table.limits.body_bytes)
        read = self._deps.dialect.read_request(
            request.method, request.raw_path, request.raw_headers, body, now_ms
        )
        received.request_id = read.request_id
        received.table_version = table.version
        admitted = self._admit(table, read, request, received)
        if admitted.route.kind is states.RequestKind.STREAM:
            return await gateway_stream.StreamRelay(self._deps, admitted).run()
        return await gateway_call.CallRelay(self._deps, admitted).run()

    async def _wait_for_table(
        self, received_ms: float
    ) -> routing_table.RoutingTable | None:
        """Return the table in force, soon after a start once it is had."""
        clock = self._deps.clock
        while True:
            table = self._deps.blackboard.table.read()
            waited_ms = clock.now_ms() - received_ms
            if table is not None or waited_ms >= TABLE_WAIT_MS:
                return table
            await clock.sleep_ms(TABLE_POLL_MS)

    async def _read_body(self, request: web.BaseRequest, limit: int) -> bytes:
        pieces = []
        size = 0
        async for piece in request.content.iter_any():
            size += len(piece)
            if size > limit:
                raise errors.Failure(
                    errors.RequestTooLarge(f"more than {limit} bytes")
                )
            pieces.append(piece)
        return b"".join(pieces)

    def _admit(
        self,
        table: routing_table.RoutingTable,
        read: gateway_messages.CallerRequest,
        request: web.BaseRequest,
        received: _RequestLogContext,
    ) -> gateway_common.AdmittedRequest:
        route = table.route(read.host, read.path)
        if route is None:
            raise errors.Failure(
                errors.UnknownRoute(
                    f"no route of version {table.version} leads to"
                    f" {read.host}{read.path}"
                )
            )
        received.kind = route.kind
        workspace = self._find_workspace(table, route, read)
        service = table.service_by_name[
            route.pick_service(self._deps.view.rng)
        ]
        deadline_ms = read.received_ms + route.timeout_ms
        if read.deadline_ms is not None:
            deadline_ms = min(deadline_ms, read.deadline_ms)
        rank = route.rank
        if workspace is not None and workspace.rank is not None:
            rank = workspace.rank
        admitted = gateway_common.AdmittedRequest(
            request=read,
            route=route,
            service=service,
            workspace=workspace.name if workspace else None,
            rank=rank,
            deadline_ms=deadline_ms,
            web_request=request,
        )
        self._refuse_blocked(admitted)
        self._refuse_leaving(admitted)
        self._refuse_over_deadline(admitted)
        return admitted

    def _find_workspace(
        self,
        table: routing_table.RoutingTable,
        route: routing_table.Route,
        read: gateway_messages.CallerRequest,
    ) -> routing_table.Workspace | None:
        if not route.needs_key:
            return None
        workspace = table.workspace_by_key.get(read.key or "")
        if workspace is None:
            raise errors.Failure(
                errors.UnknownWorkspace(
                    f"the key belongs to no workspace of version"
                    f" {table.version}"
                )
            )
        return workspace

    def _refuse_blocked(
        self, admitted: gateway_common.AdmittedRequest
    ) -> None:
        if gateway_common.is_blocked(self._deps, admitted):
            raise errors.Failure(
                errors.NoCapacity(
                    "the request crashed the engines that began to run it",
                    retry_after_ms=BLOCKED_RETRY_AFTER_MS,
                )
            )

    def _refuse_leaving(
        self, admitted: gateway_common.AdmittedRequest
    ) -> None:
        left_ms = self._time_to_stop_ms()
        if left_ms is None or deadline_estimates.can_end_before_stop(
            self._expected_duration_ms(admitted), left_ms
        ):
            return
        raise errors.Failure(
            errors.NotReady(
                f"this instance stops in {left_ms:.0f} ms",
                retry_after_ms=LEAVING_RETRY_AFTER_MS,
            )
        )

    def _refuse_over_deadline(
        self, admitted: gateway_common.AdmittedRequest
    ) -> None:
        if admitted.service.engine is None:
            return
        left_ms = admitted.deadline_ms - self._deps.clock.now_ms()
        read_ms = deadline_estimates.expected_stream_ms(
            admitted.request.prompt_tokens,
            0.0,
            self._deps.speeds.typical_prefill_ms_per_k(),
            self._deps.speeds.typical_event_ms(),
        )
        if deadline_estimates.can_meet_deadline(read_ms, left_ms):
            return
        raise errors.Failure(
            errors.NoCapacity(
                f"reading the prompt takes {read_ms:.0f} ms,"
                f" the deadline is in {left_ms:.0f} ms"
            )
        )

    def _expected_duration_ms(
        self, admitted: gateway_common.AdmittedRequest
    ) -> float:
        engine = admitted.service.engine
        if engine is None:
            return deadline_estimates.max_call_ms(
                admitted.route.latency_goal_ms
            )
        request = admitted.request
        most = request.max_output_tokens / engine.tokens_per_event
        events = self._deps.lengths.expected(admitted.route.name, most)
        return deadline_estimates.expected_stream_ms(
            request.prompt_tokens,
            max(0.0, events - request.last_event),
            self._deps.speeds.typical_prefill_ms_per_k(),
            self._deps.speeds.typical_event_ms(),
        )

    def _count_answer(
        self, received: _RequestLogContext, outcome: str, reason: str
    ) -> None:
        kind = received.kind.value if received.kind is not None else "none"
        self._deps.telemetry.answers.inc(
            {"kind": kind, "outcome": outcome, "reason": reason}
        )

    def _log_failure(
        self,
        request: web.BaseRequest,
        received: _RequestLogContext,
        error: errors.ServingError,
    ) -> None:
        self._count_answer(received, error.outcome.value, error.code)
        _log.info(
            "request failed",
            request=received.request_id,
            table_version=received.table_version,
            path=request.raw_path,
            code=error.code,
            outcome=error.outcome.value,
            status=int(error.status),
            why=error.message,
            retry_after_ms=error.retry_after_ms,
        )
