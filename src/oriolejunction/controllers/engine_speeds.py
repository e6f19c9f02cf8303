"""Observed speed of each engine in decode and in prefill.

Load patterns: the speeds of a service's engines differ by more than a factor
of two, and one instance runs few of the streams, so it also uses what the
other instances observed. Some engines turn slow for a few seconds. The
prefill of another stream stretches single gaps tenfold, so that a mean says
more about an engine's neighbours than about its speed. After the loss of a
zone its engines are back as new incarnations on the same machines, idle, and
all instances choose among them at once.
"""

import collections
import collections.abc

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import silence_detector
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# Used until a speed is observed; the values of a mid-range engine.
DEFAULT_EVENT_MS = 32.0
DEFAULT_PREFILL_MS_PER_K = 130.0
PREFILL_WEIGHT = 0.3
# An engine of unknown speed counts as slower than the median by this factor,
# since instances that choose it at once may find it slow.
UNKNOWN_FACTOR = 1.4
MAX_FORMER_MACHINES = 4_096
# The prefill of a shorter prompt says little about an engine's speed.
MIN_PREFILL_TOKENS = 1_000
# The median over this many event gaps follows an engine that turns slow
# within about ten events.
RECENT_GAPS = 16
# Older own observations yield to newer ones of other instances.
FRESH_MS = 2_000.0


class SpeedEstimate(msgspec.Struct):
    """Event gaps of an engine, and its prefill ms per 1,000 tokens."""

    gaps: silence_detector.GapEstimate = msgspec.field(
        default_factory=silence_detector.GapEstimate
    )
    recent_gaps_ms: collections.deque[float] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=RECENT_GAPS)
    )
    observed_at_ms: float = float("-inf")
    prefill_ms_per_k: float | None = None
    # Read for all engines at each choice and report, but changed only by an
    # event of the engine itself.
    cached_event_ms: float | None = None

    def add_gap(self, gap_ms: float, now_ms: float) -> None:
        """Add the time between two events."""
        self.gaps.add(gap_ms)
        self.recent_gaps_ms.append(gap_ms)
        self.observed_at_ms = now_ms
        self.cached_event_ms = None

    @property
    def event_ms(self) -> float | None:
        """Return the median event gap, None until there are enough gaps."""
        if len(self.recent_gaps_ms) < silence_detector.MIN_SAMPLES:
            return None
        if self.cached_event_ms is None:
            self.cached_event_ms = _middle(self.recent_gaps_ms)
        return self.cached_event_ms


