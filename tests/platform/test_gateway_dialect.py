"""Requests, dispatches and answers in the platform's wire format."""

import hypothesis
from hypothesis import strategies as st
import pytest

from oriolejunction import backends
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection
from oriolejunction import ids
from oriolejunction.platform import gateway_dialect

BACKEND = backends.Backend(
    ids.BackendId("i-7"),
    ids.ServiceName("llm"),
    "10.0.0.1:80",
    ids.ZoneId("z"),
)
HEADERS = (
    (b"Host", b"Ficu95.example:80"),
    (b"Attempt-Id", b"9c41"),
    (b"Last-Event-Id", b"12"),
    (b"Model", b"m"),
    (b"Token-Counts", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e:800,91bd:410"),
    (b"Deadline-Ms", b"2500"),
    (b"X-Api-Key", b"k"),
    (b"Connection", b"keep-alive, X-Mine"),
    (b"X-Mine", b"1"),
    (b"X-Other", b"2"),
)


def request(headers=HEADERS):
    return gateway_dialect.read_request(
        "POST", "/a/b?c=1", headers, b"body", 1_000.0
    )


def test_request_is_decoded_into_typed_fields():
    read = request()
    assert read.request_id == "9c41"
    assert read.host == "ficu95.example"
    assert read.path == "/a/b"
    assert read.deadline_ms == 3_500.0
    assert (read.prompt_tokens, read.max_output_tokens) == (1460, 80)
    assert (read.last_event, read.key) == (12, "k")
    assert read.prompt_digest == "91bd:410"
    assert read.shared_parts == ("5c1e",)
    assert read.parts == (("5c1e", 800), ("91bd", 410))


def test_dispatch_forwards_client_headers_and_sets_reserved_ones():
    written = dict(
        gateway_dialect.dispatch_headers(
            request(),
            gateway_messages.Dispatch(
                backend=BACKEND,
                remaining_ms=900.7,
                workspace=ids.WorkspaceId("w"),
                last_event=14,
                kv_copy_to="10.0.0.2:80",
                kv_copy_from=gateway_messages.KvCopySource(
                    "10.0.0.3:80", ids.RequestId("9c41")
                ),
                weights_version=3,
                engine_priority=2,
            ),
        )
    )
    assert written[b"Deadline-Ms"] == b"900"
    assert written[b"Expected-Instance"] == b"i-7"
    assert written[b"Tenant"] == b"w"
    assert written[b"Last-Event-Id"] == b"14"
    assert written[b"Kv-Backup"] == b"10.0.0.2:80"
    assert written[b"Kv-From"] == b"10.0.0.3:80/9c41"
    assert written[b"Expected-Version"] == b"3"
    assert written[b"Request-Priority"] == b"2"
    assert written[b"Content-Length"] == b"4"
    assert written[b"X-Other"] == b"2"
    assert b"X-Api-Key" not in written
    assert b"X-Mine" not in written


@pytest.mark.parametrize("name", sorted(gateway_dialect.RESERVED_HEADERS))
def test_reserved_headers_of_a_client_are_dropped(name):
    forged = request((*HEADERS, (name.title(), b"7")))
    assert name not in {key.lower() for key, _ in forged.headers}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Deadline-Ms", b"soon"),
        (b"Deadline-Ms", b"-5"),
        (b"Deadline-Ms", b"nan"),
        (b"Token-Counts", b"many"),
        (b"Last-Event-Id", b"x"),
    ],
)
def test_malformed_numbers_are_refused(name, value):
    others = tuple(pair for pair in HEADERS if pair[0] != name)
    with pytest.raises(errors.Failure) as failure:
        request((*others, (name, value)))
    assert isinstance(failure.value.error, errors.MalformedRequest)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from([name for name, _ in HEADERS]),
            st.binary(max_size=12),
        ),
        max_size=6,
    )
)
def test_any_headers_are_read_or_refused(headers):
    try:
        request(tuple(headers))
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.MalformedRequest)


