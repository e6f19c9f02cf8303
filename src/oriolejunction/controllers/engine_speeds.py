"""Observed speed of each engine: between events, and reading prompts.

Load pattern: engines of one service differ by more than twice in speed, and
an instance sees few of the streams, so that it takes in what others saw.
"""

import dataclasses
import statistics

from oriolejunction.controllers import silence_detector
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# Used before anything was observed: a mid-range engine.
DEFAULT_EVENT_MS = 32.0
DEFAULT_PREFILL_MS_PER_K = 130.0
PREFILL_WEIGHT = 0.3
# A prompt shorter than this tells little of the speed of reading.
MIN_PREFILL_TOKENS = 1_000


@dataclasses.dataclass
class SpeedEstimate:
    """Gaps between events of an engine, and its ms per 1,000 tokens."""

    gaps: silence_detector.GapEstimate = dataclasses.field(
        default_factory=silence_detector.GapEstimate
    )
    prefill_ms_per_k: float | None = None


class EngineSpeeds:
    """Own observations, with the others' where there are none."""

    def __init__(self) -> None:
        self._own_by_id: dict[ids.BackendId, SpeedEstimate] = {}
        self._reported_by_id: dict[ids.BackendId, fm.EngineSpeed] = {}
        self._cached_medians: tuple[float, float] | None = None

    def add_gap(self, backend_id: ids.BackendId, gap_ms: float) -> None:
        """Take in the time between two events of a stream."""
        self._own_estimate(backend_id).gaps.add(gap_ms)

    def add_prefill(
        self, backend_id: ids.BackendId, tokens: int, took_ms: float
    ) -> None:
        """Take in the time to a first event with no other prompt ahead."""
        if tokens < MIN_PREFILL_TOKENS:
            return
        own = self._own_estimate(backend_id)
        seen = took_ms / tokens * 1_000
        if own.prefill_ms_per_k is None:
            own.prefill_ms_per_k = seen
        else:
            own.prefill_ms_per_k += PREFILL_WEIGHT * (
                seen - own.prefill_ms_per_k
            )

    def update_reported(
        self, told_by_id: dict[ids.BackendId, fm.EngineSpeed]
    ) -> None:
        """Take in what the others observed; it must not change later."""
        if told_by_id is not self._reported_by_id:
            self._reported_by_id = told_by_id
            self._cached_medians = None

    def gaps(self, backend_id: ids.BackendId) -> silence_detector.GapEstimate:
        """Return the own estimate of an engine's gaps."""
        return self._own_estimate(backend_id).gaps

    def event_ms(self, backend_id: ids.BackendId) -> float:
        """Return the expected time between two events."""
        own = self._own_by_id.get(backend_id)
        if (
            own is not None
            and own.gaps.samples >= silence_detector.MIN_SAMPLES
        ):
            return own.gaps.mean_ms
        told = self._reported_by_id.get(backend_id)
        if told is not None and told.event_ms > 0:
            return told.event_ms
        return self.typical_event_ms()

    def prefill_ms_per_k(self, backend_id: ids.BackendId) -> float:
        """Return the expected time to read a thousand prompt tokens."""
        own = self._own_by_id.get(backend_id)
        if own is not None and own.prefill_ms_per_k is not None:
            return own.prefill_ms_per_k
        told = self._reported_by_id.get(backend_id)
        if told is not None and told.prefill_ms_per_k > 0:
            return told.prefill_ms_per_k
        return self.typical_prefill_ms_per_k()

    def typical_event_ms(self) -> float:
        """Return the median of what the others observed."""
        return self._medians()[0] or DEFAULT_EVENT_MS

    def typical_prefill_ms_per_k(self) -> float:
        """Return the median of what the others observed."""
        return self._medians()[1] or DEFAULT_PREFILL_MS_PER_K

    def _medians(self) -> tuple[float, float]:
        """Return both medians, kept until the others tell something new."""
        if self._cached_medians is None:
            told = self._reported_by_id.values()
            self._cached_medians = (
                _median([speed.event_ms for speed in told]),
                _median([speed.prefill_ms_per_k for speed in told]),
            )
        return self._cached_medians

    def own_speeds(self) -> tuple[fm.EngineSpeed, ...]:
        """Return the own observations, to be told to the others."""
        return tuple(
            fm.EngineSpeed(
                backend_id,
                round(speed.gaps.mean_ms, 1),
                round(speed.prefill_ms_per_k or 0.0, 1),
            )
            for backend_id, speed in self._own_by_id.items()
            if speed.gaps.samples >= silence_detector.MIN_SAMPLES
        )

    def retain_only(self, listed: set[ids.BackendId]) -> None:
        """Forget engines that are listed no more."""
        for backend_id in set(self._own_by_id) - listed:
            del self._own_by_id[backend_id]

    def _own_estimate(self, backend_id: ids.BackendId) -> SpeedEstimate:
        return self._own_by_id.setdefault(backend_id, SpeedEstimate())


def _median(values: list[float]) -> float:
    """Return the median of the values that are known, else 0."""
    positive = [value for value in values if value > 0]
    return statistics.median(positive) if positive else 0.0
