"""Silence limits of an attempt, by the loss policy of its generation."""

import dataclasses
import math

from oriolejunction import clock as clocks
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import silence_detector as detectors

REATTACH_BOUND_MS = 250.0


@dataclasses.dataclass(frozen=True)
class SilenceLimits:
    """Silence limits of the attempts of one generation, in ms."""

    detector: detectors.SilenceDetector
    clock: clocks.Clock
    policy: loss_policy.LossPolicy

    def elapsed_ms(self, attempt: generation_attempt.Attempt) -> float:
        """Return the time since the last event of an attempt."""
        return self.detector.silence_ms(
            attempt.engine.engine_id, attempt.key, self.clock.now_ms()
        )

    def give_up_ms(self, attempt: generation_attempt.Attempt) -> float:
        """Return the silence after which an attempt is given up on."""
        since_ms = attempt.reattaching_since_ms
        if since_ms is not None:
            # Silence counts from the last event, the bound on reattaching
            # from the loss of the connection.
            minus_last_event_ms = (
                self.elapsed_ms(attempt) - self.clock.now_ms()
            )
            return minus_last_event_ms + since_ms + REATTACH_BOUND_MS
        limit_ms = self._limit_ms(
            attempt, self.policy.give_up, self.policy.give_up_first
        )
        if self._is_queued_at_engine(attempt, limit_ms):
            return self.policy.first_ceiling_ms
        return limit_ms

    def suspect_ms(self, attempt: generation_attempt.Attempt) -> float:
        """Return the silence after which a second attempt may start."""
        policy = self.policy
        if policy.suspect is None or policy.suspect_first is None:
            return math.inf
        limit_ms = self._limit_ms(
            attempt, policy.suspect, policy.suspect_first
        )
        if self._is_queued_at_engine(attempt, limit_ms):
            return math.inf
        return limit_ms

    def _limit_ms(
        self,
        attempt: generation_attempt.Attempt,
        decode: detectors.SilenceBounds,
        first: detectors.SilenceBounds,
    ) -> float:
        return self.detector.limit_ms(
            attempt.engine.engine_id, attempt.key, decode, first
        )

    def _is_queued_at_engine(
        self, attempt: generation_attempt.Attempt, limit_ms: float
    ) -> bool:
        """Return whether an attempt seems to wait behind other streams.

        It has no event yet, but other streams of its engine make progress.
        """
        engine_id = attempt.engine.engine_id
        if self.detector.has_started(engine_id, attempt.key):
            return False
        since_ms = self.clock.now_ms() - limit_ms
        return self.detector.others_progressed(
            engine_id, attempt.key, since_ms
        )
