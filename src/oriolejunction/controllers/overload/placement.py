"""Choose the engine of a stream and the engine of its KV cache copy.

Load patterns: the prefill of a prompt takes an engine about a second and slows
all its other streams meanwhile. An engine runs as many streams as fit into its
KV cache, which is far fewer than its slots. Most engines of one availability
zone crash every few seconds, and their streams move to the survivors at once.
A third of the engines takes more than twice as long for a whole answer as the
others; the longer an answer runs, the more losses it meets.
"""

import collections
import collections.abc
import random

import msgspec

from oriolejunction import backends
from oriolejunction import ids

# Fraction of an engine's KV cache above which it counts as full.
MAX_FILL_FRACTION = 0.95
# Fraction of a prefill's duration by which it delays each running stream.
DELAY_PER_PREFILL = 0.85
# Events that the KV cache copy of a stream delays on its engine.
COPY_EVENTS = 4.0
# An engine that would miss the latency goal is chosen only if all would.
MISSED_GOAL_MS = 10_000.0
# Two prefills at once push the event gaps of an engine's streams over the
# limit.
SECOND_PREFILL_MS = 800.0
# Engines of a zone crash together, so an engine of a failing zone is probably
# lost too; finding that out takes several connection attempts.
FAILING_ZONE_MS = 1_000.0
# Fraction of a zone's engines whose loss makes the others suspect.
FAILING_FRACTION = 0.4
# The loss of one engine is no evidence on its zone.
MIN_LOST = 2
# Another zone costs traffic between zones.
CROSS_ZONE_MS = 60.0
# Instances that choose at the same moment do not know of each other's choice.
# Jitter spreads them over the engines whose scores differ by less than this,
# which is a little less than the delay by a prompt that another one placed.
JITTER_MS = 700.0


class Candidate(msgspec.Struct, frozen=True):
    """An engine with all its known work and its speed.

    A `kv_limit` or `slots` of 0 means no limit. `zone_failing` is set when
    many engines of its zone were lost recently. `cached_tokens` of the prompt
    are expected to need no prefill on this engine.
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
    cached_tokens: float = 0.0

    def can_fit(self, kv_tokens: int) -> bool:
        """Return whether a stream of that size fits on the engine."""
        free = MAX_FILL_FRACTION * self.kv_limit - self.kv_tokens
        fits = not self.kv_limit or kv_tokens <= free
        return fits and (not self.slots or self.streams < self.slots)


class StreamRequirements(msgspec.Struct, frozen=True):
    """What a stream needs of an engine, and its preferred zone.

    `events` are expected until its answer is complete. `first_event_ms` is
    the time left to the latency goal, infinite once it no longer applies.
    """

    prompt_tokens: int
    kv_tokens: int
    zone: ids.ZoneId
    events: float = 0.0
    first_event_ms: float = float("inf")


def failing_zones(
    listed: collections.abc.Iterable[backends.Backend],
    lost: collections.abc.Collection[ids.BackendId],
) -> frozenset[ids.ZoneId]:
    """Return the zones that lost many engines; one loss is not enough."""
    if len(lost) < MIN_LOST:
        return frozenset()
    listed_by_zone, lost_by_zone = collections.Counter(), collections.Counter()
    for backend in listed:
        listed_by_zone[backend.zone] += 1
        lost_by_zone[backend.zone] += backend.backend_id in lost
    return frozenset(
        zone
        for zone, count in lost_by_zone.items()
        if count >= MIN_LOST
        and count >= FAILING_FRACTION * listed_by_zone[zone]
    )


def remaining_tokens(candidate: Candidate, prompt_tokens: int) -> float:
    """Return the tokens of a prompt that an engine has yet to prefill."""
    return max(0.0, prompt_tokens - candidate.cached_tokens)


def first_event_ms(candidate: Candidate, prompt_tokens: int) -> float:
    """Return the expected time to the first event of a new stream."""
    tokens = candidate.prefill_tokens + remaining_tokens(
        candidate, prompt_tokens
    )
    return tokens / 1_000 * candidate.prefill_ms_per_k


def score_ms(candidate: Candidate, requirements: StreamRequirements) -> float:
    """Return the cost of a placement, as ms of waiting; lower is better.

    It is the time to the end of the answer, plus the delay of the streams
    that already run on the engine.
    """
    first_ms = first_event_ms(candidate, requirements.prompt_tokens)
    prefill_ms = (
        remaining_tokens(candidate, requirements.prompt_tokens)
        / 1_000
        * candidate.prefill_ms_per_k
    )
    score = first_ms + requirements.events * candidate.event_ms
    score += candidate.streams * DELAY_PER_PREFILL * prefill_ms
    if first_ms > requirements.first_event_ms:
        score += MISSED_GOAL_MS
    if candidate.prefill_tokens:
        score += SECOND_PREFILL_MS
    if candidate.backend.zone != requirements.zone:
        score += CROSS_ZONE_MS
    if candidate.zone_failing:
        score += FAILING_ZONE_MS
    return score + candidate.backend.cold_ms


def with_spare_room(
    candidates: list[Candidate], kv_tokens: int
) -> list[Candidate]:
    """Return the engines with room for two such streams, all if there is none.

    An urgent stream interrupts others at an engine that another instance
    fills at the same moment.
    """
    roomy = [
        each
        for each in candidates
        if each.can_fit(2 * kv_tokens)
        and (not each.slots or each.streams + 1 < each.slots)
    ]
    return roomy or candidates


def choose_engine(
    candidates: collections.abc.Iterable[Candidate],
    requirements: StreamRequirements,
    rng: random.Random,
) -> Candidate | None:
    """Return the engine for a stream, None if none fits."""
    fitting = [c for c in candidates if c.can_fit(requirements.kv_tokens)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda c: score_ms(c, requirements) + rng.uniform(0, JITTER_MS),
    )


def choose_kv_copy_engine(
    candidates: collections.abc.Iterable[Candidate],
    requirements: StreamRequirements,
    runs_on: backends.Backend,
    rng: random.Random,
) -> Candidate | None:
    """Return the engine for a stream's KV cache copy, None if none fits.

    It is in another availability zone than the engine that runs the stream,
    since engines of one zone crash together, and has its software version.
    """
    fitting = [
        c
        for c in candidates
        if c.backend.zone != runs_on.zone
        and c.backend.software == runs_on.software
        and not c.zone_failing
        and c.can_fit(requirements.kv_tokens)
    ]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda c: c.kv_tokens / 1_000 * c.prefill_ms_per_k
        + COPY_EVENTS * c.event_ms
        + rng.uniform(0, JITTER_MS),
    )
