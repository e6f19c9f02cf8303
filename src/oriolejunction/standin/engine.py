"""Stand-in model engine: continuous batching over the token chain."""

import asyncio
import collections
import dataclasses
import random
import secrets

from aiohttp import web
import msgspec

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction.standin import engine_faults
from oriolejunction.standin import engine_load
from oriolejunction.standin import engine_orders
from oriolejunction.standin import engine_stream
from oriolejunction.standin import prefix_cache
from oriolejunction.standin import version_faults

STEP_BASE_MS = 5.0
FINISHED_STREAM_TTL_MS = 5_000.0
_encode = msgspec.json.Encoder().encode
_decode_request = msgspec.json.Decoder(engine_protocol.GenerateRequest).decode
_decode_fault = msgspec.json.Decoder(engine_protocol.InjectedFault).decode


@dataclasses.dataclass(frozen=True)
class EngineOptions:
    """Settings of an engine.

    `slowdown` multiplies the duration of each step. Load reports are
    delayed by `report_lag_ms` and cache events by `cache_lag_ms`;
    `cache_event_loss` is the fraction of cache events that is lost.
    `software` is the version of the engine's own software, and `fault` what
    is wrong with it; its route is the model of a request.
    """

    engine_id: str
    model: str
    version: str
    slowdown: float = 1.0
    max_running: int = 32
    prefill_ms_per_token: float = 0.02
    kv_limit_tokens: int = 400_000
    cache_blocks: int = 512
    report_lag_ms: float = 0.0
    cache_lag_ms: float = 500.0
    cache_event_loss: float = 0.1
    checks_fencing: bool = False
    software: str = ""
    fault: version_faults.VersionFault = version_faults.NO_FAULT


