"""What a report says of an attempt without any event yet."""

import pytest

from oriolejunction.controllers import run_progress
from oriolejunction import gateway_messages
from oriolejunction import ids

REQUEST = ids.RequestId("a1")


def report(before_first_event=0, **events_by_request):
    return gateway_messages.EngineReport(
        before_first_event,
        {
            ids.RequestId(request): gateway_messages.ReportedRun(4_000, events)
            for request, events in events_by_request.items()
        },
    )


@pytest.mark.parametrize(
    ("engine_report", "first_event", "expected"),
    [
        (report(a1=0), 1, run_progress.RunProgress.WORKING),
        (report(a1=0), 40, run_progress.RunProgress.WORKING),
        (report(a1=3), 1, run_progress.RunProgress.ANSWER_LOST),
        (report(a1=3), 40, run_progress.RunProgress.WORKING),
        (report(a2=3), 1, run_progress.RunProgress.GONE),
        (
            report(before_first_event=1, a2=3),
            1,
            run_progress.RunProgress.WORKING,
        ),
        (None, 1, run_progress.RunProgress.UNKNOWN),
    ],
)
def test_progress_of_an_attempt(engine_report, first_event, expected):
    """Load: engines turn slow, and others lose the answers that they make."""
    progress = run_progress.progress_of(engine_report, REQUEST, first_event)
    assert progress is expected
