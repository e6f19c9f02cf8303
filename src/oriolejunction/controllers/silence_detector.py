"""Detection of stalled engines, adapted to the speed of each engine.

The gap between the events of a stream is estimated as TCP estimates round
trip times: by a smoothed mean and a smoothed deviation. Decoding and the
wait for the first event have separate estimates. All streams of an engine
share its estimates.
"""

import collections

import msgspec

from oriolejunction import ids

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
MIN_SAMPLES = 4

StreamKey = tuple[ids.GenerationId, ids.AttemptNumber]


class SilenceBounds(msgspec.Struct, frozen=True):
    """Tolerated silence: mean plus deviations, within floor and ceiling."""

    deviations: float
    floor_ms: float
    ceiling_ms: float

    def limit_ms(self, estimate: "GapEstimate") -> float:
        """Return the silence in ms after which a stream is suspected."""
        if estimate.samples < MIN_SAMPLES:
            return self.ceiling_ms
        expected = estimate.mean_ms + self.deviations * estimate.deviation_ms
        return min(self.ceiling_ms, max(self.floor_ms, expected))


class GapEstimate(msgspec.Struct):
    """Smoothed mean and deviation of the gap between events, in ms."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0
    samples: int = 0

    def add(self, gap_ms: float) -> None:
        """Add a gap in ms to the estimate."""
        self.samples += 1
        if self.samples == 1:
            self.mean_ms = gap_ms
            self.deviation_ms = gap_ms / 2
            return
        error_ms = gap_ms - self.mean_ms
        self.mean_ms += MEAN_WEIGHT * error_ms
        self.deviation_ms += DEVIATION_WEIGHT * (
            abs(error_ms) - self.deviation_ms
        )


class StreamProgress(msgspec.Struct):
    """Time of a stream's last event, or of its start before the first."""

    last_ms: float
    started: bool = False


class _EngineProgress:
    def __init__(self) -> None:
        self.decode = GapEstimate()
        self.first = GapEstimate()
        self.stream_by_key: dict[StreamKey, StreamProgress] = {}


class SilenceDetector:
    """Progress of the streams of one instance, by engine."""

    def __init__(self) -> None:
        self._engine_by_id: dict[ids.EngineId, _EngineProgress]
        self._engine_by_id = collections.defaultdict(_EngineProgress)

    def watch(
        self, engine_id: ids.EngineId, key: StreamKey, now_ms: float
    ) -> None:
        """Start watching a stream."""
        streams = self._engine_by_id[engine_id].stream_by_key
        streams[key] = StreamProgress(now_ms)

    def record_progress(
        self, engine_id: ids.EngineId, key: StreamKey, now_ms: float
    ) -> None:
        """Record an event of a stream."""
        engine = self._engine_by_id[engine_id]
        stream = engine.stream_by_key[key]
        estimate = engine.decode if stream.started else engine.first
        estimate.add(now_ms - stream.last_ms)
        stream.last_ms = now_ms
        stream.started = True

    def unwatch(self, engine_id: ids.EngineId, key: StreamKey) -> None:
        """Stop watching a stream."""
        self._engine_by_id[engine_id].stream_by_key.pop(key, None)

    def has_started(self, engine_id: ids.EngineId, key: StreamKey) -> bool:
        """Return whether a stream has sent its first event."""
        return self._engine_by_id[engine_id].stream_by_key[key].started

    def silence_ms(
        self, engine_id: ids.EngineId, key: StreamKey, now_ms: float
    ) -> float:
        """Return the time since the last event of a stream."""
        stream = self._engine_by_id[engine_id].stream_by_key[key]
        return now_ms - stream.last_ms

    def limit_ms(
        self,
        engine_id: ids.EngineId,
        key: StreamKey,
        decode: SilenceBounds,
        first: SilenceBounds,
    ) -> float:
        """Return the silence in ms after which a stream is suspected.

        `first` applies until the first event, `decode` after it.
        """
        engine = self._engine_by_id[engine_id]
        if engine.stream_by_key[key].started:
            return decode.limit_ms(engine.decode)
        return first.limit_ms(engine.first)

    def others_progressed(
        self, engine_id: ids.EngineId, key: StreamKey, since_ms: float
    ) -> bool:
        """Return whether another started stream had an event since then."""
        streams = self._engine_by_id[engine_id].stream_by_key
        return any(
            stream.started and stream.last_ms > since_ms
            for other, stream in streams.items()
            if other != key
        )

    def stalled_engines(
        self, now_ms: float, decode: SilenceBounds
    ) -> frozenset[ids.EngineId]:
        """Return the engines whose started streams are all stalled."""
        return frozenset(
            engine_id
            for engine_id, engine in self._engine_by_id.items()
            if _is_stalled(engine, now_ms, decode)
        )


def _is_stalled(
    engine: _EngineProgress, now_ms: float, decode: SilenceBounds
) -> bool:
    started = [s for s in engine.stream_by_key.values() if s.started]
    limit_ms = decode.limit_ms(engine.decode)
    return bool(started) and all(
        now_ms - stream.last_ms > limit_ms for stream in started
    )
