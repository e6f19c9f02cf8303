"""How long a request will wait for an engine, and when a caller may return.

Load patterns: after the loss of a zone, the streams of all instances wait for
the memory of the survivors, and some of them cannot be served before their
deadline; those would only delay the others. Callers that are rejected in the
same moment and told the same time come back in the same moment.
"""

import collections
import collections.abc
import math

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import placement
from oriolejunction import ids

# Loads of other instances are about as old.
MAX_INTERVAL_AGE_MS = 100.0
# Time after which to return if nothing is known about the wait.
DEFAULT_RETURN_MS = 1_000.0
MIN_RETURN_MS = 50.0
# Interval between the returns of callers to a service without a forecast.
DEFAULT_INTERVAL_MS = 10.0
# A caller honours a longer time only in part.
MAX_FRACTION_OF_REMAINING = 1 / 3

EngineGroup = tuple[ids.ServiceName, ids.SoftwareVersion | None]


def release_interval_ms(
    candidates: collections.abc.Iterable[placement.Candidate],
    prompt_tokens: int,
    events: float,
) -> float:
    """Return the mean time between the ends of running streams.

    It is infinite if no stream runs. Each engine's streams are taken to be
    as long as the one that waits.
    """
    ends_per_ms = 0.0
    for candidate in candidates:
        answer_ms = prompt_tokens / 1_000 * candidate.prefill_ms_per_k
        answer_ms += events * candidate.event_ms
        if answer_ms > 0:
            ends_per_ms += candidate.streams / answer_ms
    return 1.0 / ends_per_ms if ends_per_ms else math.inf


def expected_wait_ms(ahead: int, interval_ms: float) -> float:
    """Return the wait of a request behind `ahead` others in all instances.

    It is infinite if no capacity is expected to come free.
    """
    return (ahead + 1) * interval_ms


class IntervalCache:
    """Keeps the release interval of each group of engines for a short time.

    A group is a service, or the engines of one software version of it.
    The work for each waiting request must not grow with the engines.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._timed_interval_by_group: dict[
            EngineGroup, tuple[float, float]
        ] = {}

    def interval_ms(
        self,
        group: EngineGroup,
        compute: collections.abc.Callable[[], float],
    ) -> float:
        """Return the interval of a group, computed anew if it is too old."""
        now_ms = self._clock.now_ms()
        computed_ms, interval_ms = self._timed_interval_by_group.get(
            group, (-math.inf, math.inf)
        )
        if now_ms - computed_ms > MAX_INTERVAL_AGE_MS:
            interval_ms = compute()
            self._timed_interval_by_group[group] = (now_ms, interval_ms)
        return interval_ms


class ReturnSchedule:
    """Spreads the returns of rejected callers over time, by service.

    Callers that are rejected together return in the order of rejection, one
    for each interval in which capacity for one request comes free.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_return_ms: dict[ids.ServiceName, float]
        self._last_return_ms = collections.defaultdict(lambda: -math.inf)

    def return_after_ms(
        self,
        service: ids.ServiceName,
        remaining_ms: float,
        wait_ms: float = math.inf,
        interval_ms: float = math.inf,
    ) -> int:
        """Return the time in ms after which a rejected caller may return.

        `interval_ms` is the interval for this instance; `wait_ms` and
        `interval_ms` are infinite where they are not known. The time is at
        most the part of `remaining_ms` that callers honour.
        """
        now_ms = self._clock.now_ms()
        if math.isinf(wait_ms):
            wait_ms = DEFAULT_RETURN_MS
        if math.isinf(interval_ms):
            interval_ms = DEFAULT_INTERVAL_MS
        latest_ms = now_ms + MAX_FRACTION_OF_REMAINING * remaining_ms
        next_ms = self._last_return_ms[service] + interval_ms
        return_ms = min(max(now_ms + wait_ms, next_ms), latest_ms)
        return_ms = max(return_ms, now_ms + MIN_RETURN_MS)
        self._last_return_ms[service] = return_ms
        return round(return_ms - now_ms)
