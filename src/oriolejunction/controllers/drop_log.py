"""Logs how many records are dropped for lack of room.

Load pattern: a burst drops thousands of records a second.
"""

import collections

import structlog

from oriolejunction import clock as clocks

MIN_INTERVAL_MS = 1_000.0
_log = structlog.get_logger(__name__)


class DropLog:
    """Counts dropped records and logs them, one line a second at most."""

    def __init__(self, clock: clocks.Clock, event: str) -> None:
        self._clock = clock
        self._event = event
        self._count_by_kind: collections.Counter[str] = collections.Counter()
        self._logged_ms = float("-inf")

    def count(self, kind: str, number: int = 1) -> None:
        """Count dropped records of a kind."""
        self._count_by_kind[kind] += number

    def flush(self, **inputs: object) -> None:
        """Log the counts since the last line, unless it is too recent."""
        now_ms = self._clock.now_ms()
        if (
            not self._count_by_kind
            or now_ms - self._logged_ms < MIN_INTERVAL_MS
        ):
            return
        self._logged_ms = now_ms
        _log.warning(self._event, **self._count_by_kind, **inputs)
        self._count_by_kind.clear()