class EngineSpeeds:
    """Own observations, or those of other instances where there are none."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own_by_id: dict[ids.BackendId, SpeedEstimate] = {}
        self._reported_by_id: dict[ids.BackendId, fm.EngineSpeed] = {}
        self._cached_medians: tuple[float, float] | None = None
        self._listed_by_id: dict[ids.BackendId, backends.Backend] = {}
        # Speeds of former incarnations, by service and address.
        self._former_by_machine: dict[
            tuple[ids.ServiceName, str], fm.EngineSpeed
        ] = {}

    def add_gap(self, backend_id: ids.BackendId, gap_ms: float) -> None:
        """Record the time between two events of a stream."""
        own = self._own_estimate(backend_id)
        own.add_gap(gap_ms, self._clock.now_ms())

    def add_prefill(
        self, backend_id: ids.BackendId, tokens: int, took_ms: float
    ) -> None:
        """Record the time to a first event with no other prefill ahead."""
        if tokens < MIN_PREFILL_TOKENS:
            return
        own = self._own_estimate(backend_id)
        ms_per_k = took_ms / tokens * 1_000
        if own.prefill_ms_per_k is None:
            own.prefill_ms_per_k = ms_per_k
        else:
            own.prefill_ms_per_k += PREFILL_WEIGHT * (
                ms_per_k - own.prefill_ms_per_k
            )

    def update_reported(
        self, speed_by_id: dict[ids.BackendId, fm.EngineSpeed]
    ) -> None:
        """Set what the others observed; the mapping must not change later."""
        if speed_by_id is not self._reported_by_id:
            self._reported_by_id = speed_by_id
            self._cached_medians = None

    def gaps(self, backend_id: ids.BackendId) -> silence_detector.GapEstimate:
        """Return this instance's estimate of an engine's event gaps."""
        return self._own_estimate(backend_id).gaps

    def event_ms(self, backend_id: ids.BackendId) -> float:
        """Return the expected time between two events."""
        known_ms = self._known_event_ms(backend_id)
        return known_ms or UNKNOWN_FACTOR * self.typical_event_ms()

    def prefill_ms_per_k(self, backend_id: ids.BackendId) -> float:
        """Return the expected prefill time of a thousand prompt tokens.

        An engine whose prefill was not observed yet is as fast or as slow in
        prefill as it is in decode.
        """
        known_ms = self._known_prefill_ms_per_k(backend_id)
        relative = self.event_ms(backend_id) / self.typical_event_ms()
        return known_ms or relative * self.typical_prefill_ms_per_k()

    def _known_event_ms(self, backend_id: ids.BackendId) -> float | None:
        own = self._own_by_id.get(backend_id)
        own_ms = own.event_ms if own is not None else None
        if own_ms is not None and self._is_fresh(own):
            return own_ms
        reported = self._reported_by_id.get(backend_id)
        if reported is not None and reported.event_ms > 0:
            return reported.event_ms
        former = self._former_speed(backend_id)
        return own_ms or (former.event_ms if former is not None else None)

    def _known_prefill_ms_per_k(
        self, backend_id: ids.BackendId
    ) -> float | None:
        own = self._own_by_id.get(backend_id)
        if own is not None and own.prefill_ms_per_k is not None:
            return own.prefill_ms_per_k
        reported = self._reported_by_id.get(backend_id)
        if reported is not None and reported.prefill_ms_per_k > 0:
            return reported.prefill_ms_per_k
        former = self._former_speed(backend_id)
        return former.prefill_ms_per_k if former is not None else None

    def _former_speed(
        self, backend_id: ids.BackendId
    ) -> fm.EngineSpeed | None:
        """Return the speed of the last incarnation on the same machine."""
        backend = self._listed_by_id.get(backend_id)
        if backend is None:
            return None
        return self._former_by_machine.get((backend.service, backend.address))

    def is_fresh(self, backend_id: ids.BackendId) -> bool:
        """Return whether this instance observed an engine's speed of late."""
        own = self._own_by_id.get(backend_id)
        return own is not None and self._is_fresh(own)

    def _is_fresh(self, estimate: SpeedEstimate) -> bool:
        age_ms = self._clock.now_ms() - estimate.observed_at_ms
        return age_ms <= FRESH_MS

    def typical_event_ms(self) -> float:
        """Return the median time between events that others observed."""
        return self._medians()[0] or DEFAULT_EVENT_MS

    def typical_prefill_ms_per_k(self) -> float:
        """Return the median prefill time that others observed."""
        return self._medians()[1] or DEFAULT_PREFILL_MS_PER_K

    def _medians(self) -> tuple[float, float]:
        """Return both medians, cached until the reported speeds change."""
        if self._cached_medians is None:
            reported = self._reported_by_id.values()
            self._cached_medians = (
                _median([speed.event_ms for speed in reported]),
                _median([speed.prefill_ms_per_k for speed in reported]),
            )
        return self._cached_medians

    def own_speeds(self) -> tuple[fm.EngineSpeed, ...]:
        """Return the own observations, to be reported to the others."""
        return tuple(
            fm.EngineSpeed(
                backend_id,
                round(event_ms, 1),
                round(speed.prefill_ms_per_k or 0.0, 1),
            )
            for backend_id, speed in self._own_by_id.items()
            if (event_ms := speed.event_ms) is not None
        )

    def update_listed(
        self, listed: dict[ids.BackendId, backends.Backend]
    ) -> None:
        """Drop engines that are no longer listed.

        A later incarnation on the same machine inherits their speed.
        """
        for backend_id in self._listed_by_id.keys() - listed.keys():
            backend = self._listed_by_id[backend_id]
            event_ms = self._known_event_ms(backend_id)
            if event_ms is not None:
                machine = (backend.service, backend.address)
                self._former_by_machine[machine] = fm.EngineSpeed(
                    backend_id,
                    event_ms,
                    self._known_prefill_ms_per_k(backend_id) or 0.0,
                )
            self._own_by_id.pop(backend_id, None)
        while len(self._former_by_machine) > MAX_FORMER_MACHINES:
            del self._former_by_machine[next(iter(self._former_by_machine))]
        self._listed_by_id = dict(listed)

    def _own_estimate(self, backend_id: ids.BackendId) -> SpeedEstimate:
        own = self._own_by_id.get(backend_id)
        if own is None:
            own = self._own_by_id[backend_id] = SpeedEstimate()
        return own


def _median(values: list[float]) -> float:
    """Return the median of the positive values, 0 where there are none."""
    positive = [value for value in values if value > 0]
    return _middle(positive) if positive else 0.0


def _middle(values: collections.abc.Collection[float]) -> float:
    """Return the median of one or more values."""
    # Not by `statistics`, whose import takes 3 ms of a start.
    ordered = sorted(values)
    half = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[half]
    return (ordered[half - 1] + ordered[half]) / 2
