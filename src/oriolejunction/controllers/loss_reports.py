"""Reports of lost attempts, for routing and quarantine."""

from oriolejunction import blackboard as blackboards
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import route_request
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction import states

_CONNECTION_CAUSES = (
    states.LossCause.DISCONNECTED,
    states.LossCause.NOT_REACHED,
)


def describe_loss(
    generation: generations.Generation,
    attempt: generation_attempt.Attempt,
    cause: states.LossCause,
    detector: detectors.SilenceDetector,
    now_ms: float,
) -> blackboards.AttemptLoss:
    """Describe the loss of an attempt that `detector` still watches."""
    return blackboards.AttemptLoss(
        engine_id=attempt.engine.engine_id,
        generation=generation.generation_id,
        workspace=generation.request.workspace,
        fingerprint=route_request.fingerprint_of(generation.request),
        cause=cause,
        at_ms=now_ms,
        engine_wide=_is_engine_wide(attempt, cause, detector, now_ms),
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
