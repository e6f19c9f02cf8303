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

from oriolejunction import fleet_messages as fm

# Priorities at an engine, 0 first, for streams of a service whose requests
# have several ranks: resumed ones come before all new ones.
FIRST_RESUMED_PRIORITY = 1
LAST_RESUMED_PRIORITY = 3
FIRST_NEW_PRIORITY = 4
LAST_PRIORITY = 9
# Where all ranks are equal, new streams have the engine's own default.
RESUMED_PRIORITY = 2


def engine_priority(
    rank: int, ranks: collections.abc.Sequence[int], resumed: bool
) -> int | None:
    """Return a stream's priority at its engine, None for the default.

    `ranks` are those of the service's requests, the most urgent first.
    """
    if len(ranks) < 2:
        return RESUMED_PRIORITY if resumed else None
    place = level(rank, ranks)
    if resumed:
        return min(LAST_RESUMED_PRIORITY, FIRST_RESUMED_PRIORITY + place)
    return min(LAST_PRIORITY, FIRST_NEW_PRIORITY + place)


def may_interrupt(
    rank: int, ranks: collections.abc.Sequence[int], resumed: bool
) -> bool:
    """Return whether a stream interrupts others at an engine that is full."""
    return len(ranks) > 1 and (resumed or rank < ranks[-1])


def level(rank: int, ranks: collections.abc.Sequence[int]) -> int:
    """Return how many of a service's ranks are more urgent than one."""
    return sum(other < rank for other in ranks)


def count_urgent(
    ranks: collections.abc.Sequence[int],
    waiting: collections.abc.Mapping[int, int],
) -> tuple[int, int]:
    """Return the waiting requests of the two most urgent of several ranks.

    `waiting` counts the requests by rank.
    """
    if len(ranks) < 2:
        return 0, 0
    return waiting.get(ranks[0], 0), waiting.get(ranks[1], 0)


def _waiting_by_level(use: fm.ServiceUse) -> tuple[int, int, int]:
    """Return how many requests wait, with all later ranks together."""
    first, second = use.waiting_first, use.waiting_second
    return first, second, max(0, use.waiting - first - second)


def waiting_ahead(
    rank: int,
    ranks: collections.abc.Sequence[int],
    others: fm.ServiceUse | None,
) -> int:
    """Return how many requests of others are as urgent as one, or more."""
    if others is None:
        return 0
    if len(ranks) < 2:
        return others.waiting
    return sum(_waiting_by_level(others)[: level(rank, ranks) + 1])


def must_leave_room(
    rank: int,
    ranks: collections.abc.Sequence[int],
    others: fm.ServiceUse,
    fitting: int,
) -> bool:
    """Return whether a request leaves the engines that it fits on to others.

    They are left to more urgent requests that wait at other instances, unless
    there are more such engines than requests.
    """
    if len(ranks) < 2:
        return False
    urgent = sum(_waiting_by_level(others)[: level(rank, ranks)])
    return bool(urgent) and fitting <= urgent
