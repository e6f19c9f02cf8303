"""Each violated guarantee is reported."""

import pytest

from tests.soak import guarantees


def make_answer(kind="order", status=200, body=b"", **fields):
    values = {"not_run": False, "undisturbed": True, **fields}
    return guarantees.Answer("a-1", kind, status, body, **values)


@pytest.mark.parametrize(
    ("observed", "runs", "message"),
    [
        (make_answer(), 2, "ran 2 times"),
        (make_answer(status=503, not_run=True), 1, "says not_run"),
        (make_answer(status=None), 1, "got no answer"),
        (make_answer("stream", body=b"id: 1\n"), 1, "looks complete"),
    ],
)
def test_answer_that_violates_a_guarantee_is_reported(observed, runs, message):
    observations = guarantees.Observations(answers=[observed])
    observations.runs_by_id["a-1"] = runs
    (violation,) = observations.violations()
    assert message in violation


def test_valid_answers_violate_nothing():
    observations = guarantees.Observations(
        answers=[
            make_answer(),
            make_answer(status=None, undisturbed=False),
            make_answer("stream", body=guarantees.expected_stream()),
            make_answer("stream", status=None, body=b"id: 1\n"),
        ]
    )
    observations.runs_by_id["a-1"] = 1
    assert observations.violations() == []


@pytest.mark.parametrize(
    ("reads", "message"),
    [
        ([guarantees.Read(2.0, 3.0, 8, "x")], "read 8 after 9"),
        (
            [
                guarantees.Read(0.0, 0.5, 10, "x"),
                guarantees.Read(2.0, 3.0, 9, "y"),
            ],
            "read 9 after 10",
        ),
        (
            [
                guarantees.Read(0.0, 0.5, 10, "x"),
                guarantees.Read(0.0, 0.5, 10, "y"),
            ],
            "two documents",
        ),
    ],
)
def test_stale_or_conflicting_read_is_reported(reads, message):
    observations = guarantees.Observations(
        reads=reads, acknowledged=[(1.0, 9)]
    )
    assert message in observations.violations()[0]


def test_read_that_began_before_an_acknowledgement_may_be_older():
    observations = guarantees.Observations(
        reads=[guarantees.Read(0.5, 3.0, 8, "x")], acknowledged=[(1.0, 9)]
    )
    assert observations.violations() == []


@pytest.mark.parametrize(
    ("late_s", "boot", "disturbed", "is_broken"),
    [
        (0.6, 1, 9, True),
        # Under way when the server asked, or after the pause.
        (0.4, 1, 9, False),
        (2.1, 1, 9, False),
        # The instance had started again, or was killed or paused.
        (0.6, 2, 9, False),
        (0.6, 1, 1, False),
    ],
)
def test_requests_in_a_pause_are_reported(late_s, boot, disturbed, is_broken):
    asked = guarantees.Sender("entry-0", 1)
    later = guarantees.Sender("entry-0", boot)
    observations = guarantees.Observations(
        pauses=[guarantees.Pause(10.0, 12.0, "i-1", asked)],
        arrivals=[guarantees.Arrival(10.0 + late_s, "i-1", later)] * 3,
        disturbed={guarantees.Sender("entry-0", disturbed)},
    )
    assert bool(observations.violations()) == is_broken
    del observations.arrivals[0]
    assert observations.violations() == []


def test_stream_at_two_engines_for_too_long_is_reported():
    observations = guarantees.Observations(
        stream_runs=[
            guarantees.StreamRun("a-1", "i-0", 1.0, 3.0),
            guarantees.StreamRun("a-1", "i-1", 2.5, 3.5),
            guarantees.StreamRun("a-2", "i-0", 1.0, 2.0),
            guarantees.StreamRun("a-2", "i-1", 1.7, 2.5),
        ]
    )
    (overlap,) = observations.overlapping_runs()
    assert "i-0 worked on a-1 for 0.50 s after i-1 began" in overlap
