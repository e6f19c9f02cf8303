"""Quarantine of requests that crash the engines which run them.

Each engine loss gives the requests that ran there a strike, by fingerprint.
A request is a suspect on an engine until it delivered more tokens than at
its last loss. A struck request runs where no other suspect runs, so that
a second loss names it; it is then refused for a bounded time. Losses of
many engines of a zone at once, or of most of them, give no strikes. A loss
is judged only after a window in which peers tell their own strikes.
"""

import collections.abc
import dataclasses
import enum
import itertools

from oriolejunction import clock as clocks
from oriolejunction.controllers import route_request
from oriolejunction import ids

LOSS_WINDOW_MS = 1_000
MASS_LOSS_IN_ZONE = 3
MASS_LOSS_TOTAL = 5
PROBATION_TOKENS = 16
STRIKE_TTL_MS = 300_000
QUARANTINE_MS = 120_000
MAX_FINGERPRINTS = 10_000
MAX_STRIKES_PER_REQUEST = 8


class QuarantinePolicy(enum.Enum):
    """Whether requests get strikes; without is the baseline of a bench."""

    ISOLATE = "isolate"
    NONE = "none"


@dataclasses.dataclass
class TrackedAttempt:
    """One attempt at work; proven once `offset` reached `proven_at`.

    An isolated run has its engine to itself among suspects.
    """

    fingerprint: ids.Fingerprint
    engine_id: ids.EngineId
    offset: int
    probation_end: int
    isolated: bool
    dispatched_at_ms: float

    @property
    def suspect(self) -> bool:
        """Return whether the run may yet crash its engine."""
        return self.offset < self.probation_end


@dataclasses.dataclass(frozen=True)
class Strike:
    """A request ran on an engine when it was lost, at `at_ms`.

    `suspect` tells whether it was not proven there.
    """

    fingerprint: ids.Fingerprint
    engine_id: ids.EngineId
    zone: ids.ZoneId
    at_ms: float
    dispatched_at_ms: float
    offset: int
    suspect: bool


