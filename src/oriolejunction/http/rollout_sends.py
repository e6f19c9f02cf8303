"""Counts, logs and measures each request that is sent during a rollout."""

import structlog

from oriolejunction import backends
from oriolejunction.controllers import rollout_counts
from oriolejunction.controllers import rollout_gate
from oriolejunction.controllers import rollout_use
from oriolejunction.http import attempt_errors
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import telemetry

_log = structlog.get_logger(__name__)


class RolloutSend:
    """One request that a server was sent; its latencies are in ms."""

    def __init__(
        self,
        counted: rollout_counts.CountedSend,
        metrics: telemetry.GatewayTelemetry,
        labels: dict[str, str] | None,
    ) -> None:
        self._counted = counted
        self._metrics = metrics
        # None where there is no rollout.
        self._labels = labels

    @property
    def is_counted(self) -> bool:
        """Return whether a rollout of the service is in progress."""
        return self._labels is not None

    def record_failure(self) -> None:
        """Count an answer with the server's own error status."""
        self._counted.record_failure()
        self.count("failed")

    def record_answer(self, latency_ms: float) -> None:
        """Count the latency of an answer."""
        self._counted.record_latency(states.RolloutMeasure.ANSWER, latency_ms)

    def record_gap(self, event_ms: float) -> None:
        """Count a stream's time per event."""
        self._counted.record_latency(states.RolloutMeasure.EVENT, event_ms)

    def end(self) -> None:
        """Count the end of the request."""
        self._counted.end()

    def count(self, event: str) -> None:
        """Count an event in the metrics."""
        if self._labels is not None:
            self._metrics.rollout_requests.inc(
                {**self._labels, "event": event}
            )


def begin(
    gate: rollout_gate.RolloutGate,
    metrics: telemetry.GatewayTelemetry,
    use: rollout_use.RolloutUse,
    backend: backends.Backend,
    request_id: ids.RequestId,
) -> RolloutSend:
    """Count a request that is sent now.

    Raise `VersionWithheld` if it may not go to the server's version.
    """
    facts = gate.facts(use.service, backend.software)
    counted = gate.begin_send(use, backend.software)
    if facts is not None:
        log = _log.info
        if counted is not None and facts.is_unchanged:
            log = _log.debug
        log(
            "rollout decided send",
            request=request_id,
            route=use.route,
            backend=backend.backend_id,
            software=backend.software,
            sent=counted is not None,
            number=facts.number,
            phase=facts.phase.value,
            allowance_left=facts.left,
            age_ms=round(facts.age_ms),
        )
    elif counted is None:
        _log.info(
            "rollout decided send",
            request=request_id,
            route=use.route,
            backend=backend.backend_id,
            software=backend.software,
            sent=False,
        )
    if counted is None:
        raise attempt_errors.VersionWithheld
    send = RolloutSend(
        counted,
        metrics,
        facts and {"service": use.service, "software": backend.software},
    )
    send.count("sent")
    return send
