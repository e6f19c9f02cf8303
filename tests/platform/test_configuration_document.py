"""The operator's configuration document: what is accepted and refused."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction import errors
from oriolejunction.platform import configuration_document
from oriolejunction import states


def document(**changes):
    """Return a valid document as the platform specifies it."""
    route = {
        "name": "r-1",
        "host": "Ficu95.example",
        "pathPrefix": "/pufi/",
        "kind": "streaming",
        "timeoutMs": 25000,
        "targetLatencyMs": 4500,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 5,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
        "targetGapMs": 700,
        "futureField": {"a": 1},
    }
    split = {
        **route,
        "name": "r-2",
        "pathPrefix": "/pufi/lo/",
        "kind": "non_idempotent",
        "service": None,
        "trafficSplit": [
            {"service": "llm", "weight": 90},
            {"service": "desk", "weight": 10},
        ],
    }
    del split["service"]
    content = {
        "version": 7,
        "routes": [route, split],
        "services": [
            {
                "name": "llm",
                "healthPath": "/health",
                "connectionLimit": 180,
                "engine": {
                    "slots": 16,
                    "kvCacheTokens": 88000,
                    "stride": 8,
                    "backups": True,
                    "handleTtlS": 4.0,
                },
            },
            {"name": "desk", "healthPath": "/health", "connectionLimit": 9},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "huka", "apiKeys": ["k1", "k2"], "priority": 1},
            {"name": "moku", "apiKeys": ["k3"]},
        ],
    }
    content.update(changes)
    return content


def read(content):
    return configuration_document.read_table(msgspec.json.encode(content))


def test_document_is_converted_to_a_routing_table():
    table = read(document())
    assert table.version == 7
    short = table.route("ficu95.example", "/pufi/x")
    long = table.route("ficu95.example", "/pufi/lo/x")
    assert (short.name, long.name) == ("r-1", "r-2")
    assert short.retryable
    assert not long.retryable
    assert long.kind is states.RequestKind.NEVER_TWICE
    assert short.max_event_gap_ms == 700
    assert table.route("ficu95.example", "/pufix/") is None
    assert table.service_by_name["llm"].engine.kv_copy_ttl_ms == 4_000
    assert table.workspace_by_key["k2"].name == "huka"


def test_stream_that_is_not_resumable_is_not_retryable():
    content = document()
    content["routes"][0]["resumable"] = False
    assert not read(content).routes[0].retryable


@pytest.mark.parametrize(
    "invalidate",
    [
        lambda c: c["routes"][0].update(service="unknown"),
        lambda c: c["routes"][1].update(pathPrefix="/pufi/"),
        lambda c: c["routes"][0].update(timeoutMs=0),
        lambda c: c["routes"][1].update(
            trafficSplit=[{"service": "llm", "weight": 0}]
        ),
        lambda c: c["tenants"][1].update(apiKeys=["k1"]),
        lambda c: c["routes"][0].update(kind="other"),
        lambda c: c["routes"][0].pop("host"),
        lambda c: c.pop("services"),
        lambda c: c.update(version="seven"),
    ],
)
def test_invalid_document_is_refused_with_its_faults(invalidate):
    content = document()
    invalidate(content)
    with pytest.raises(errors.Failure) as failure:
        read(content)
    assert isinstance(failure.value.error, errors.UnfitTable)
    assert failure.value.error.message


def test_truncated_document_is_refused_at_any_length():
    complete = msgspec.json.encode(document())
    for length in range(len(complete)):
        with pytest.raises(errors.Failure):
            configuration_document.read_table(complete[:length])


def test_digest_ignores_the_order_of_fields():
    content = document()
    reordered = dict(reversed(list(content.items())))
    encode = msgspec.json.encode
    digest = configuration_document.digest
    assert digest(encode(content)) == digest(encode(reordered))
    other = document(version=8)
    assert digest(encode(content)) != digest(encode(other))


JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text() | st.integers(),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@hypothesis.given(
    st.sampled_from(["routes", "services", "tenants", "limits", "version"]),
    JSON,
)
def test_any_value_is_read_or_refused(field, value):
    try:
        content = msgspec.json.encode(document(**{field: value}))
    except (ValueError, OverflowError):
        hypothesis.reject()
    try:
        table = configuration_document.read_table(content)
    except errors.Failure as failure:
        assert isinstance(failure.error, errors.UnfitTable)
    else:
        assert table.routes is not None


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    with pytest.raises(errors.Failure):
        configuration_document.read_table(data)