def head(status, *headers):
    return gateway_dialect.read_head(
        backend_connection.ResponseHead(status, b"", headers), request()
    )


@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        (b"4.4", 4.4),
        (b" 12 ", 12.0),
        (b"0", 0.0),
        (b".25", 0.25),
        (b"9" * 30, 1e30),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e3", None),
        (b"4,4", None),
        (b"", None),
    ],
)
def test_limit_is_a_decimal_number_or_not_read(value, per_s):
    assert head(200, (b"server-limit", value)).rate_limit.per_s == per_s
    assert head(200).rate_limit is None


def test_head_shows_whose_answer_it_is_and_whether_it_ran():
    own = head(200, (b"attempt-id", b"9c41"), (b"response-signature", b"s"))
    assert (own.echoes_request_id, own.signed, own.success, own.not_run) == (
        True,
        True,
        True,
        False,
    )
    assert not head(200, (b"attempt-id", b"other")).echoes_request_id
    assert head(503, (b"not-executed", b"1")).not_run
    assert head(421).not_run
    assert not head(503).not_run
    load = head(200, (b"instance-load", b"3,0,8")).load
    assert load == gateway_messages.ServerLoad(3, 0, 8)
    assert head(200, (b"instance-load", b"3,x,8")).load is None


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8,250", (3, 0, 8, 2.5)),
        (b" 3 , 0 ,8, 70.5 ,9,x", (3, 0, 8, 0.705)),
        (b"3,0,8,", (3, 0, 8, 1.0)),
        (b"3,0,8,fast", (3, 0, 8, 1.0)),
        (b"3,0,8,-100", (3, 0, 8, 1.0)),
        (b"3,0,8,0", (3, 0, 8, 1.0)),
        (b"3,0,8,1e9", (3, 0, 8, 1.0)),
        (b"3,0,8," + b"9" * 400, (3, 0, 8, 1.0)),
        (b"3,0", None),
        (b"", None),
        (b"-3,0,8,100", None),
        (b"busy", None),
        (b"3,9999999999,8,100", None),
        (b"9" * 5_000 + b",0,8", None),
    ],
)
def test_load_of_a_server_is_read_in_any_form(value, load):
    """Fault: a load with four figures was dropped; absurd ones raised."""
    read = head(200, (b"instance-load", value)).load
    assert read == (load and gateway_messages.ServerLoad(*load))


def test_event_number_is_its_id():
    event = gateway_dialect.read_event(b"weight-versions: 4\nid: 9\ndata: x")
    assert (event.number, event.weights_version) == (9, 4)
    assert gateway_dialect.read_event(b": comment") is None


@hypothesis.given(st.binary(max_size=60))
def test_any_block_is_an_event_or_none(block):
    event = gateway_dialect.read_event(block)
    assert event is None or event.number >= 0


@pytest.mark.parametrize(
    ("value", "for_ms"),
    [
        (b"2", 2_000.0),
        (b" 0.25 ", 250.0),
        (b"0", 0.0),
        (b"1e3", None),
        (b"-1", None),
        (b"Fri, 04 Dec 2026 15:00:00 GMT", None),
        (b"", None),
    ],
)
def test_pause_is_read_from_a_rejection_only(value, for_ms):
    asked = head(503, (b"retry-after", value)).pause
    assert asked == gateway_messages.PauseRequest(for_ms)
    assert head(200, (b"retry-after", value)).pause is None
    assert head(503).pause is None


@pytest.mark.parametrize(
    ("value", "count"), [(b"4", 4), (b" 0 ", 0), (b"-1", None), (b"x", None)]
)
def test_brittle_server_is_read_from_any_answer(value, count):
    for status in (200, 503):
        answer = head(status, (b"server-brittle", value))
        assert answer.falls_over_at == count
    assert head(200).falls_over_at is None
