"""Properties of the commit point."""

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
        text += "".join(part.text for part in commit.deliveries)
    return text


@hypothesis.given(strategies.lists(strategies.integers(0, 45), max_size=6))
def test_answer_is_whole_wherever_attempts_are_lost(losses):
    generation = _generation()
    parts = []
    for length in [*losses, 100]:
        events = list(_events(generation.begin_attempt()))
        for event in events[:length]:
            commit = generation.commit(event)
            parts.extend(commit.deliveries)
        if generation.finished:
            break
    text = "".join(part.text for part in parts)
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
def test_late_crossed_and_repeated_events_change_nothing(order):
    generation = _generation()
    events_by_attempt = {}
    parts = []
    for attempt, position in order:
        while attempt > generation.owner:
            request = generation.begin_attempt()
            events_by_attempt[generation.owner] = list(_events(request))
        events = events_by_attempt[attempt]
        event = events[min(position, len(events) - 1)]
        parts.extend(generation.commit(event).deliveries)
    text = "".join(part.text for part in parts)
    assert chain.check_text(text, "1", "", PROMPT).complete
    ids = [token for part in parts for token in part.ids]
    assert ids == generation.delivered_ids


@hypothesis.given(strategies.integers(0, 200), strategies.integers(1, 9))
def test_stop_string_cuts_where_one_attempt_would(start, length):
    whole = _complete_text()
    stop = whole[start : start + length] or "x"
    expected = whole[: whole.index(stop)] if stop in whole else whole
    assert _complete_text((stop,)) == expected


@hypothesis.given(strategies.integers(0, 40), strategies.integers(1, 9))
def test_restored_generation_goes_on_after_delivered_tokens(held, attempts):
    whole = _generation()
    for event in _events(whole.begin_attempt()):
        whole.commit(event)
    generation = _generation()
    generation.restore(whole.delivered_ids[:held], attempts)
    request = generation.begin_attempt()
    assert request.attempt == attempts + 1
    for event in _events(request):
        generation.commit(event)
    assert generation.delivered_ids == whole.delivered_ids
