"""Each promise is found broken where it is."""

import pytest

from tests.soak import guarantees


def answer(kind="order", status=200, body=b"", **fields):
    values = {"not_run": False, "undisturbed": True, **fields}
    return guarantees.Answer("a-1", kind, status, body, **values)


@pytest.mark.parametrize(
    ("seen", "runs", "words"),
    [
        (answer(), 2, "ran 2 times"),
        (answer(status=503, not_run=True), 1, "said not to have run"),
        (answer(status=None), 1, "got no answer"),
        (answer("stream", body=b"id: 1\n"), 1, "looks whole"),
    ],
)
def test_broken_answer_is_found(seen, runs, words):
    ledger = guarantees.Observations(answers=[seen])
    ledger.runs_by_id["a-1"] = runs
    (found,) = ledger.violations()
    assert words in found


def test_sound_answers_break_nothing():
    ledger = guarantees.Observations(
        answers=[
            answer(),
            answer(status=None, undisturbed=False),
            answer("stream", body=guarantees.expected_stream()),
            answer("stream", status=None, body=b"id: 1\n"),
        ]
    )
    ledger.runs_by_id["a-1"] = 1
    assert ledger.violations() == []


@pytest.mark.parametrize(
    ("reads", "words"),
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
def test_broken_read_is_found(reads, words):
    ledger = guarantees.Observations(reads=reads, acknowledged=[(1.0, 9)])
    assert words in ledger.violations()[0]


def test_read_that_began_before_an_acknowledgement_may_be_older():
    ledger = guarantees.Observations(
        reads=[guarantees.Read(0.5, 3.0, 8, "x")], acknowledged=[(1.0, 9)]
    )
    assert ledger.violations() == []
