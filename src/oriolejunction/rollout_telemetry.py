"""Metrics of rollouts at a control replica, by ``aioprometheus``."""

import aioprometheus

from oriolejunction.controllers import rollout_book
from oriolejunction.controllers import rollout_tally


class RolloutTelemetry:
    """Gauges of the rollouts that this control replica leads."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = aioprometheus.Gauge(
            "oj_rollout_requests",
            "Requests since the order, by service, version and event.",
            registry=self.registry,
        )
        self.granted = aioprometheus.Gauge(
            "oj_rollout_granted",
            "Requests that instances may send to the target, by service.",
            registry=self.registry,
        )

    def record(
        self,
        rollout: rollout_book.Rollout,
        counts: rollout_tally.CountsByRoute,
    ) -> None:
        """Update the gauges of one rollout."""
        service = {"service": rollout.service}
        self.granted.set(service, rollout.granted)
        for software, by_route in counts.items():
            for event in ("sent", "ended", "failed"):
                self.requests.set(
                    {**service, "version": software, "event": event},
                    sum(getattr(each, event) for each in by_route.values()),
                )