class Quarantine:
    """Strikes, isolation and refusals of one instance and its peers."""

    def __init__(
        self,
        clock: clocks.Clock,
        engines_in_zone: collections.abc.Callable[[ids.ZoneId], int],
        policy: QuarantinePolicy = QuarantinePolicy.ISOLATE,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._engines_in_zone = engines_in_zone
        self._run_by_placement: dict[
            route_request.Placement, TrackedAttempt
        ] = {}
        self._strikes_by_fingerprint: dict[
            ids.Fingerprint, tuple[Strike, ...]
        ] = {}
        self._refused_until_ms: dict[ids.Fingerprint, float] = {}
        self._peer_isolated: dict[
            ids.InstanceId,
            dict[ids.EngineId, frozenset[ids.Fingerprint]],
        ] = {}
        self._cleared_at_ms: dict[ids.Fingerprint, float] = {}

    def record_dispatch(
        self,
        placement: route_request.Placement,
        fingerprint: ids.Fingerprint,
        offset: int,
    ) -> None:
        """Note that an attempt goes to an engine at a token offset."""
        struck_at = max(
            (s.offset for s in self._live_strikes(fingerprint)), default=0
        )
        self._run_by_placement[placement] = TrackedAttempt(
            fingerprint=fingerprint,
            engine_id=placement.engine_id,
            offset=offset,
            probation_end=max(offset, struck_at) + PROBATION_TOKENS,
            isolated=self.must_isolate(fingerprint),
            dispatched_at_ms=self._clock.now_ms(),
        )

    def record_progress(
        self, placement: route_request.Placement, offset: int
    ) -> None:
        """Note delivered tokens; a proven run clears its request."""
        run = self._run_by_placement.get(placement)
        if run is None or not run.suspect:
            return
        run.offset = offset
        if not run.suspect:
            self._clear(run.fingerprint)

    def record_finish(
        self, placement: route_request.Placement, whole: bool
    ) -> None:
        """Note the end of an attempt; a whole answer clears its request."""
        run = self._run_by_placement.pop(placement, None)
        if run is not None and whole:
            self._clear(run.fingerprint)

    def forget(self, generation: ids.GenerationId) -> None:
        """Drop all attempts of a generation that ended."""
        for placement in list(self._run_by_placement):
            if placement.generation == generation:
                del self._run_by_placement[placement]

    def record_loss(
        self, placement: route_request.Placement, zone: ids.ZoneId
    ) -> Strike | None:
        """Give the request of an attempt lost with its engine a strike."""
        run = self._run_by_placement.pop(placement, None)
        if run is None or self._policy is QuarantinePolicy.NONE:
            return None
        strike = Strike(
            run.fingerprint,
            run.engine_id,
            zone,
            self._clock.now_ms(),
            run.dispatched_at_ms,
            run.offset,
            run.suspect,
        )
        self.add_strike(strike)
        return strike

    def add_strike(self, strike: Strike) -> None:
        """Add a strike, of this instance or told by a peer."""
        known = self._strikes_by_fingerprint.pop(strike.fingerprint, ())
        if any(_is_same_loss(strike, other) for other in known):
            self._strikes_by_fingerprint[strike.fingerprint] = known
            return
        self._strikes_by_fingerprint[strike.fingerprint] = (
            *known[-MAX_STRIKES_PER_REQUEST:],
            strike,
        )
        if len(self._strikes_by_fingerprint) > MAX_FINGERPRINTS:
            oldest = next(iter(self._strikes_by_fingerprint))
            del self._strikes_by_fingerprint[oldest]

    def strikes(self) -> tuple[Strike, ...]:
        """Return the strikes that still count, to be told to peers."""
        self._expire()
        return tuple(self._all_strikes())

    def cleared(self) -> dict[ids.Fingerprint, float]:
        """Return when requests were cleared, to be told to peers."""
        return dict(self._cleared_at_ms)

    def refused(self) -> dict[ids.Fingerprint, float]:
        """Return until when requests are refused, to be told to peers."""
        self._expire()
        return dict(self._refused_until_ms)

    def isolated(
        self,
    ) -> dict[ids.EngineId, frozenset[ids.Fingerprint]]:
        """Return own requests that have an engine to themselves."""
        by_engine: dict[ids.EngineId, set[ids.Fingerprint]] = {}
        for run in self._run_by_placement.values():
            if run.suspect and run.isolated:
                by_engine.setdefault(run.engine_id, set()).add(run.fingerprint)
        return {e: frozenset(found) for e, found in by_engine.items()}

    def observe_peer(
        self,
        instance: ids.InstanceId,
        isolated: dict[ids.EngineId, frozenset[ids.Fingerprint]],
        refused_until_ms: dict[ids.Fingerprint, float],
        cleared_at_ms: dict[ids.Fingerprint, float],
    ) -> None:
        """Take in what a peer isolates, refuses and has cleared."""
        self._peer_isolated[instance] = isolated
        for fingerprint, until_ms in refused_until_ms.items():
            current = self._refused_until_ms.get(fingerprint, 0.0)
            self._refused_until_ms[fingerprint] = max(current, until_ms)
        for fingerprint, at_ms in cleared_at_ms.items():
            self._clear(fingerprint, at_ms)

    def last_strike(self, fingerprint: ids.Fingerprint) -> Strike | None:
        """Return the last strike of a request that counts."""
        strikes = self._live_strikes(fingerprint)
        return strikes[-1] if strikes else None

    def must_isolate(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request has to run apart from other suspects.

        One that was proven on the lost engine may run anywhere: it is
        enough to know that it ran there.
        """
        strike = self.last_strike(fingerprint)
        return strike is not None and strike.suspect

    def refused_for_ms(self, fingerprint: ids.Fingerprint) -> float:
        """Return for how long a request is refused; 0 if it may run."""
        self._update_refusal(fingerprint)
        until_ms = self._refused_until_ms.get(fingerprint, 0.0)
        return max(0.0, until_ms - self._clock.now_ms())

    def verdict_delay_ms(self, fingerprint: ids.Fingerprint) -> float:
        """Return how long to wait before a twice struck request may run."""
        strikes = self._live_strikes(fingerprint)
        if len(strikes) < 2:
            return 0.0
        due_ms = strikes[-1].at_ms + LOSS_WINDOW_MS
        return max(0.0, due_ms - self._clock.now_ms())

    def suspect_count(
        self, engine_id: ids.EngineId, but: ids.Fingerprint
    ) -> int:
        """Count the suspects on an engine, those of peers included."""
        found = {
            run.fingerprint
            for run in self._run_by_placement.values()
            if run.engine_id == engine_id and run.suspect
        }
        for by_engine in self._peer_isolated.values():
            found |= by_engine.get(engine_id, frozenset())
        return len(found - {but})

    def is_reserved(
        self, engine_id: ids.EngineId, but: ids.Fingerprint
    ) -> bool:
        """Return whether another request has an engine to itself."""
        found = set(self.isolated().get(engine_id, frozenset()))
        for by_engine in self._peer_isolated.values():
            found |= by_engine.get(engine_id, frozenset())
        return bool(found - {but})

    def _update_refusal(self, fingerprint: ids.Fingerprint) -> None:
        strikes = self._live_strikes(fingerprint)
        if len(strikes) < 2 or self.verdict_delay_ms(fingerprint) > 0:
            return
        last = strikes[-1]
        if not last.suspect or self._has_other_suspect(last):
            return
        self._refused_until_ms[fingerprint] = last.at_ms + QUARANTINE_MS

    def _has_other_suspect(self, strike: Strike) -> bool:
        return any(
            other.fingerprint != strike.fingerprint
            and other.suspect
            and other.engine_id == strike.engine_id
            and abs(other.at_ms - strike.at_ms) <= LOSS_WINDOW_MS
            for other in self._all_strikes()
        )

    def _all_strikes(self) -> collections.abc.Iterator[Strike]:
        return itertools.chain.from_iterable(
            self._strikes_by_fingerprint.values()
        )

    def _live_strikes(self, fingerprint: ids.Fingerprint) -> list[Strike]:
        now_ms = self._clock.now_ms()
        found = [
            strike
            for strike in self._strikes_by_fingerprint.get(fingerprint, ())
            if now_ms - strike.at_ms < STRIKE_TTL_MS
            and not self._is_mass_loss(strike)
            and not self._was_already_lost(strike)
        ]
        return sorted(found, key=lambda strike: strike.at_ms)

    def _was_already_lost(self, strike: Strike) -> bool:
        """Return whether the engine was lost before it got the request.

        It takes a while until all instances know of a loss.
        """
        return any(
            other.engine_id == strike.engine_id
            and other.at_ms < strike.dispatched_at_ms
            and 0.0 < strike.at_ms - other.at_ms <= LOSS_WINDOW_MS
            for other in self._all_strikes()
        )

    def _is_mass_loss(self, strike: Strike) -> bool:
        near = {
            other.engine_id: other.zone
            for other in self._all_strikes()
            if abs(other.at_ms - strike.at_ms) <= LOSS_WINDOW_MS
        }
        in_zone = sum(zone == strike.zone for zone in near.values())
        size = self._engines_in_zone(strike.zone)
        many = max(2, min(MASS_LOSS_IN_ZONE, size))
        return in_zone >= many or len(near) >= MASS_LOSS_TOTAL

    def _clear(
        self, fingerprint: ids.Fingerprint, at_ms: float | None = None
    ) -> None:
        at_ms = self._clock.now_ms() if at_ms is None else at_ms
        known = self._strikes_by_fingerprint.get(fingerprint, ())
        kept = tuple(strike for strike in known if strike.at_ms > at_ms)
        if len(kept) < len(known):
            self._cleared_at_ms[fingerprint] = at_ms
        if kept:
            self._strikes_by_fingerprint[fingerprint] = kept
        else:
            self._strikes_by_fingerprint.pop(fingerprint, None)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        self._strikes_by_fingerprint = {
            fingerprint: strikes
            for fingerprint, strikes in self._strikes_by_fingerprint.items()
            if now_ms - strikes[-1].at_ms < STRIKE_TTL_MS
        }
        self._refused_until_ms = {
            fingerprint: until_ms
            for fingerprint, until_ms in self._refused_until_ms.items()
            if until_ms > now_ms
        }
        self._cleared_at_ms = {
            fingerprint: at_ms
            for fingerprint, at_ms in self._cleared_at_ms.items()
            if now_ms - at_ms < STRIKE_TTL_MS
        }


def _is_same_loss(one: Strike, other: Strike) -> bool:
    return (
        one.engine_id == other.engine_id
        and abs(one.at_ms - other.at_ms) <= LOSS_WINDOW_MS
    )
