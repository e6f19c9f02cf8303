"""Faults injected into a stand-in engine.

A stalled engine keeps its connections open and sends nothing. A crashed
engine has lost its connections and streams and drops each new connection.
"""

import asyncio
import collections.abc
import enum

import msgspec

from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction.standin import engine_load
from oriolejunction.standin import engine_stream

REFUSE = "refuse"


class FaultKind(enum.Enum):
    """Kinds of faults that ``POST /fault`` injects.

    `PAUSE` and `DIE` stall the engine. These two and `CRASH` end by
    themselves after `duration_ms`, or last until `RECOVER` if it is 0.
    `RESET` drops all streams and connections, `DROP` only the connections,
    and `TRUNCATE` ends the running streams early. `REPEAT`, `SKIP` and
    `CROSS` corrupt them, see `corrupt_streams`.
    `POISON` makes the engine crash on each request whose prompt contains
    `marker`; it restarts after `duration_ms`, or on `RECOVER` if that is 0.
    `LEAVE` with the marker ``refuse`` also makes it refuse new requests.
    """

    DIE = "die"
    RESET = "reset"
    CRASH = "crash"
    PAUSE = "pause"
    TRUNCATE = "truncate"
    REPEAT = "repeat"
    SKIP = "skip"
    CROSS = "cross"
    DROP = "drop"
    POISON = "poison"
    LEAVE = "leave"
    RECOVER = "recover"


class EngineFaults:
    """The active faults of an engine and the connections they affect."""

    def __init__(
        self,
        running: collections.abc.Callable[
            [], list[engine_stream.EngineStream]
        ],
        discard_streams: collections.abc.Callable[[], None],
    ) -> None:
        self.crashed = False
        self.crashes = 0
        self.leaving_since_ms: float | None = None
        self.refuses_when_leaving = False
        self.truncations = 0
        self.restart_delay_ms_by_marker: dict[str, int] = {}
        self.connections: set[asyncio.Transport] = set()
        self._responsive = asyncio.Event()
        self._responsive.set()
        self._running = running
        self._discard_streams = discard_streams

    @property
    def leaving(self) -> bool:
        """Return whether the engine is leaving."""
        return self.leaving_since_ms is not None

    async def wait_until_responsive(self) -> None:
        """Wait while the engine is stalled."""
        await self._responsive.wait()

    def apply(self, fault: engine_protocol.InjectedFault) -> None:
        """Inject a fault; raise `ValueError` for an unknown kind."""
        kind = FaultKind(fault.kind)
        match kind:
            case FaultKind.DIE | FaultKind.PAUSE:
                self._responsive.clear()
                self._recover_after(fault.duration_ms)
            case FaultKind.RESET:
                self._drop_all()
            case FaultKind.CRASH:
                self.crash(fault.duration_ms)
            case FaultKind.TRUNCATE:
                self._truncate()
            case FaultKind.REPEAT | FaultKind.SKIP | FaultKind.CROSS:
                corrupt_streams(self._running(), kind)
            case FaultKind.DROP:
                self._drop_connections()
            case FaultKind.POISON:
                marker = fault.marker
                self.restart_delay_ms_by_marker[marker] = fault.duration_ms
            case FaultKind.LEAVE:
                self.leaving_since_ms = engine_load.now_ms()
                self.refuses_when_leaving = fault.marker == REFUSE
            case FaultKind.RECOVER:
                self.recover()

    def crash(self, restart_after_ms: int) -> None:
        """Drop all connections and streams.

        The engine restarts after `restart_after_ms`, or on `recover` if 0.
        """
        self.crashed = True
        self.crashes += 1
        self._drop_all()
        self._recover_after(restart_after_ms)

    def recover(self) -> None:
        """Respond again; a stalled engine still has its streams."""
        self.crashed = False
        self._responsive.set()

    def crash_if_poisoned(self, stream: engine_stream.EngineStream) -> bool:
        """Crash if the stream's prompt is poisonous; return whether it is."""
        for marker, delay_ms in self.restart_delay_ms_by_marker.items():
            if marker in stream.request.prompt:
                self.crash(delay_ms)
                return True
        return False

    def _recover_after(self, duration_ms: int) -> None:
        if duration_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(duration_ms / 1000.0, self.recover)

    def _drop_all(self) -> None:
        self._discard_streams()
        self._drop_connections()

    def _drop_connections(self) -> None:
        for transport in list(self.connections):
            transport.abort()

    def _truncate(self) -> None:
        self.truncations += 1
        for stream in self._running():
            stream.cancelled = True
            stream.changed.set()


def corrupt_streams(
    streams: list[engine_stream.EngineStream], kind: FaultKind
) -> None:
    """Repeat or skip an event of each stream, or add a foreign event.

    `CROSS` adds an event of another stream, or a made-up one if there is
    only one stream.
    """
    last_events = [s.event_by_position[-1:] for s in streams]
    for number, stream in enumerate(streams):
        match kind:
            case FaultKind.REPEAT:
                _append(stream, last_events[number])
            case FaultKind.SKIP:
                stream.events_to_skip += 1
            case FaultKind.CROSS if len(streams) == 1:
                _append(stream, [_foreign_event(stream)])
            case FaultKind.CROSS:
                _append(stream, last_events[number - 1])


def _foreign_event(stream: engine_stream.EngineStream) -> bytes:
    request = msgspec.structs.replace(
        stream.request,
        generation=ids.GenerationId("another"),
        prompt=stream.request.prompt + " another",
    )
    other = engine_stream.open_stream(request)
    engine_stream.step(other)
    return other.event_by_position[0]


def _append(stream: engine_stream.EngineStream, events: list[bytes]) -> None:
    for event in events:
        stream.emit(stream.offset, event)
