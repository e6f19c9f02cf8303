"""Stand-in model engine: continuous batching over the token chain."""

import asyncio
import codecs
import dataclasses
import secrets

from aiohttp import web
import msgspec

from oriolejunction import engine_protocol
from oriolejunction.standin import chain
from oriolejunction import states

STEP_BASE_MS = 5.0
STREAM_LINGER_MS = 5_000.0
_encode = msgspec.json.Encoder().encode
_decode_request = msgspec.json.Decoder(engine_protocol.GenerateRequest).decode
_decode_event = msgspec.json.Decoder(engine_protocol.EngineEvent).decode
_decode_fault = msgspec.json.Decoder(engine_protocol.Fault).decode


@dataclasses.dataclass(frozen=True)
class EngineOptions:
    """What an engine is; `slowdown` multiplies the time of each step."""

    engine_id: str
    model: str
    version: str
    slowdown: float = 1.0
    max_running: int = 32


@dataclasses.dataclass
class EngineStream:
    """One attempt being generated, kept for a while to be resumed."""

    request: engine_protocol.GenerateRequest
    natural_length: int
    state: int
    nonce: int | None
    previous: int | None
    decoder: codecs.IncrementalDecoder
    offset: int
    event_by_position: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def natural_length(prompt: str, state: int) -> int:
    """Return the length after which a generation stops by itself.

    A marker ``[[length=N]]`` in the prompt sets it.
    """
    _, marker, rest = prompt.partition("[[length=")
    digits = rest.partition("]]")[0]
    if marker and digits.isdecimal():
        return int(digits)
    return 16 + state % 48


def open_stream(request: engine_protocol.GenerateRequest) -> EngineStream:
    """Return a stream that goes on after the forced tokens."""
    state = chain.start_state(request.version, request.adapter, request.prompt)
    length = natural_length(request.prompt, state)
    for token in request.forced_ids:
        state = chain.following_state(state, token)
    sampled = request.sampling.temperature > 0
    offset = len(request.forced_ids)
    return EngineStream(
        request=request,
        natural_length=length,
        state=state,
        nonce=secrets.randbits(64) if sampled else None,
        previous=request.forced_ids[-1] if offset else None,
        decoder=codecs.getincrementaldecoder("utf-8")("replace"),
        offset=offset,
        first_offset=offset,
    )


def step(stream: EngineStream) -> None:
    """Generate one token, or finish the stream."""
    request = stream.request
    end = min(request.max_tokens, stream.natural_length)
    if stream.offset >= end:
        _finish(stream)
        return
    token = chain.token_at(stream.state, stream.nonce)
    raw = chain.token_bytes(stream.previous, token)
    last = stream.offset + 1 >= end
    text = stream.decoder.decode(raw, final=last)
    _emit(
        stream,
        engine_protocol.EngineEvent(
            generation=request.generation,
            attempt=request.attempt,
            offset=stream.offset,
            ids=(token,),
            text=text,
            safe=last or not chain.is_split(token),
        ),
    )
    stream.state = chain.following_state(stream.state, token)
    stream.previous = token
    stream.offset += 1
    if last:
        _finish(stream)


def _finish(stream: EngineStream) -> None:
    request = stream.request
    by_length = request.max_tokens <= stream.natural_length
    stream.finished = True
    _emit(
        stream,
        engine_protocol.EngineEvent(
            generation=request.generation,
            attempt=request.attempt,
            offset=stream.offset,
            finish_reason=(
                states.FinishReason.LENGTH
                if by_length
                else states.FinishReason.STOP
            ),
            prompt_tokens=len(request.prompt.split()),
        ),
    )


def _emit(stream: EngineStream, event: engine_protocol.EngineEvent) -> None:
    stream.event_by_position.append(b"data: " + _encode(event) + b"\n\n")
    stream.changed.set()


