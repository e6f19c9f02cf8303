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
