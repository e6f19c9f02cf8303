"""Each decoder of input from outside refuses odd values by its own error."""

import grpc
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction.http import engine_client
from oriolejunction.http import fetch_errors
from oriolejunction.http import load_reports
from oriolejunction.http import openai_answers
from oriolejunction.http import openai_requests
from oriolejunction.http import operators
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc
from oriolejunction.platform import engine_report
from oriolejunction.questionnaire import answers as answer_files
from tests.platform import odd_json

DEEP_MESSAGES = (b"\x91" * 100_000 + b"\x01", b"\x81\xa1a" * 100_000 + b"\x01")
EVENT = {"generation": "g", "attempt": 1, "offset": 0, "ids": [5], "text": "a"}
LOAD = {"engine_id": "e", "incarnation": "i", "running": 1, "waiting": 2}
LOAD |= {"tokens_per_s": 10.0, "kv_tokens": 7}


def odd_fields(example):
    return st.dictionaries(
        st.sampled_from([*example, "other"]), odd_json.VALUES, min_size=1
    )


def require_sendable(message):
    msgspec.msgpack.encode(message)


@hypothesis.given(
    odd_fields({"queuedRequests": 2, "activeRequests": 5, "born": 1}),
    odd_json.VALUES,
)
def test_report_of_an_engine(fields, run):
    fields.setdefault("runs", b'[["a1",10,2,5],%s]' % run)
    report = engine_report.read_report(odd_json.changed({}, fields))
    if report is not None:
        require_sendable(report)


@hypothesis.given(odd_fields(EVENT))
def test_event_of_an_engine(fields):
    data = b"data: %s\n\n" % odd_json.changed(EVENT, fields)
    try:
        events, _ = engine_client.parse_events(data)
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.AttemptLost)
    else:
        require_sendable(events)


@hypothesis.given(odd_fields(LOAD))
def test_load_report_of_an_engine(fields):
    try:
        report = load_reports._decode_report(odd_json.changed(LOAD, fields))
    except fetch_errors.FETCH_ERRORS:
        return
    assert isinstance(report, engine_protocol.LoadReport)
    require_sendable(report)


@hypothesis.given(odd_fields({"model": "m", "prompt": "p", "max_tokens": 5}))
def test_body_of_a_caller(fields):
    body = odd_json.changed({"model": "m", "prompt": "p"}, fields)
    try:
        openai_requests.parse(body, chat=False)
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.MalformedRequest)


@hypothesis.given(odd_json.VALUES)
def test_order_of_an_operator(value):
    try:
        operators._change_request(value)
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.MalformedRequest)


@hypothesis.given(odd_json.VALUES)
def test_error_of_another_instance(value):
    openai_answers.error_code(b'{"error":{"code":%s}}' % value)
    openai_answers.error_code(value)


@pytest.mark.parametrize("value", odd_json.ODD)
def test_answers_of_a_questionnaire(value):
    text = "zones = " + value.decode("utf-8", "replace")
    with pytest.raises(errors.Failure) as caught:
        answer_files.parse(text)
    assert isinstance(caught.value.error, errors.FaultyAnswers)


@pytest.mark.parametrize("data", [*DEEP_MESSAGES, b"", b"\xc1", b"\xff" * 40])
async def test_message_between_nodes(data):
    """It fails its own call, and the next one is served."""
    server = grpc.aio.server(options=rpc.SERVER_OPTIONS)

    async def read(request):
        return msgspec.Raw(msgspec.msgpack.encode({"version": 1}))

    async def serve_session(context):
        await context.read()

    rpc.add_methods(
        server,
        {fleet_methods.READ: read},
        {fleet_methods.SESSION: serve_session},
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        unary = channel.unary_unary(fleet_methods.READ.path)
        with pytest.raises(grpc.aio.AioRpcError):
            await unary(data)
        stream = channel.stream_stream(fleet_methods.SESSION.path)()
        await stream.write(data)
        assert await stream.code() is not grpc.StatusCode.OK
        assert await unary(msgspec.msgpack.encode({}))
    await server.stop(None)
