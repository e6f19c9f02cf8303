"""What an engine's report says about an attempt without any event yet.

Load patterns: an engine whose speed is not known yet, or that has just turned
slow, takes several times the expected time for a prefill; giving up on it
wastes the prefill. Another engine has produced events, and the answer was lost
on its way; waiting for it wastes the caller's time. Both accept connections.
"""

import enum

from oriolejunction import gateway_messages
from oriolejunction import ids


class RunProgress(enum.Enum):
    """Progress of an attempt according to its engine."""

    WORKING = "working"
    ANSWER_LOST = "answer_lost"
    GONE = "gone"
    UNKNOWN = "unknown"


def progress_of(
    report: gateway_messages.EngineReport | None,
    request_id: ids.RequestId,
    first_event: int,
) -> RunProgress:
    """Return the progress of an attempt that the caller got no event of.

    `first_event` is the number of the event that it would begin with. A
    report is older than the way of an event to this instance, so that
    reported events of a new stream will not come any more. The events of a
    resumed stream cannot be told from those of its former engine.
    """
    if report is None:
        return RunProgress.UNKNOWN
    run = report.run_by_request.get(request_id)
    if run is None:
        # An engine does not name the requests that it has yet to prefill.
        if report.before_first_event:
            return RunProgress.WORKING
        return RunProgress.GONE
    if run.events and first_event == 1:
        return RunProgress.ANSWER_LOST
    return RunProgress.WORKING
