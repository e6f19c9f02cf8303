"""Open attempts of this instance by engine, and the observed speeds."""

import collections
import dataclasses

from oriolejunction import clock as clocks
from oriolejunction.controllers import route_request
from oriolejunction import ids

SMOOTHING = 0.2
MAX_TIMESTAMPS = 512


@dataclasses.dataclass
class Dispatch:
    """An attempt sent to an engine, with its expected token counts."""

    engine_id: ids.EngineId
    at_ms: float
    kv_tokens: int
    prefill_tokens: int
    first_token_at_ms: float | None = None
    last_token_at_ms: float = 0.0
    tokens: int = 0


@dataclasses.dataclass
class ObservedSpeed:
    """Smoothed ms for each decoded token and each prefilled token."""

    token_ms: float | None = None
    prefill_ms_per_token: float | None = None

    def observe_token(self, duration_ms: float) -> None:
        """Add the time in ms of one decoded token of a stream."""
        self.token_ms = _smoothed(self.token_ms, duration_ms)

    def observe_prefill(self, duration_ms: float, tokens: int) -> None:
        """Add the time in ms to a first token, with `tokens` to prefill."""
        if tokens > 0:
            self.prefill_ms_per_token = _smoothed(
                self.prefill_ms_per_token, duration_ms / tokens
            )


class Dispatches:
    """Open attempts of this instance, and when attempts began and ended."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._open: dict[route_request.Placement, Dispatch] = {}
        self._sent_at_ms: dict[ids.EngineId, collections.deque[float]] = {}
        self._ended_at_ms: dict[ids.EngineId, collections.deque[float]] = {}
        self._open_count: collections.Counter[ids.EngineId]
        self._open_count = collections.Counter()
        self._kv_tokens: collections.Counter[ids.EngineId]
        self._kv_tokens = collections.Counter()
        self.speed_by_id: dict[ids.EngineId, ObservedSpeed] = (
            collections.defaultdict(ObservedSpeed)
        )

    def begin(
        self,
        placement: route_request.Placement,
        kv_tokens: int,
        prefill_tokens: int,
    ) -> None:
        """Record that an engine was chosen for an attempt."""
        self.end(placement)
        engine_id = placement.engine_id
        now_ms = self._clock.now_ms()
        self._open[placement] = Dispatch(
            engine_id, now_ms, kv_tokens, prefill_tokens
        )
        _timestamps(self._sent_at_ms, engine_id).append(now_ms)
        self._open_count[engine_id] += 1
        self._kv_tokens[engine_id] += kv_tokens

    def record_progress(
        self, placement: route_request.Placement, tokens: int
    ) -> None:
        """Record tokens received from the engine of an attempt."""
        dispatch = self._open.get(placement)
        if dispatch is None or tokens <= 0:
            return
        now_ms = self._clock.now_ms()
        speed = self.speed_by_id[dispatch.engine_id]
        if dispatch.first_token_at_ms is None:
            dispatch.first_token_at_ms = now_ms
            speed.observe_prefill(
                now_ms - dispatch.at_ms, dispatch.prefill_tokens
            )
        else:
            gap_ms = now_ms - dispatch.last_token_at_ms
            speed.observe_token(gap_ms / tokens)
        dispatch.last_token_at_ms = now_ms
        dispatch.tokens += tokens

    def end(self, placement: route_request.Placement) -> Dispatch | None:
        """End an attempt and return it, or None if it is not open."""
        dispatch = self._open.pop(placement, None)
        if dispatch is None:
            return None
        engine_id = dispatch.engine_id
        _timestamps(self._ended_at_ms, engine_id).append(self._clock.now_ms())
        self._open_count[engine_id] -= 1
        self._kv_tokens[engine_id] -= dispatch.kv_tokens
        return dispatch

    def forget(self, generation: ids.GenerationId) -> None:
        """End all attempts of a generation."""
        for placement in list(self._open):
            if placement.generation == generation:
                self.end(placement)

    def open_count(self, engine_id: ids.EngineId) -> int:
        """Return the number of open attempts on an engine."""
        return self._open_count[engine_id]

    def kv_tokens(self, engine_id: ids.EngineId) -> int:
        """Return the KV cache tokens of open attempts on an engine."""
        return self._kv_tokens[engine_id]

    def total_open(self) -> int:
        """Return the number of open attempts on all engines."""
        return len(self._open)

    def prefill_count(self, engine_id: ids.EngineId) -> int:
        """Return the open attempts on an engine without a first token."""
        return sum(
            dispatch.engine_id == engine_id
            and dispatch.first_token_at_ms is None
            for dispatch in self._open.values()
        )

    def net_started_since(self, engine_id: ids.EngineId, at_ms: float) -> int:
        """Return the attempts begun minus those ended since a time."""
        begun = _count_since(self._sent_at_ms.get(engine_id), at_ms)
        return begun - _count_since(self._ended_at_ms.get(engine_id), at_ms)


def _timestamps(
    by_id: dict[ids.EngineId, collections.deque[float]],
    engine_id: ids.EngineId,
) -> collections.deque[float]:
    return by_id.setdefault(
        engine_id, collections.deque(maxlen=MAX_TIMESTAMPS)
    )


def _count_since(
    times_ms: collections.deque[float] | None, at_ms: float
) -> int:
    count = 0
    for time_ms in reversed(times_ms or ()):
        if time_ms <= at_ms:
            break
        count += 1
    return count


def _smoothed(previous: float | None, value: float) -> float:
    if previous is None:
        return value
    return previous + SMOOTHING * (value - previous)
