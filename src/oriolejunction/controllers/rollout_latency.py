"""Latencies of answers in logarithmic buckets, which instances add up.

Load pattern: servers of two versions answer at the same time under the same
load. A slow version is several times slower, so a bucket may span half of
its lower bound.
"""

import bisect
import collections.abc

# Upper bounds in ms; the last bucket has none.
FIRST_BOUND_MS = 1.0
BOUND_FACTOR = 1.5
BUCKETS = 28
BOUNDS_MS = tuple(
    FIRST_BOUND_MS * BOUND_FACTOR**power for power in range(BUCKETS - 1)
)


def bucket_of(latency_ms: float) -> int:
    """Return the number of the bucket of a latency."""
    return bisect.bisect_left(BOUNDS_MS, latency_ms)


def add_counts(
    first: collections.abc.Sequence[int],
    second: collections.abc.Sequence[int],
) -> tuple[int, ...]:
    """Return the sums of two rows of counts; a row may be empty."""
    if not first or not second:
        return tuple(first or second)
    return tuple(map(sum, zip(first, second, strict=True)))
