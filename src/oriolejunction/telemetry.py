"""Metrics of one instance, by ``aioprometheus``."""

import aioprometheus


class Telemetry:
    """Counters and gauges with their registry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            "oj_requests_total", "Caller requests by kind and outcome."
        )
        self.tokens = self._counter(
            "oj_tokens_total", "Tokens delivered to callers."
        )
        self.attempts_lost = self._counter(
            "oj_attempts_lost_total", "Attempts lost, by cause."
        )
        self.tokens_dropped = self._counter(
            "oj_tokens_dropped_total", "Tokens refused by the commit point."
        )
        self.extra_tokens = self._counter(
            "oj_extra_tokens_total", "Tokens computed more than once."
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)
