"""An engine's own report of the requests that it runs.

Entries may come from different writers, so an entry that can't be read is
skipped and the others are used.
"""

import msgspec

from oriolejunction import gateway_messages
from oriolejunction import ids
from oriolejunction.platform import backend_list
from oriolejunction import tolerant_json

TARGET = "/v1/report"


class _Report(msgspec.Struct):
    queued: tolerant_json.Count = msgspec.field(
        name="queuedRequests", default=0
    )
    # Includes requests in prefill, which `runs` does not list yet.
    active: tolerant_json.Count = msgspec.field(
        name="activeRequests", default=0
    )
    # Each entry is [request id, tokens in memory, events made, priority].
    runs: list[msgspec.Raw] = []
    born: object = 0


_decode_report = msgspec.json.Decoder(_Report).decode
_decode_run = msgspec.json.Decoder(
    tuple[str, tolerant_json.Count, tolerant_json.Count, int]
).decode


def read_report(body: bytes) -> gateway_messages.EngineReport | None:
    """Return a report, None if it cannot be read."""
    try:
        report = _decode_report(body)
    except tolerant_json.DECODE_ERRORS:
        return None
    run_by_request = {}
    for entry in report.runs:
        try:
            request_id, kv_tokens, events, _ = _decode_run(entry)
        except tolerant_json.DECODE_ERRORS:
            continue
        run_by_request[ids.RequestId(request_id)] = (
            gateway_messages.ReportedRun(kv_tokens, events)
        )
    before_first_event = report.queued + report.active - len(report.runs)
    return gateway_messages.EngineReport(
        max(0, before_first_event),
        run_by_request,
        backend_list.read_born(report.born),
    )
