"""The callers' listener: generations, plain services, health."""

import collections.abc
import dataclasses
import secrets

from aiohttp import web
import aioprometheus
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_runner
from oriolejunction.controllers import idempotency_keys
from oriolejunction.controllers import journal_owner
from oriolejunction.controllers import ledger
from oriolejunction import errors
from oriolejunction.http import admission_gate
from oriolejunction.http import answer_stream
from oriolejunction.http import call_messages
from oriolejunction.http import deadlines
from oriolejunction.http import never_twice_calls
from oriolejunction.http import openai_answers
from oriolejunction.http import openai_requests
from oriolejunction.http import replies
from oriolejunction.http import resumption
from oriolejunction.http import service_calls
from oriolejunction import ids
from oriolejunction.peers import journal_client
from oriolejunction import states
from oriolejunction import telemetry as metrics

_log = structlog.get_logger(__name__)
_SERVING_STATES = (states.InstanceState.READY, states.InstanceState.LEAVING)


@dataclasses.dataclass(frozen=True)
class CallerDependencies:
    """Dependencies of the callers' listener."""

    instance_id: ids.InstanceId
    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    telemetry: metrics.Telemetry
    runner: generation_runner.RunnerDependencies
    services: service_calls.ServiceCalls
    gate: admission_gate.AdmissionGate
    journals: journal_client.JournalClient
    new_generation_id: collections.abc.Callable[[], ids.GenerationId]
    max_body_bytes: int


def application(deps: CallerDependencies) -> web.Application:
    """Return the application of the callers' listener."""
    app = web.Application(
        middlewares=[replies.error_middleware],
        client_max_size=deps.max_body_bytes,
    )
    routes = _Routes(deps)
    app.add_routes(
        [
            web.post("/v1/completions", routes.completions),
            web.post("/v1/chat/completions", routes.chat),
            web.get("/v1/models", routes.models),
            web.get("/v1/idempotency-key", routes.idempotency_key),
            web.route("*", "/services/{service}/{path:.*}", routes.service),
            web.get("/ready", routes.ready),
            web.get("/live", routes.live),
            web.get("/metrics", routes.metrics),
        ]
    )
    return app


def serving_configuration(
    deps: CallerDependencies,
) -> configuration.Configuration:
    """Return the configuration to serve under.

    Raise `Failure` with `NotReady` without a lease, before the other
    instances are known, or while draining. A leaving instance still serves
    the requests that the load balancer sends.
    """
    board = deps.blackboard
    current = board.in_force.read()
    ready = (
        board.instance_state.read() in _SERVING_STATES
        and current is not None
        and bool(board.instance_by_id.read())
        and board.lease.read().until_ms > deps.clock.now_ms()
    )
    if not ready:
        raise errors.Failure(
            errors.NotReady("instance is not ready", retry_after_ms=500)
        )
    return current.configuration


def require_workspace(
    request: web.Request, content: configuration.Configuration
) -> configuration.Workspace:
    """Return the workspace of the bearer key or raise `Failure`."""
    workspace = content.workspace_of_key(replies.bearer_token(request))
    if workspace is None:
        raise errors.Failure(errors.UnknownWorkspace("unknown bearer key"))
    return workspace


