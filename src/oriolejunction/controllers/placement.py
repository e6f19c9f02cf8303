"""Where a stream runs and where its memory is copied to.

Load pattern: each prompt takes an engine a second to read, during which all
its other streams slow down; an engine holds as many streams as its memory
does, far fewer than its slots. Most engines of one availability zone crash
every few seconds, and their streams come to the survivors at once.
"""

import collections
import collections.abc
import dataclasses
import random

from oriolejunction import backends
from oriolejunction import ids

# Part of an engine's memory that is filled before it counts as full.
MAX_FILL_FRACTION = 0.95
# Events that a stream on an engine still has to make, on average; each is
# slowed by a prompt that is read meanwhile.
SLOWED_EVENTS = 4.0
# Two prompts at once push the gaps of an engine's streams over the bound.
SECOND_PREFILL_MS = 800.0
# Engines of a zone crash together: one whose neighbours were lost is likely
# lost too, and to find that out takes a few tries to connect.
FAILING_ZONE_MS = 1_000.0
# Part of a zone's engines whose loss says something of the others.
FAILING_FRACTION = 0.4
# Other zones cost bytes between them.
CROSS_ZONE_MS = 60.0
# Instances that choose in the same moment do not know of each other yet;
# chance among engines that differ by less keeps them apart.
JITTER_MS = 150.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An engine with all work known on it, and its speed.

    `zone_falling` tells that much of its zone was lost a moment ago.
    """

    backend: backends.Backend
    streams: int
    kv_tokens: int
    prefill_tokens: int
    kv_limit: int
    slots: int
    event_ms: float
    prefill_ms_per_k: float
    zone_failing: bool = False

    def can_fit(self, kv_tokens: int) -> bool:
        """Return whether a stream of that size fits beside the others."""
        free = MAX_FILL_FRACTION * self.kv_limit - self.kv_tokens
        fits = not self.kv_limit or kv_tokens <= free
        return fits and (not self.slots or self.streams < self.slots)


@dataclasses.dataclass(frozen=True)
class StreamRequirements:
    """What a stream asks of an engine, in tokens."""

    prompt_tokens: int
    kv_tokens: int
    zone: ids.ZoneId


def failing_zones(
    listed: collections.abc.Iterable[backends.Backend],
    lost: collections.abc.Container[ids.BackendId],
) -> frozenset[ids.ZoneId]:
    """Return the zones of which much was lost; one engine is not much."""
    all_in, lost_in = collections.Counter(), collections.Counter()
    for backend in listed:
        all_in[backend.zone] += 1
        lost_in[backend.zone] += backend.backend_id in lost
    return frozenset(
        zone
        for zone, count in lost_in.items()
        if count >= 2 and count >= FAILING_FRACTION * all_in[zone]
    )


def first_event_ms(candidate: Candidate, prompt_tokens: int) -> float:
    """Return the expected time until a new stream's first event."""
    tokens = candidate.prefill_tokens + prompt_tokens
    return tokens / 1_000 * candidate.prefill_ms_per_k


def score_ms(candidate: Candidate, need: StreamRequirements) -> float:
    """Return the cost of a placement in ms of waiting; lower is better."""
    score = first_event_ms(candidate, need.prompt_tokens)
    score += candidate.streams * SLOWED_EVENTS * candidate.event_ms
    if candidate.prefill_tokens:
        score += SECOND_PREFILL_MS
    if candidate.backend.zone != need.zone:
        score += CROSS_ZONE_MS
    if candidate.zone_failing:
        score += FAILING_ZONE_MS
    return score + candidate.backend.cold_ms


def choose_engine(
    candidates: collections.abc.Iterable[Candidate],
    need: StreamRequirements,
    rng: random.Random,
) -> Candidate | None:
    """Return the engine for a stream, None where none has room."""
    fitting = [c for c in candidates if c.can_fit(need.kv_tokens)]
    if not fitting:
        return None
    return min(
        fitting, key=lambda c: score_ms(c, need) + rng.uniform(0, JITTER_MS)
    )


def choose_kv_copy_engine(
    candidates: collections.abc.Iterable[Candidate],
    need: StreamRequirements,
    runs_on: backends.Backend,
    rng: random.Random,
) -> Candidate | None:
    """Return the engine for the copy of a stream's memory.

    It stands in another availability zone than the engine that runs the
    stream, since engines of one zone crash together.
    """
    fitting = [
        c
        for c in candidates
        if c.backend.zone != runs_on.zone
        and not c.zone_failing
        and c.can_fit(need.kv_tokens)
    ]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda c: c.kv_tokens / 1_000 * c.prefill_ms_per_k
        + SLOWED_EVENTS * c.event_ms
        + rng.uniform(0, JITTER_MS),
    )
