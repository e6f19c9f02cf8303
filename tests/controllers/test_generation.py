"""Properties of a generation and its commit point."""

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers import generation as generations
from oriolejunction import engine_protocol
from oriolejunction.standin import chain
from oriolejunction.standin import engine_stream
from oriolejunction import states

PROMPT = "p [[length=40]]"


def _generation(stop=()):
    return generations.Generation(
        "g",
        generations.GenerationRequest(
            workspace="w",
            model="m",
            version="1",
            adapter="",
            prompt=PROMPT,
            max_tokens=100,
            sampling=engine_protocol.Sampling(),
            stop=stop,
        ),
    )


def _events(request):
    stream = engine_stream.open_stream(request)
    while not stream.finished:
        engine_stream.step(stream)
    for raw in stream.event_by_position:
        yield engine_stream.decode_event(raw)


def _complete_text(stop=()):
    generation = _generation(stop)
    text = ""
    for event in _events(generation.begin_attempt()):
        commit = generation.commit(event)
        text += "".join(d.text for d in commit.deliveries)
    return text


@hypothesis.given(strategies.lists(strategies.integers(0, 45), max_size=6))
def test_answer_is_complete_wherever_attempts_are_lost(losses):
    generation = _generation()
    deliveries = []
    for event_count in [*losses, 100]:
        events = list(_events(generation.begin_attempt()))
        for event in events[:event_count]:
            commit = generation.commit(event)
            deliveries.extend(commit.deliveries)
        if generation.finished:
            break
    text = "".join(d.text for d in deliveries)
    assert chain.check_text(text, "1", "", PROMPT) == chain.CheckResult(
        True, 40
    )
    assert generation.finish_reason is states.FinishReason.STOP


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3), strategies.integers(0, 41)
        ),
        max_size=200,
    ),
)
def test_reordered_late_and_repeated_events_do_not_corrupt_the_answer(order):
    generation = _generation()
    events_by_attempt = {}
    deliveries = []
    for attempt, position in order:
        while attempt > generation.owner:
            request = generation.begin_attempt()
            events_by_attempt[generation.owner] = list(_events(request))
        events = events_by_attempt[attempt]
        event = events[min(position, len(events) - 1)]
        deliveries.extend(generation.commit(event).deliveries)
    text = "".join(d.text for d in deliveries)
    assert chain.check_text(text, "1", "", PROMPT).complete
    ids = [token for d in deliveries for token in d.ids]
    assert ids == generation.delivered_ids


@hypothesis.given(strategies.integers(0, 200), strategies.integers(1, 9))
def test_stop_string_truncates_at_its_first_position(start, length):
    complete = _complete_text()
    stop = complete[start : start + length] or "x"
    expected = (
        complete[: complete.index(stop)] if stop in complete else complete
    )
    assert _complete_text((stop,)) == expected


@hypothesis.given(strategies.integers(0, 40), strategies.integers(1, 9))
def test_restored_generation_continues_after_delivered_tokens(
    delivered_count, last_attempt
):
    complete = _generation()
    for event in _events(complete.begin_attempt()):
        complete.commit(event)
    generation = _generation()
    generation.restore(complete.delivered_ids[:delivered_count], last_attempt)
    request = generation.begin_attempt()
    assert request.attempt == last_attempt + 1
    for event in _events(request):
        generation.commit(event)
    assert generation.delivered_ids == complete.delivered_ids