class _Routes:
    def __init__(self, deps: CallerDependencies) -> None:
        self._deps = deps

    async def completions(self, request: web.Request) -> web.StreamResponse:
        return await self._generate(request, chat=False)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        return await self._generate(request, chat=True)

    async def _generate(
        self, request: web.Request, chat: bool
    ) -> web.StreamResponse:
        deps = self._deps
        content = serving_configuration(deps)
        workspace = require_workspace(request, content)
        body = openai_requests.parse(await request.read(), chat)
        generation_request = openai_requests.generation_request(
            body, workspace.workspace_id, content
        )
        answer = await self._new_or_resumed_answer(
            request, generation_request, bool(body.stream)
        )
        generation = answer.generation
        writer = openai_answers.AnswerWriter(
            generation.generation_id, body.model, chat
        )
        deliveries = deps.gate.run_admitted(
            generation,
            deadlines.admission_request(request, workspace, generation),
            generation_runner.run(generation, deps.runner),
        )
        if body.stream:
            usage = bool(
                body.stream_options and body.stream_options.include_usage
            )
            stream = answer_stream.AnswerStream(
                request, answer, deps.journals, writer
            )
            return await self._stream(stream, generation, deliveries, usage)
        text = "".join(
            [delivery.text async for batch in deliveries for delivery in batch]
        )
        self._count_outcome(generation, "whole")
        return web.Response(
            body=writer.complete_body(generation, text),
            content_type="application/json",
            headers=openai_answers.seed_headers(generation),
        )

    async def _new_or_resumed_answer(
        self,
        request: web.Request,
        generation_request: generations.GenerationRequest,
        streamed: bool,
    ) -> resumption.PendingAnswer:
        deps = self._deps
        if streamed and resumption.LAST_EVENT_ID_HEADER in request.headers:
            return await resumption.resume(
                request, generation_request, deps.journals
            )
        generation = generations.Generation(
            deps.new_generation_id(), generation_request
        )
        journal = None
        if journal_owner.needs_journal(generation_request, streamed):
            journal = deps.journals.new_journal(
                generation.generation_id, generation_request
            )
        return resumption.PendingAnswer(generation, journal)

    async def _stream(
        self, stream, generation, deliveries, include_usage
    ) -> web.StreamResponse:
        try:
            await stream.run(deliveries, include_usage)
        except errors.Failure as failure:
            self._count_outcome(generation, failure.error.code)
            if not stream.prepared:
                raise
            return stream.response
        self._count_outcome(generation, "whole")
        return stream.response

    def _count_outcome(
        self, generation: generations.Generation, outcome: str
    ) -> None:
        telemetry = self._deps.telemetry
        telemetry.requests.inc({"kind": "generation", "outcome": outcome})
        telemetry.tokens.add({}, len(generation.delivered_ids))

    async def models(self, request: web.Request) -> web.Response:
        content = serving_configuration(self._deps)
        require_workspace(request, content)
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {"id": model.name, "object": "model"}
                    for model in content.models
                ],
            }
        )

    async def service(self, request: web.Request) -> web.Response:
        content = _configuration_for_call(request, self._deps)
        workspace = require_workspace(request, content)
        name = request.match_info["service"]
        service = content.service(name)
        if service is None:
            raise errors.Failure(
                errors.UnknownService(f"there is no service {name!r}")
            )
        call = await _service_call(request)
        with self._deps.gate.service_call(workspace):
            answer = await self._deps.services.call(
                service, workspace.workspace_id, call
            )
        return web.Response(
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )

    async def idempotency_key(self, request: web.Request) -> web.Response:
        require_workspace(request, serving_configuration(self._deps))
        key = idempotency_keys.new_key(
            self._deps.clock.wall_ms(), secrets.token_hex(16)
        )
        return web.json_response(
            {"key": key, "valid_hours": ledger.RETENTION_HOURS}
        )

    async def ready(self, request: web.Request) -> web.Response:
        serving_configuration(self._deps)
        state = self._deps.blackboard.instance_state.read()
        if state is not states.InstanceState.READY:
            raise errors.Failure(
                errors.NotReady("instance is leaving", retry_after_ms=500)
            )
        current = self._deps.blackboard.in_force.read()
        return web.json_response({"ready": True, "revision": current.revision})

    async def live(self, request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def metrics(self, request: web.Request) -> web.Response:
        self._deps.telemetry.record_process()
        journals = self._deps.journals
        self._deps.telemetry.record_journal(
            journals.tokens_sent, journals.bytes_sent
        )
        content, headers = aioprometheus.render(
            self._deps.telemetry.registry,
            request.headers.getall("Accept", []),
        )
        return web.Response(body=content, headers=headers)


def _configuration_for_call(
    request: web.Request, deps: CallerDependencies
) -> configuration.Configuration:
    """Return the configuration to serve a call to a plain service under.

    Raise `Failure` with `NotReady`, or with `CallUnconfirmed` for a call
    with a key: an earlier request with the key may have run, and only the
    ledger, which this instance cannot ask now, could prove that none did.
    """
    try:
        return serving_configuration(deps)
    except errors.Failure:
        if "Idempotency-Key" not in request.headers:
            raise
        raise errors.Failure(never_twice_calls.unconfirmed_error())


async def _service_call(request: web.Request) -> call_messages.ServiceCall:
    path = "/" + request.match_info["path"]
    raw = request.rel_url.raw_path
    return call_messages.ServiceCall(
        method=request.method,
        path=path,
        path_and_query="/"
        + raw.split("/", 3)[3]
        + (f"?{query}" if (query := request.rel_url.raw_query_string) else ""),
        content_type=request.content_type,
        key=request.headers.get("Idempotency-Key", ""),
        body=await request.read(),
        void=request.headers.get("Idempotency-Void", "").lower() == "true",
    )
