"""One attempt on a stand-in engine and the events that it generates."""

import asyncio
import bisect
import codecs
import dataclasses
import secrets

import msgspec

from oriolejunction import engine_protocol
from oriolejunction.standin import chain
from oriolejunction import states

NONCE_BITS = 64
_encode = msgspec.json.Encoder().encode
_decode_event = msgspec.json.Decoder(engine_protocol.EngineEvent).decode


@dataclasses.dataclass
class EngineStream:
    """One attempt; it stays available for resumption after it finishes.

    `offset_by_position` holds the first token offset of each event.
    `events_to_skip` counts the events that the skip fault still drops, and
    `steps_per_token` is above 1 if the engine's version slows the stream.
    """

    request: engine_protocol.GenerateRequest
    natural_length: int
    state: int
    nonce: int | None
    previous: int | None
    decoder: codecs.IncrementalDecoder
    offset: int
    event_by_position: list[bytes] = dataclasses.field(default_factory=list)
    offset_by_position: list[int] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    events_to_skip: int = 0
    steps_per_token: int = 1
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def running(self) -> bool:
        """Return whether the engine still generates this attempt."""
        return not (self.finished or self.cancelled)

    def position_of(self, offset: int) -> int:
        """Return the position of the first event at or after an offset."""
        return bisect.bisect_left(self.offset_by_position, offset)

    def emit(self, offset: int, event: bytes) -> None:
        """Append an encoded event and wake the connections that send it."""
        self.offset_by_position.append(offset)
        self.event_by_position.append(event)
        self.changed.set()


def natural_length(prompt: str, state: int) -> int:
    """Return the number of tokens after which a generation stops.

    A marker ``[[length=N]]`` in the prompt sets it.
    """
    _, marker, rest = prompt.partition("[[length=")
    digits = rest.partition("]]")[0]
    if marker and digits.isdecimal():
        return int(digits)
    return 16 + state % 48


def open_stream(request: engine_protocol.GenerateRequest) -> EngineStream:
    """Return a stream that continues after the forced tokens."""
    state = chain.initial_state(
        request.version, request.adapter, request.prompt
    )
    length = natural_length(request.prompt, state)
    for token in request.forced_ids:
        state = chain.next_state(state, token)
    offset = len(request.forced_ids)
    return EngineStream(
        request=request,
        natural_length=length,
        state=state,
        nonce=_nonce(request.sampling),
        previous=request.forced_ids[-1] if offset else None,
        decoder=codecs.getincrementaldecoder("utf-8")("replace"),
        offset=offset,
        first_offset=offset,
    )


def _nonce(sampling: engine_protocol.Sampling) -> int | None:
    if sampling.temperature <= 0:
        return None
    if sampling.seed is not None:
        return sampling.seed % (1 << NONCE_BITS)
    return secrets.randbits(NONCE_BITS)


def step(stream: EngineStream) -> None:
    """Generate one token, or finish the stream."""
    request = stream.request
    end = min(request.max_tokens, stream.natural_length)
    if stream.offset >= end:
        _finish(stream)
        return
    token = chain.next_token(stream.state, stream.nonce)
    encoded = chain.token_bytes(stream.previous, token)
    last = stream.offset + 1 >= end
    _emit(
        stream,
        engine_protocol.EngineEvent(
            generation=request.generation,
            attempt=request.attempt,
            offset=stream.offset,
            ids=(token,),
            text=stream.decoder.decode(encoded, final=last),
            safe=last or not chain.is_split(token),
            prompt_tokens=_prompt_tokens(stream),
        ),
    )
    stream.state = chain.next_state(stream.state, token)
    stream.previous = token
    stream.offset += 1
    if last:
        _finish(stream)


def decode_event(encoded: bytes) -> engine_protocol.EngineEvent:
    """Decode one server-sent event."""
    return _decode_event(encoded.removeprefix(b"data: "))


def encode_event(event: engine_protocol.EngineEvent) -> bytes:
    """Encode an event as one server-sent event."""
    return b"data: " + _encode(event) + b"\n\n"


def _finish(stream: EngineStream) -> None:
    request = stream.request
    length_limited = request.max_tokens <= stream.natural_length
    stream.finished = True
    _emit(
        stream,
        engine_protocol.EngineEvent(
            generation=request.generation,
            attempt=request.attempt,
            offset=stream.offset,
            finish_reason=(
                states.FinishReason.LENGTH
                if length_limited
                else states.FinishReason.STOP
            ),
            prompt_tokens=len(request.prompt.split()),
        ),
    )


def _prompt_tokens(stream: EngineStream) -> int:
    if stream.offset > stream.first_offset:
        return 0
    return len(stream.request.prompt.split())


def _emit(stream: EngineStream, event: engine_protocol.EngineEvent) -> None:
    if stream.events_to_skip:
        stream.events_to_skip -= 1
        return
    stream.emit(event.offset, encode_event(event))
