"""Which requests go first where kinds of them compete for the same engines.

Load patterns: urgent streams, few and valuable, and many less urgent ones
with a longer latency goal are sent to the same engines by all instances. An
engine admits streams by their priority, and interrupts running ones for a
more urgent one if it is full. A less urgent stream that takes the engine for
which an urgent one waits at another instance makes it wait behind itself, or
be interrupted for it.

All of this applies only where the requests of a service differ in rank.
"""

import collections.abc

# Priorities at an engine, 0 first, for streams of a service whose requests
# have several ranks: resumed ones come before all new ones.
FIRST_RESUMED_PRIORITY = 1
LAST_RESUMED_PRIORITY = 3
FIRST_NEW_PRIORITY = 4
LAST_PRIORITY = 9
# Where all ranks are equal, new streams have the engine's own default.
RESUMED_PRIORITY = 2

# How many requests wait, by rank.
WaitingByRank = collections.abc.Mapping[int, int]


def engine_priority(
    rank: int, ranks: collections.abc.Sequence[int], resumed: bool
) -> int | None:
    """Return a stream's priority at its engine, None for the default.

    `ranks` are those of the service's requests, the most urgent first.
    """
    if len(ranks) < 2:
        return RESUMED_PRIORITY if resumed else None
    level = sum(other < rank for other in ranks)
    if resumed:
        return min(LAST_RESUMED_PRIORITY, FIRST_RESUMED_PRIORITY + level)
    return min(LAST_PRIORITY, FIRST_NEW_PRIORITY + level)


def waiting_ahead(rank: int, waiting: WaitingByRank) -> int:
    """Return how many waiting requests go before one of a rank."""
    return sum(count for other, count in waiting.items() if other <= rank)


def must_leave_room(
    rank: int, waiting_elsewhere: WaitingByRank, fitting: int
) -> bool:
    """Return whether a request leaves the engines that it fits on to others.

    They are left to more urgent requests that wait at other instances, unless
    there are more such engines than requests.
    """
    urgent = sum(
        count for other, count in waiting_elsewhere.items() if other < rank
    )
    return bool(urgent) and fitting <= urgent
