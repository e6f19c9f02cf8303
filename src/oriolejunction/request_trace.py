"""The story of one request, from the logs of several processes."""

import collections.abc
import dataclasses
import json

NON_FACT_FIELDS = frozenset(
    ("event", "request", "timestamp", "instance", "level", "zone", "route")
)


@dataclasses.dataclass(frozen=True)
class TraceEntry:
    """One log line that names the request."""

    timestamp: str
    instance: str
    event: str
    facts: dict[str, object]


def collect(
    request_id: str, lines: collections.abc.Iterable[str]
) -> list[TraceEntry]:
    """Return the lines of a request in order of time.

    What stands before the JSON of a line, and lines that are none, are
    passed over. Wall clocks of machines may differ by some ms.
    """
    found = []
    for line in lines:
        if request_id not in line or "{" not in line:
            continue
        try:
            fields = json.loads(line[line.index("{") :])
        except json.JSONDecodeError:
            continue
        if fields.get("request") == request_id:
            found.append(_trace_entry(fields))
    return sorted(found, key=lambda step: step.timestamp)


def _trace_entry(fields: dict[str, object]) -> TraceEntry:
    return TraceEntry(
        str(fields.get("timestamp", "")),
        str(fields.get("instance", "")),
        str(fields.get("event", "")),
        {k: v for k, v in fields.items() if k not in NON_FACT_FIELDS},
    )


def format_trace(found: list[TraceEntry]) -> str:
    """Return the story, a line for each step."""
    return "\n".join(
        f"{step.timestamp} {step.instance}: {step.event} "
        + " ".join(f"{key}={value}" for key, value in step.facts.items())
        for step in found
    )