class StandinEngine:
    """A simulated engine: streams, batch loop and injected faults."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.tokens_computed = 0
        self.requests_run = 0
        self.runs_by_prompt: collections.Counter[str] = collections.Counter()
        self.reattached = 0
        self.tokens_prefilled_again = 0
        self.faults = engine_faults.EngineFaults(
            self._running, self._discard_streams
        )
        self.orders = engine_orders.EngineOrders(
            clocks.SystemClock(),
            options.checks_fencing,
            (commands.OrderTarget(options.model, options.version),),
            lambda: bool(self._running()),
        )
        self._incarnation = secrets.token_hex(4)
        self._stream_by_id: dict[str, engine_stream.EngineStream] = {}
        self._cache = prefix_cache.PrefixCache(
            options.cache_blocks,
            options.cache_lag_ms,
            options.cache_event_loss,
            options.engine_id,
        )
        self._prefill = engine_load.PrefillQueue(
            options.prefill_ms_per_token * options.slowdown, self._cache
        )
        self._reports = engine_load.DelayedReports(options.report_lag_ms)
        self.requests_after_leaving: list[float] = []
        self._rng = random.Random(options.engine_id)
        self._started_ms = engine_load.now_ms()
        self._steps = 0
        self._work_available = asyncio.Event()
        self._batch_task: asyncio.Task | None = None

    def application(self) -> web.Application:
        """Return the HTTP application of this engine."""
        app = web.Application(middlewares=[self._drop_when_crashed])
        app.add_routes(
            [
                web.post("/v1/generate", self._generate),
                web.get("/v1/streams/{stream_id}", self._resume),
                web.delete("/v1/streams/{stream_id}", self._cancel),
                web.get("/load", self._load),
                web.get("/cache_events", self._cache_events),
                web.get("/counts", self._counts),
                web.post("/fault", self._fault),
                *self.orders.routes(),
            ]
        )
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._stop)
        return app

    async def _start(self, app: web.Application) -> None:
        self._batch_task = asyncio.create_task(self._batch_loop())
        self._report_task = asyncio.create_task(self._sample_load())

    async def _stop(self, app: web.Application) -> None:
        self._batch_task.cancel()
        self._report_task.cancel()

    def _discard_streams(self) -> None:
        self._incarnation = secrets.token_hex(4)
        self._cache.clear()
        for stream in self._stream_by_id.values():
            stream.cancelled = True
            stream.changed.set()
        self._stream_by_id.clear()

    def _unfinished(self) -> list[engine_stream.EngineStream]:
        return [s for s in self._stream_by_id.values() if s.running]

    def generations_running(self) -> set[ids.GenerationId]:
        """Return the generations that have an unfinished stream here."""
        return {stream.request.generation for stream in self._unfinished()}

    def _running(self) -> list[engine_stream.EngineStream]:
        unfinished = self._unfinished()
        unfinished.sort(key=lambda stream: -stream.request.priority)
        return engine_load.select_running(
            unfinished, self.options.max_running, self.options.kv_limit_tokens
        )

    async def _batch_loop(self) -> None:
        while True:
            running = self._running()
            if not running:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await self.faults.wait_until_responsive()
            load = 1.0 + len(running) / self.options.max_running
            delay_ms = STEP_BASE_MS * self.options.slowdown * load
            await asyncio.sleep(delay_ms / 1000.0)
            await self.faults.wait_until_responsive()
            self._step(self._prefill.ready(running))

    def _step(self, running: list[engine_stream.EngineStream]) -> None:
        for stream in running:
            if self.faults.crash_if_poisoned(stream):
                return
        self._steps += 1
        for stream in running:
            if stream.running and not self._steps % stream.steps_per_token:
                engine_stream.step(stream)
                self.tokens_computed += 1
                if stream.finished:
                    self._schedule_removal(stream)

    def _schedule_removal(self, stream: engine_stream.EngineStream) -> None:
        self._prefill.remove(stream)
        request = stream.request
        stream_id = f"{request.generation}.{request.attempt}"
        asyncio.get_running_loop().call_later(
            FINISHED_STREAM_TTL_MS / 1000.0,
            self._stream_by_id.pop,
            stream_id,
            None,
        )

    @web.middleware
    async def _drop_when_crashed(self, request, handler):
        if self.faults.crashed and request.path not in ("/fault", "/counts"):
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        return await handler(request)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        await self.faults.wait_until_responsive()
        body = _decode_request(await request.read())
        if not self.orders.is_loaded(body.model, body.version):
            return web.json_response({"error": "wrong model"}, status=409)
        if self.faults.refuses_when_leaving and self.faults.leaving:
            return web.Response(
                status=503, headers={engine_protocol.LEAVING_HEADER: "1"}
            )
        answer = version_faults.draw(
            self.options.fault,
            engine_load.now_ms() - self._started_ms,
            len(self._running()) + 1,
            body.model,
            self._rng,
        )
        if answer.fails:
            return web.json_response({"error": "broken version"}, status=500)
        stream = engine_stream.open_stream(body)
        stream.steps_per_token = round(answer.slowdown)
        self.requests_run += 1
        self.runs_by_prompt[body.prompt] += 1
        self._record_if_leaving()
        self._prefill.add(body)
        self.tokens_prefilled_again += len(body.forced_ids)
        self._stream_by_id[f"{body.generation}.{body.attempt}"] = stream
        self._work_available.set()
        return await self._send_events(request, stream, len(body.forced_ids))

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        await self.faults.wait_until_responsive()
        stream = self._stream_by_id.get(request.match_info["stream_id"])
        offset = int(request.query["offset"])
        if stream is None or stream.cancelled or offset < stream.first_offset:
            return web.json_response({"error": "no such stream"}, status=404)
        self.reattached += 1
        return await self._send_events(request, stream, offset)

    async def _send_events(
        self,
        request: web.Request,
        stream: engine_stream.EngineStream,
        offset: int,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        transport = request.transport
        if transport is not None:
            self.faults.connections.add(transport)
        position = stream.position_of(offset)
        try:
            await response.prepare(request)
            while not stream.cancelled:
                await self.faults.wait_until_responsive()
                events = stream.event_by_position[position:]
                if events:
                    position += len(events)
                    await response.write(b"".join(events))
                    continue
                if stream.finished:
                    break
                stream.changed.clear()
                await stream.changed.wait()
        except ConnectionResetError:
            pass  # the client disconnected, or a fault dropped the connection
        finally:
            self.faults.connections.discard(transport)
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        await self.faults.wait_until_responsive()
        stream = self._stream_by_id.get(request.match_info["stream_id"])
        if stream is not None:
            stream.cancelled = True
            stream.changed.set()
            self._schedule_removal(stream)
        return web.json_response({"cancelled": stream is not None})

    async def _load(self, request: web.Request) -> web.Response:
        await self.faults.wait_until_responsive()
        report = self._reports.latest_visible(self._current_load())
        return web.Response(
            body=_encode(report), content_type="application/json"
        )

    async def _sample_load(self) -> None:
        while True:
            self._reports.record(self._current_load())
            await asyncio.sleep(engine_load.REPORT_INTERVAL_MS / 1000.0)

    def _current_load(self) -> engine_protocol.LoadReport:
        unfinished = self._unfinished()
        running = min(len(unfinished), self.options.max_running)
        return engine_protocol.LoadReport(
            engine_id=self.options.engine_id,
            incarnation=self._incarnation,
            running=running,
            waiting=len(unfinished) - running,
            tokens_per_s=1000.0 / (STEP_BASE_MS * self.options.slowdown),
            leaving=self.faults.leaving,
            max_running=self.options.max_running,
            kv_tokens=sum(map(engine_load.kv_tokens, unfinished)),
            kv_limit_tokens=self.options.kv_limit_tokens,
        )

    def _record_if_leaving(self) -> None:
        if self.faults.leaving_since_ms is not None:
            since_ms = engine_load.now_ms() - self.faults.leaving_since_ms
            self.requests_after_leaving.append(since_ms)

    async def _cache_events(self, request: web.Request) -> web.Response:
        await self.faults.wait_until_responsive()
        since = int(request.query.get("since", "0"))
        reply = engine_protocol.CacheEvents(
            self._incarnation, self._cache.events_since(since)
        )
        return web.Response(
            body=_encode(reply), content_type="application/json"
        )

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "tokens_computed": self.tokens_computed,
                "requests_run": self.requests_run,
            }
        )

    async def _fault(self, request: web.Request) -> web.Response:
        fault = _decode_fault(await request.read())
        try:
            self.faults.apply(fault)
        except ValueError:
            return web.json_response({"error": "no such fault"}, status=400)
        return web.json_response({"kind": fault.kind})
