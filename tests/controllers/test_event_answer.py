"""Numbered events are appended once, in order, by the owning attempt."""

import hypothesis
from hypothesis import strategies as st
import pytest

from oriolejunction.controllers import event_answer
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

V1 = ids.SoftwareVersion("v1")
STEPS = st.lists(
    st.one_of(
        st.just("attempt"),
        st.tuples(st.integers(0, 3), st.integers(1, 12)),
    ),
    max_size=60,
)


@hypothesis.given(st.integers(0, 5), STEPS)
def test_no_event_is_missing_repeated_or_from_a_former_attempt(
    last_event, steps
):
    answer = event_answer.EventAnswer(last_event)
    attempts = [answer.begin_attempt(V1)]
    delivered = []
    for step in steps:
        if step == "attempt":
            attempts.append(answer.begin_attempt(V1))
            continue
        age, number = step
        attempt = attempts[-1 - age % len(attempts)]
        event = gateway_messages.NumberedEvent(number, b"")
        outcome = answer.commit(attempt, event)
        if outcome is states.CommitOutcome.COMMITTED:
            assert attempt == attempts[-1]
            delivered.append(number)
    first = last_event + 1
    assert delivered == list(range(first, first + len(delivered)))
    assert answer.last_event == last_event + len(delivered)


def test_revoked_attempt_appends_nothing():
    answer = event_answer.EventAnswer()
    attempt = answer.begin_attempt(V1)
    answer.revoke(attempt)
    event = gateway_messages.NumberedEvent(1, b"")
    assert answer.commit(attempt, event) is states.CommitOutcome.NOT_OWNER


def test_weights_version_follows_the_events():
    answer = event_answer.EventAnswer()
    attempt = answer.begin_attempt(V1)
    answer.commit(
        attempt, gateway_messages.NumberedEvent(1, b"", weights_version=4)
    )
    assert answer.weights == 4


def test_answer_goes_on_only_at_the_version_of_its_first_event():
    v2 = ids.SoftwareVersion("v2")
    answer = event_answer.EventAnswer()
    answer.begin_attempt(V1)
    attempt = answer.begin_attempt(v2)
    answer.commit(attempt, gateway_messages.NumberedEvent(1, b""))
    assert answer.software == v2
    answer.begin_attempt(v2)
    with pytest.raises(errors.Failure):
        answer.begin_attempt(V1)
    invariants.violations_by_name.clear()
