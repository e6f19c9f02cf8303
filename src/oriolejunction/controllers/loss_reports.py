"""Reports of stalled and lost attempts, for routing and quarantine."""

import dataclasses

from reactivex import subject
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import route_request
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction import engine_protocol
from oriolejunction import states
from oriolejunction import telemetry as metrics

_log = structlog.get_logger(__name__)
_CONNECTION_CAUSES = (
    states.LossCause.DISCONNECTED,
    states.LossCause.NOT_REACHED,
)


@dataclasses.dataclass(frozen=True)
class LossReporter:
    """Publish, count and log the lost attempts of one generation.

    An attempt that is reported must still be watched by `detector`.
    """

    generation: generations.Generation
    telemetry: metrics.Telemetry
    detector: detectors.SilenceDetector
    clock: clocks.Clock
    attempt_losses: subject.Subject
    attempt_stalls: subject.Subject

    def report_loss(
        self, attempt: generation_attempt.Attempt, cause: states.LossCause
    ) -> None:
        """Report an attempt that is given up on."""
        loss = self._describe(attempt, cause)
        self.telemetry.attempts_lost.inc(
            {"engine": loss.engine_id, "cause": cause.value}
        )
        _log.warning(
            "attempt lost",
            generation=loss.generation,
            engine=loss.engine_id,
            cause=cause.value,
            engine_wide=loss.engine_wide,
            delivered=len(self.generation.delivered_ids),
        )
        self.attempt_losses.on_next(loss)

    def report_stall(self, attempt: generation_attempt.Attempt) -> None:
        """Report an attempt that is silent for too long but stays open."""
        now_ms = self.clock.now_ms()
        silence_ms = self.detector.silence_ms(
            attempt.engine.engine_id, attempt.key, now_ms
        )
        self._log_stall("engine stalled", attempt, silence_ms)
        self.attempt_stalls.on_next(
            self._describe(attempt, states.LossCause.SILENT)
        )

    def report_continued(self, attempt: generation_attempt.Attempt) -> None:
        """Report a stalled attempt that has continued."""
        stalled_ms = self.clock.now_ms() - (attempt.stalled_since_ms or 0.0)
        self._log_stall("stalled engine continued", attempt, stalled_ms)

    def count_dropped(
        self, events: list[engine_protocol.EngineEvent], why: str
    ) -> None:
        """Count the tokens of events that the commit point refused."""
        tokens = sum(len(event.ids) for event in events)
        self.telemetry.tokens_dropped.add({"why": why}, tokens)

    def _log_stall(
        self,
        decision: str,
        attempt: generation_attempt.Attempt,
        duration_ms: float,
    ) -> None:
        _log.warning(
            decision,
            generation=self.generation.generation_id,
            engine=attempt.engine.engine_id,
            attempt=attempt.request.attempt,
            ms=round(duration_ms),
            delivered=len(self.generation.delivered_ids),
        )

    def _describe(
        self, attempt: generation_attempt.Attempt, cause: states.LossCause
    ) -> blackboards.AttemptLoss:
        now_ms = self.clock.now_ms()
        return blackboards.AttemptLoss(
            engine_id=attempt.engine.engine_id,
            generation=self.generation.generation_id,
            workspace=self.generation.request.workspace,
            fingerprint=route_request.fingerprint_of(self.generation.request),
            cause=cause,
            at_ms=now_ms,
            engine_wide=_is_engine_wide(attempt, cause, self.detector, now_ms),
        )


def _is_engine_wide(
    attempt: generation_attempt.Attempt,
    cause: states.LossCause,
    detector: detectors.SilenceDetector,
    now_ms: float,
) -> bool:
    """Return whether the loss seems to affect all streams of the engine.

    It does if no other stream progressed since the connection was lost, or
    in the second half of the silence.
    """
    engine_id = attempt.engine.engine_id
    if cause in _CONNECTION_CAUSES:
        since_ms = attempt.reattaching_since_ms or now_ms
    elif cause is states.LossCause.SILENT:
        silence_ms = detector.silence_ms(engine_id, attempt.key, now_ms)
        since_ms = now_ms - silence_ms / 2
    else:
        return False
    return not detector.others_progressed(engine_id, attempt.key, since_ms)
