"""Choose the plain server of a call by the load that servers state.

Load pattern: many instances choose among the same few servers at the same
time, each by figures that are up to seconds old. If each chose the server
that looks best, all would choose the same one until their figures change.
Each instance therefore draws two servers, in proportion to their speed, and
takes the better of them. The first is one of its own zone, if there is any.
Another zone costs little time beside the wait for a slot, so that capacity
there is used before a call waits in its own zone.
"""

import collections.abc
import random

import msgspec

from oriolejunction import backends
from oriolejunction.controllers.overload import reported_loads

# Costs are in the usual time of a call on an idle server. A busy server is
# worse than an idle one before its slots are used up, as its load varies.
BUSY_COST = 0.5
# Traffic between zones costs bytes and a round trip of a few ms.
CROSS_ZONE_COST = 0.15
# A server that fails all its answers is worse than one with a full queue.
FAILURE_COST = 4.0
# Used for a server that states no slots.
DEFAULT_SLOTS = 1


class CallCandidate(msgspec.Struct, frozen=True):
    """A plain server with its load, None where that is not known.

    `own` counts the calls of this instance on it.
    """

    backend: backends.Backend
    own: int
    failure_rate: float
    load: reported_loads.LoadEstimate | None


def _with_typical_loads(
    candidates: collections.abc.Sequence[CallCandidate],
) -> list[CallCandidate]:
    """Give a load to servers whose load is not known.

    They count as being as busy as the others, and as fast as usual, so that
    they are tried where the others are slow.
    """
    known = [each.load for each in candidates if each.load is not None]
    count = len(known)
    typical = reported_loads.LoadEstimate(
        others=sum(load.others for load in known) / count,
        slots=round(sum(load.slots for load in known) / count),
        slowdown=1.0,
        age_ms=reported_loads.MAX_AGE_MS,
    )
    return [
        msgspec.structs.replace(each, load=each.load or typical)
        for each in candidates
    ]


def cost(candidate: CallCandidate, is_cross_zone: bool) -> float:
    """Return the expected time of a call, in usual times of a call."""
    load = candidate.load
    slots = load.slots or DEFAULT_SLOTS
    occupied = load.others + candidate.own
    wait = max(0.0, occupied + 1.0 - slots) / slots
    return (
        load.slowdown * (1.0 + wait)
        + BUSY_COST * occupied / slots
        + CROSS_ZONE_COST * is_cross_zone
        + FAILURE_COST * candidate.failure_rate
    )


def choose(
    candidates: collections.abc.Sequence[CallCandidate],
    zone: str,
    rng: random.Random,
) -> CallCandidate | None:
    """Return the server of a call; at least one load must be known."""
    if not candidates:
        return None
    completed = _with_typical_loads(candidates)
    own_zone = [c for c in completed if c.backend.zone == zone]
    first = _draw(own_zone or completed, rng)
    drawn = [first]
    if len(completed) > 1:
        drawn.append(_draw([c for c in completed if c is not first], rng))
    return min(drawn, key=lambda c: cost(c, c.backend.zone != zone))


def _draw(
    candidates: list[CallCandidate], rng: random.Random
) -> CallCandidate:
    shares = [
        (each.load.slots or DEFAULT_SLOTS) / each.load.slowdown
        for each in candidates
    ]
    return rng.choices(candidates, shares)[0]
