"""Trace of one request, from the logs of several processes."""

import collections.abc
import dataclasses
import json

NON_FACT_FIELDS = frozenset(
    ("event", "request", "timestamp", "instance", "level", "zone", "route")
)


@dataclasses.dataclass(frozen=True)
class TraceEntry:
    """One log line about the request."""

    timestamp: str
    instance: str
    event: str
    facts: dict[str, object]


def collect(
    request_id: str, lines: collections.abc.Iterable[str]
) -> list[TraceEntry]:
    """Return the log lines of a request, sorted by timestamp.

    Text before the JSON of a line is ignored, and so are lines without JSON.
    Wall clocks of machines may differ by some ms.
    """
    entries = []
    for line in lines:
        if request_id not in line or "{" not in line:
            continue
        try:
            fields = json.loads(line[line.index("{") :])
        except json.JSONDecodeError:
            continue
        if fields.get("request") == request_id:
            entries.append(_trace_entry(fields))
    return sorted(entries, key=lambda entry: entry.timestamp)


def _trace_entry(fields: dict[str, object]) -> TraceEntry:
    return TraceEntry(
        str(fields.get("timestamp", "")),
        str(fields.get("instance", "")),
        str(fields.get("event", "")),
        {k: v for k, v in fields.items() if k not in NON_FACT_FIELDS},
    )


def format_trace(entries: list[TraceEntry]) -> str:
    """Return the trace as text, a line for each entry."""
    return "\n".join(
        f"{entry.timestamp} {entry.instance}: {entry.event} "
        + " ".join(f"{key}={value}" for key, value in entry.facts.items())
        for entry in entries
    )


def find_cause(entries: list[TraceEntry]) -> str:
    """Return how a request ended and why, from the last line that says so.

    The reasons are the terms of docs/OPERATIONS.md.
    """
    given_up = [e for e in entries if e.event.endswith("given up")]
    for entry in reversed(given_up or entries):
        describe = _DESCRIBE_BY_EVENT.get(entry.event)
        if describe is not None:
            return describe(entry.facts, entries) + _versions(entries)
    return "unknown: no line tells how the request ended"


def _describe_complete(
    facts: dict[str, object], entries: list[TraceEntry]
) -> str:
    lost = _lost_attempts(entries)
    return (
        f"complete after {facts.get('took_ms')} ms, first event after"
        f" {facts.get('first_ms')} ms, longest pause"
        f" {facts.get('longest_pause_ms')} ms" + (f"; {lost}" if lost else "")
    )


def _describe_given_up(
    facts: dict[str, object], entries: list[TraceEntry]
) -> str:
    unanswered = facts.get("unanswered_ms") or {}
    details = [
        f"{backend} had not answered after {waited_ms} ms"
        for backend, waited_ms in unanswered.items()
    ]
    lost = _lost_attempts(entries)
    return "; ".join(
        [f"given up, {facts.get('reason')}", *details, *([lost] * bool(lost))]
    )


def _describe_failed(
    facts: dict[str, object], entries: list[TraceEntry]
) -> str:
    return (
        f"rejected, {facts.get('code')} ({facts.get('outcome')}):"
        f" {facts.get('why')}; retry after {facts.get('retry_after_ms')} ms"
    )


def _describe_answered(
    facts: dict[str, object], entries: list[TraceEntry]
) -> str:
    return (
        f"answered with status {facts.get('status')} after"
        f" {facts.get('took_ms')} ms and {facts.get('attempts')} attempts"
    )


def _lost_attempts(entries: list[TraceEntry]) -> str:
    return "; ".join(
        f"{entry.facts.get('backend')} lost it: {entry.facts.get('why')}"
        for entry in entries
        if entry.event in ("attempt lost", "call broken off")
    )


def _versions(entries: list[TraceEntry]) -> str:
    """Return the software versions that the request was sent to."""
    versions = dict.fromkeys(
        str(entry.facts["software"])
        for entry in entries
        if entry.event in ("stream placed", "rollout decided send")
        and entry.facts.get("software")
        and entry.facts.get("sent", True)
    )
    return f"; at version {', '.join(versions)}" if versions else ""


_DESCRIBE_BY_EVENT = {
    "stream complete": _describe_complete,
    "stream given up": _describe_given_up,
    "call given up": _describe_given_up,
    "call answered": _describe_answered,
    "request failed": _describe_failed,
}
