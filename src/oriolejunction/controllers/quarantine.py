"""Quarantine of requests that crash the engines that run them.

Each engine loss gives the requests that ran there a strike, by fingerprint.
A request is suspect on an engine until it has delivered `PROBATION_TOKENS`
tokens beyond the offset at which it was sent there, and beyond the offset of
any valid strike. A request with a strike runs where no other suspect runs, so
that a second loss identifies it; it is then refused for a bounded time.
Strikes do not count when many engines of one zone, or in total, are lost at
once. A loss is judged only after a window in which peers report their own
strikes.
"""

import collections.abc
import dataclasses
import enum
import itertools

from oriolejunction import clock as clocks
from oriolejunction.controllers import route_request
from oriolejunction.controllers import tracked_attempt
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
    """Whether requests get strikes; `NONE` is the baseline of a bench."""

    ISOLATE = "isolate"
    NONE = "none"


@dataclasses.dataclass(frozen=True)
class Strike:
    """A request that ran on an engine when it was lost, at `at_ms`.

    `suspect` tells whether the request was still suspect there.
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
        self._attempt_by_placement: dict[
            route_request.Placement, tracked_attempt.TrackedAttempt
        ] = {}
        self._strikes_by_fingerprint: dict[
            ids.Fingerprint, tuple[Strike, ...]
        ] = {}
        self._refused_until_ms: dict[ids.Fingerprint, float] = {}
        self._isolated_by_peer: dict[
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
        """Record that an attempt is sent to an engine at a token offset."""
        strike_offset = max(
            (s.offset for s in self._valid_strikes(fingerprint)), default=0
        )
        self._attempt_by_placement[placement] = tracked_attempt.TrackedAttempt(
            fingerprint=fingerprint,
            engine_id=placement.engine_id,
            offset=offset,
            probation_end=max(offset, strike_offset) + PROBATION_TOKENS,
            isolated=self.must_isolate(fingerprint),
            dispatched_at_ms=self._clock.now_ms(),
        )

    def record_progress(
        self, placement: route_request.Placement, offset: int
    ) -> None:
        """Record delivered tokens; the end of probation clears the request."""
        attempt = self._attempt_by_placement.get(placement)
        if attempt is None or not attempt.suspect:
            return
        attempt.offset = offset
        if not attempt.suspect:
            self._clear(attempt.fingerprint)

    def record_finish(
        self, placement: route_request.Placement, complete: bool
    ) -> None:
        """Record an attempt's end; a complete answer clears its request."""
        attempt = self._attempt_by_placement.pop(placement, None)
        if attempt is not None and complete:
            self._clear(attempt.fingerprint)

    def forget(self, generation: ids.GenerationId) -> None:
        """Drop all attempts of a generation that ended."""
        for placement in list(self._attempt_by_placement):
            if placement.generation == generation:
                del self._attempt_by_placement[placement]

    def record_loss(
        self, placement: route_request.Placement, zone: ids.ZoneId
    ) -> Strike | None:
        """Add a strike to the request of an attempt lost with its engine."""
        strike = self.record_stall(placement, zone)
        self._attempt_by_placement.pop(placement, None)
        return strike

    def record_stall(
        self, placement: route_request.Placement, zone: ids.ZoneId
    ) -> Strike | None:
        """Add a strike to the request of an attempt that may continue."""
        attempt = self._attempt_by_placement.get(placement)
        if attempt is None or self._policy is QuarantinePolicy.NONE:
            return None
        if attempt.struck:
            return None
        attempt.struck = True
        strike = Strike(
            attempt.fingerprint,
            attempt.engine_id,
            zone,
            self._clock.now_ms(),
            attempt.dispatched_at_ms,
            attempt.offset,
            attempt.suspect,
        )
        self.add_strike(strike)
        return strike

    def add_strike(self, strike: Strike) -> None:
        """Add a strike recorded by this instance or reported by a peer."""
        existing = self._strikes_by_fingerprint.pop(strike.fingerprint, ())
        if any(_is_same_loss(strike, other) for other in existing):
            self._strikes_by_fingerprint[strike.fingerprint] = existing
            return
        self._strikes_by_fingerprint[strike.fingerprint] = (
            *existing[-MAX_STRIKES_PER_REQUEST:],
            strike,
        )
        if len(self._strikes_by_fingerprint) > MAX_FINGERPRINTS:
            oldest = next(iter(self._strikes_by_fingerprint))
            del self._strikes_by_fingerprint[oldest]

    def strikes(self) -> tuple[Strike, ...]:
        """Return the strikes of recently struck requests, for gossip."""
        self._expire()
        return tuple(self._all_strikes())

    def cleared(self) -> dict[ids.Fingerprint, float]:
        """Return when requests were cleared, for gossip to peers."""
        return dict(self._cleared_at_ms)

    def refused(self) -> dict[ids.Fingerprint, float]:
        """Return until when requests are refused, for gossip to peers."""
        self._expire()
        return dict(self._refused_until_ms)

    def isolated(
        self,
    ) -> dict[ids.EngineId, frozenset[ids.Fingerprint]]:
        """Return the isolated requests of this instance, by engine."""
        by_engine: dict[ids.EngineId, set[ids.Fingerprint]] = {}
        for attempt in self._attempt_by_placement.values():
            if attempt.suspect and attempt.isolated:
                by_engine.setdefault(attempt.engine_id, set()).add(
                    attempt.fingerprint
                )
        return {
            e: frozenset(fingerprints) for e, fingerprints in by_engine.items()
        }

    def observe_peer(
        self,
        instance: ids.InstanceId,
        isolated: dict[ids.EngineId, frozenset[ids.Fingerprint]],
        refused_until_ms: dict[ids.Fingerprint, float],
        cleared_at_ms: dict[ids.Fingerprint, float],
    ) -> None:
        """Apply what a peer isolates, refuses and has cleared."""
        self._isolated_by_peer[instance] = isolated
        for fingerprint, until_ms in refused_until_ms.items():
            current = self._refused_until_ms.get(fingerprint, 0.0)
            self._refused_until_ms[fingerprint] = max(current, until_ms)
        for fingerprint, at_ms in cleared_at_ms.items():
            self._clear(fingerprint, at_ms)

    def last_strike(self, fingerprint: ids.Fingerprint) -> Strike | None:
        """Return the last valid strike of a request."""
        strikes = self._valid_strikes(fingerprint)
        return strikes[-1] if strikes else None

    def must_isolate(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request has to run apart from other suspects.

        A request that had passed its probation on the lost engine may run
        anywhere; its strike only records that it ran there.
        """
        strike = self.last_strike(fingerprint)
        return strike is not None and strike.suspect

    def is_on_trial(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether an isolated run has yet to clear a request.

        A second run beside it could crash another engine before the first
        one shows anything. A stalled run has its strike and counts no more.
        """
        return self.must_isolate(fingerprint) and any(
            attempt.fingerprint == fingerprint
            and attempt.suspect
            and not attempt.struck
            for attempt in self._attempt_by_placement.values()
        )

    def refused_for_ms(self, fingerprint: ids.Fingerprint) -> float:
        """Return how long a request is still refused; 0 if it may run."""
        self._update_refusal(fingerprint)
        until_ms = self._refused_until_ms.get(fingerprint, 0.0)
        return max(0.0, until_ms - self._clock.now_ms())

    def verdict_delay_ms(self, fingerprint: ids.Fingerprint) -> float:
        """Return how long a request with two strikes waits for its verdict.

        Peers may still report strikes from the same loss.
        """
        strikes = self._valid_strikes(fingerprint)
        if len(strikes) < 2:
            return 0.0
        due_ms = strikes[-1].at_ms + LOSS_WINDOW_MS
        return max(0.0, due_ms - self._clock.now_ms())

    def suspect_count(
        self, engine_id: ids.EngineId, excluded: ids.Fingerprint
    ) -> int:
        """Count the other suspects on an engine, including those of peers."""
        fingerprints = {
            attempt.fingerprint
            for attempt in self._attempt_by_placement.values()
            if attempt.engine_id == engine_id and attempt.suspect
        }
        for by_engine in self._isolated_by_peer.values():
            fingerprints |= by_engine.get(engine_id, frozenset())
        return len(fingerprints - {excluded})

    def is_reserved(
        self, engine_id: ids.EngineId, excluded: ids.Fingerprint
    ) -> bool:
        """Return whether another request is isolated on an engine."""
        fingerprints = set(self.isolated().get(engine_id, frozenset()))
        for by_engine in self._isolated_by_peer.values():
            fingerprints |= by_engine.get(engine_id, frozenset())
        return bool(fingerprints - {excluded})

    def _update_refusal(self, fingerprint: ids.Fingerprint) -> None:
        strikes = self._valid_strikes(fingerprint)
        if len(strikes) < 2 or self.verdict_delay_ms(fingerprint) > 0:
            return
        last = strikes[-1]
        if not last.suspect or self._has_other_suspect(last):
            return
        self._refused_until_ms[fingerprint] = last.at_ms + QUARANTINE_MS

    def _has_other_suspect(self, strike: Strike) -> bool:
        """Return whether another request may have caused as many losses.

        One that got to the engine before its instance knew of the isolation
        does not explain the losses before.
        """
        losses = self._count_suspected(strike.fingerprint)
        return any(
            other.fingerprint != strike.fingerprint
            and other.suspect
            and other.engine_id == strike.engine_id
            and abs(other.at_ms - strike.at_ms) <= LOSS_WINDOW_MS
            and self._count_suspected(other.fingerprint) >= losses
            for other in self._all_strikes()
        )

    def _count_suspected(self, fingerprint: ids.Fingerprint) -> int:
        """Return how many losses a request may have caused."""
        return sum(s.suspect for s in self._valid_strikes(fingerprint))

    def _all_strikes(self) -> collections.abc.Iterator[Strike]:
        return itertools.chain.from_iterable(
            self._strikes_by_fingerprint.values()
        )

    def _valid_strikes(self, fingerprint: ids.Fingerprint) -> list[Strike]:
        now_ms = self._clock.now_ms()
        valid = [
            strike
            for strike in self._strikes_by_fingerprint.get(fingerprint, ())
            if now_ms - strike.at_ms < STRIKE_TTL_MS
            and not self._is_mass_loss(strike)
            and not self._was_already_lost(strike)
        ]
        return sorted(valid, key=lambda strike: strike.at_ms)

    def _was_already_lost(self, strike: Strike) -> bool:
        """Return whether the engine was lost before it got the request.

        Instances learn of a loss with a delay and may still send to the
        lost engine.
        """
        return any(
            other.engine_id == strike.engine_id
            and other.at_ms < strike.dispatched_at_ms
            and 0.0 < strike.at_ms - other.at_ms <= LOSS_WINDOW_MS
            for other in self._all_strikes()
        )

    def _is_mass_loss(self, strike: Strike) -> bool:
        zone_by_lost_engine = {
            other.engine_id: other.zone
            for other in self._all_strikes()
            if abs(other.at_ms - strike.at_ms) <= LOSS_WINDOW_MS
        }
        in_zone = sum(
            zone == strike.zone for zone in zone_by_lost_engine.values()
        )
        zone_size = self._engines_in_zone(strike.zone)
        threshold = max(2, min(MASS_LOSS_IN_ZONE, zone_size))
        return (
            in_zone >= threshold or len(zone_by_lost_engine) >= MASS_LOSS_TOTAL
        )

    def _clear(
        self, fingerprint: ids.Fingerprint, at_ms: float | None = None
    ) -> None:
        at_ms = self._clock.now_ms() if at_ms is None else at_ms
        existing = self._strikes_by_fingerprint.get(fingerprint, ())
        remaining = tuple(
            strike for strike in existing if strike.at_ms > at_ms
        )
        if len(remaining) < len(existing):
            self._cleared_at_ms[fingerprint] = at_ms
        if remaining:
            self._strikes_by_fingerprint[fingerprint] = remaining
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