class StandinEngine:
    """An engine with its streams, batch loop and provoked faults."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.tokens_computed = 0
        self.requests_run = 0
        self._incarnation = secrets.token_hex(4)
        self._stream_by_id: dict[str, EngineStream] = {}
        self._alive = asyncio.Event()
        self._alive.set()
        self._truncating = False
        self._leaving = False
        self._work = asyncio.Event()
        self._batch_task: asyncio.Task | None = None
        self._transports: set[asyncio.Transport] = set()

    def application(self) -> web.Application:
        """Return the HTTP application of this engine."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/generate", self._generate),
                web.get("/v1/streams/{stream_id}", self._resume),
                web.delete("/v1/streams/{stream_id}", self._cancel),
                web.get("/load", self._load),
                web.get("/counts", self._counts),
                web.post("/fault", self._fault),
            ]
        )
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._stop)
        return app

    async def _start(self, app: web.Application) -> None:
        self._batch_task = asyncio.create_task(self._batch_loop())

    async def _stop(self, app: web.Application) -> None:
        self._batch_task.cancel()

    def _running(self) -> list[EngineStream]:
        unfinished = [
            stream
            for stream in self._stream_by_id.values()
            if not (stream.finished or stream.cancelled)
        ]
        unfinished.sort(key=lambda stream: -stream.request.priority)
        return unfinished[: self.options.max_running]

    async def _batch_loop(self) -> None:
        while True:
            running = self._running()
            if not running:
                self._work.clear()
                await self._work.wait()
                continue
            await self._alive.wait()
            load = 1.0 + len(running) / self.options.max_running
            delay_ms = STEP_BASE_MS * self.options.slowdown * load
            await asyncio.sleep(delay_ms / 1000.0)
            await self._alive.wait()
            for stream in running:
                step(stream)
                self.tokens_computed += 1

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        await self._alive.wait()
        body = _decode_request(await request.read())
        wrong = (
            body.model != self.options.model
            or body.version != self.options.version
        )
        if wrong:
            return web.json_response({"error": "wrong model"}, status=409)
        stream = open_stream(body)
        self.requests_run += 1
        self._stream_by_id[f"{body.generation}.{body.attempt}"] = stream
        self._work.set()
        return await self._follow(request, stream, body.forced_ids)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        await self._alive.wait()
        stream = self._stream_by_id.get(request.match_info["stream_id"])
        offset = int(request.query["offset"])
        if stream is None or stream.cancelled or offset < stream.first_offset:
            return web.json_response({"error": "no such stream"}, status=404)
        return await self._follow(request, stream, range(offset))

    async def _follow(self, request, stream, before) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        self._transports.add(request.transport)
        position = len(before) - stream.first_offset
        try:
            await response.prepare(request)
            while not stream.cancelled:
                await self._alive.wait()
                if self._truncating:
                    break
                events = stream.event_by_position[position:]
                if events:
                    position += len(events)
                    await response.write(b"".join(events))
                    continue
                if stream.finished:
                    break
                stream.changed.clear()
                await stream.changed.wait()
            return response
        finally:
            self._transports.discard(request.transport)

    async def _cancel(self, request: web.Request) -> web.Response:
        stream = self._stream_by_id.get(request.match_info["stream_id"])
        if stream is not None:
            stream.cancelled = True
            stream.changed.set()
        return web.json_response({"cancelled": stream is not None})

    async def _load(self, request: web.Request) -> web.Response:
        await self._alive.wait()
        unfinished = sum(
            not (s.finished or s.cancelled)
            for s in self._stream_by_id.values()
        )
        running = min(unfinished, self.options.max_running)
        report = engine_protocol.LoadReport(
            engine_id=self.options.engine_id,
            incarnation=self._incarnation,
            running=running,
            waiting=unfinished - running,
            tokens_per_s=1000.0 / (STEP_BASE_MS * self.options.slowdown),
            leaving=self._leaving,
        )
        return web.Response(
            body=_encode(report), content_type="application/json"
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
        match fault.kind:
            case "die":
                self._alive.clear()
            case "reset":
                self._reset()
            case "truncate":
                await self._truncate()
            case "leave":
                self._leaving = True
            case _:
                return web.json_response({"error": "no fault"}, status=400)
        return web.json_response({"kind": fault.kind})

    def _reset(self) -> None:
        self._incarnation = secrets.token_hex(4)
        self._stream_by_id.clear()
        for transport in list(self._transports):
            transport.abort()

    async def _truncate(self) -> None:
        self._truncating = True
        for stream in self._stream_by_id.values():
            stream.changed.set()
        await asyncio.sleep(0.05)
        self._truncating = False
        self._stream_by_id.clear()


def decode_event(raw: bytes) -> engine_protocol.EngineEvent:
    """Return the event of one encoded server-sent event."""
    return _decode_event(raw.removeprefix(b"data: "))
