"""Parsers of bytes from outside fail only with typed errors."""

import hypothesis
from hypothesis import strategies
import msgspec
import orjson
import pytest

from oriolejunction.consensus import segments
from oriolejunction import errors
from oriolejunction.http import engine_client
from oriolejunction.http import openai_requests
from oriolejunction.http import resumption
from oriolejunction import message_base
from oriolejunction.peers import methods
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import checks
from oriolejunction.questionnaire import generate

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(), inner, max_size=4),
    max_leaves=8,
)
body_fields = strategies.dictionaries(
    strategies.sampled_from(openai_requests.CompletionBody.__struct_fields__),
    json_values,
    max_size=6,
)


@hypothesis.given(strategies.binary(max_size=200), strategies.booleans())
def test_caller_body_of_any_bytes(data, chat):
    with pytest.raises(errors.Failure) as caught:
        openai_requests.parse(data, chat)
    assert isinstance(caught.value.error, errors.MalformedRequest)


@hypothesis.given(body_fields, strategies.booleans())
def test_caller_body_of_any_json(fields, chat):
    valid_body = {"model": "m", "prompt": "p", "messages": [{"role": "user"}]}
    data = orjson.dumps(valid_body | fields)
    try:
        body = openai_requests.parse(data, chat)
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.MalformedRequest)
        assert failure.error.outcome.value == "not_run"
    else:
        assert isinstance(body.model, str)


@hypothesis.given(strategies.lists(strategies.binary(max_size=60)))
def test_engine_events_of_any_bytes(chunks):
    rest = b""
    try:
        for chunk in chunks:
            events, rest = engine_client.parse_events(rest + chunk)
            assert all(event.offset >= 0 for event in events)
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.AttemptLost)


@hypothesis.given(strategies.data())
def test_engine_events_in_chunks_of_any_size(data):
    raw = b"".join(
        b'data: {"generation":"g","attempt":1,"offset":%d}\n\n' % offset
        for offset in range(5)
    )
    cuts = data.draw(strategies.sets(strategies.integers(0, len(raw))))
    rest, offsets = b"", []
    bounds = [0, *sorted(cuts), len(raw)]
    for start, end in zip(bounds, bounds[1:]):
        events, rest = engine_client.parse_events(rest + raw[start:end])
        offsets.extend(event.offset for event in events)
    assert (offsets, rest) == ([0, 1, 2, 3, 4], b"")


@hypothesis.given(strategies.text(max_size=200))
def test_questionnaire_of_any_text(text):
    with pytest.raises(errors.Failure) as caught:
        answer_files.parse(text)
    assert isinstance(caught.value.error, errors.FaultyAnswers)


@hypothesis.given(
    strategies.builds(
        answer_files.Answers,
        models=strategies.lists(
            strategies.from_type(answer_files.ModelAnswer), max_size=2
        ).map(tuple),
        engines=strategies.lists(
            strategies.from_type(answer_files.EngineAnswer), max_size=2
        ).map(tuple),
        services=strategies.lists(
            strategies.from_type(answer_files.ServiceAnswer), max_size=2
        ).map(tuple),
        workspaces=strategies.lists(
            strategies.from_type(answer_files.WorkspaceAnswer), max_size=2
        ).map(tuple),
    )
)
def test_checks_of_any_answers(answers):
    if not checks.find_faults(answers):
        generate.build_configuration(answers)


@hypothesis.given(
    strategies.sampled_from(
        [methods.PROPOSE, methods.RENEW, methods.STATUS, methods.AUDIT]
    ),
    strategies.binary(max_size=200),
)
def test_peer_messages_of_any_bytes(method, data):
    try:
        message = msgspec.msgpack.decode(data, type=method.request_type)
    except msgspec.DecodeError:
        return
    assert isinstance(message, message_base.Message)


@hypothesis.given(strategies.lists(strategies.binary(min_size=1)))
def test_log_segment_round_trip(bodies):
    data = b"".join(map(segments.encode_frame, bodies))
    assert segments.read_frames(data, "log") == (bodies, len(data))


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=40), min_size=1),
    strategies.data(),
)
def test_torn_tail_of_log_segment_is_dropped(bodies, data):
    segment = b"".join(map(segments.encode_frame, bodies))
    last = len(segments.encode_frame(bodies[-1]))
    torn_length = len(segment) - data.draw(strategies.integers(1, last))
    found, end = segments.read_frames(segment[:torn_length], "log")
    assert found == bodies[:-1]
    assert end == len(segment) - last


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=40), min_size=2),
    strategies.data(),
)
def test_damaged_middle_of_log_segment_is_refused(bodies, data):
    segment = bytearray(b"".join(map(segments.encode_frame, bodies)))
    first = len(segments.encode_frame(bodies[0]))
    position = data.draw(strategies.integers(0, first - 1))
    segment[position] ^= data.draw(strategies.integers(1, 255))
    with pytest.raises(errors.Failure) as caught:
        segments.read_frames(bytes(segment), "log")
    assert isinstance(caught.value.error, errors.CorruptLog)


@hypothesis.given(strategies.text(max_size=80))
def test_event_id_of_any_text(text):
    try:
        event_id = resumption.parse_event_id(text)
    except errors.Failure as failure:
        assert isinstance(
            failure.error, (errors.ResumeRefused, errors.GenerationLost)
        )
    else:
        assert event_id.offset >= 0
