"""Metrics of one instance, by ``aioprometheus``."""

import collections

import aioprometheus
import msgspec

from oriolejunction import invariants
from oriolejunction.peers import traffic

LATENCY_BUCKETS_MS = [
    10.0,
    30.0,
    100.0,
    200.0,
    500.0,
    700.0,
    1_000.0,
    2_000.0,
    4_500.0,
    10_000.0,
    25_000.0,
    float("inf"),
]


class _Counter(aioprometheus.Counter):
    """A counter whose increments are added once its values are read.

    aioprometheus encodes and checks the labels at each addition, which took
    a thirtieth of the processor time of a call.
    """

    def __init__(self, *args, **kwargs) -> None:
        self._pending: collections.Counter[tuple] = collections.Counter()
        super().__init__(*args, **kwargs)

    def inc(self, labels: dict[str, str]) -> None:
        """Add 1."""
        self._pending[tuple(labels.items())] += 1

    @property
    def values(self):
        """Return the values by labels, with all increments."""
        pending, self._pending = self._pending, collections.Counter()
        for labels, count in pending.items():
            self.add(dict(labels), count)
        return self._values

    @values.setter
    def values(self, values) -> None:
        self._values = values


class _MetricsBase:
    """A registry and a way to add counters to it."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return _Counter(name, doc, registry=self.registry)


class Telemetry(_MetricsBase):
    """Counters and gauges with their registry."""

    def __init__(self) -> None:
        super().__init__()
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
        self.journal_sent = aioprometheus.Gauge(
            "oj_journal_sent",
            "Tokens sent to the journal and bytes sent for them.",
            registry=self.registry,
        )
        self.journal_replicas_lost = self._counter(
            "oj_journal_replicas_lost_total",
            "Batches that a journal replica did not acknowledge.",
        )
        self.journals_unprotected = self._counter(
            "oj_journals_unprotected_total",
            "Times that no journal replica was found for a generation.",
        )
        self.takeovers = self._counter(
            "oj_takeovers_total", "Resumed generations, by outcome."
        )
        self.second_attempts = self._counter(
            "oj_second_attempts_total",
            "Attempts started while a suspected one was still running.",
        )
        self.false_suspicions = self._counter(
            "oj_false_suspicions_total",
            "Suspected attempts that continued by themselves.",
        )
        self.reattached = self._counter(
            "oj_reattached_total",
            "Engine streams resumed after their connection was lost.",
        )
        self.peer_traffic = aioprometheus.Gauge(
            "oj_peer_traffic",
            "Bytes and messages exchanged with peers by this process.",
            registry=self.registry,
        )
        self.invariants_violated = aioprometheus.Gauge(
            "oj_invariants_violated",
            "Violations of invariants, by name of the invariant.",
            registry=self.registry,
        )

    def record_process(self) -> None:
        """Update the gauges from the totals of the process."""
        self.record_traffic(traffic.totals)
        for name, count in invariants.violations_by_name.items():
            self.invariants_violated.set({"invariant": name}, count)

    def record_journal(self, tokens: int, bytes_sent: int) -> None:
        """Update the totals of what other instances journalled."""
        self.journal_sent.set({"kind": "tokens"}, tokens)
        self.journal_sent.set({"kind": "bytes"}, bytes_sent)

    def record_traffic(self, totals: traffic.Traffic) -> None:
        """Update the totals exchanged with peers."""
        for kind, value in msgspec.structs.asdict(totals).items():
            self.peer_traffic.set({"kind": kind}, value)


class GatewayTelemetry(_MetricsBase):
    """Counters and histograms of a deployment's own routes."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = self._counter(
            "oj_answers_total",
            "Answers to callers, by kind, outcome and reason.",
        )
        self.attempts = self._counter(
            "oj_attempts_total",
            "Requests sent to backend servers, by service and event.",
        )
        self.full_servers = self._counter(
            "oj_full_servers_total",
            "Times that a server had no capacity, by service.",
        )
        self.rollout_requests = self._counter(
            "oj_rollout_requests_total",
            "Requests during a rollout, by service, software and event.",
        )
        self.first_piece_ms = aioprometheus.Histogram(
            "oj_first_piece_ms",
            "Time to the answer, for streams to the first event.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_MS,
        )
        self.resume_ms = aioprometheus.Histogram(
            "oj_resume_ms",
            "Time from an engine's last event to the next engine's first.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_MS,
        )
