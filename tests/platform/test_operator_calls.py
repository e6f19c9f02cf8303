"""An odd configuration is refused, whatever it holds, and harms nothing."""

import json

from aiohttp import test_utils
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.platform import configuration_document
from oriolejunction.platform import operator_calls
from tests.platform import odd_json
from tests.platform import test_configuration_document

PATHS = (
    ("version",),
    ("routes", 0, "timeoutMs"),
    ("routes", 0, "name"),
    ("routes", 0, "host"),
    ("routes", 0, "pathPrefix"),
    ("routes", 0, "priority"),
    ("routes", 0, "maxAttempts"),
    ("routes", 0, "futureField"),
    ("routes", 1, "trafficSplit"),
    ("routes", 1, "trafficSplit", 0, "weight"),
    ("services", 0, "connectionLimit"),
    ("services", 0, "engine", "slots"),
    ("services", 0, "engine", "handleTtlS"),
    ("limits", "maxBodyBytes"),
    ("tenants", 0, "apiKeys"),
    ("tenants", 0, "priority"),
    ("future",),
)


def odd_document(path, value):
    """Return a document in which one value is replaced by JSON bytes."""
    content = test_configuration_document.document()
    holder = content
    for step in path[:-1]:
        holder = holder[step]
    holder[path[-1]] = "odd value"
    return json.dumps(content).encode().replace(b'"odd value"', value)


class Publication:
    """Takes each document, as the replicated log does."""

    def __init__(self):
        self.published = []

    async def publish(self, request):
        msgspec.msgpack.encode(request)
        self.published.append(request)
        return fm.PublishReply(done=True)


@pytest.mark.parametrize("value", odd_json.ODD)
@pytest.mark.parametrize("path", PATHS, ids=lambda path: str(path[-1]))
async def test_odd_document_is_taken_or_refused(path, value):
    """Fault: a document nested too deeply was answered with 500."""
    publication = Publication()
    app = operator_calls.application(publication)
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        async with client.post(
            operator_calls.REPLACE, data=odd_document(path, value)
        ) as response:
            assert response.status in (200, 400, 422)
            assert (response.status == 200) == len(publication.published)
            if value in odd_json.DEEP:
                assert response.status != 200
            if value in odd_json.DEEP and "uture" in path[-1]:
                assert response.status == 400
                assert "nested" in await response.text()


@hypothesis.given(st.sampled_from(PATHS), odd_json.VALUES)
def test_table_that_is_taken_can_be_sent_and_used(path, value):
    document = odd_document(path, value)
    try:
        table = configuration_document.read_table(document)
    except errors.Failure as failure:
        assert isinstance(
            failure.error, (errors.UnfitTable, errors.MalformedRequest)
        )
        return
    configuration_document.digest(document)
    encoded = msgspec.msgpack.encode(table)
    assert msgspec.msgpack.decode(encoded, type=type(table)) == table
    assert fm.NO_DOCUMENTS > table.version >= 0
    for route in table.routes:
        total = sum(each.weight for each in route.services)
        assert 0 < total < float("inf")
        assert 0 < route.timeout_ms <= 1e12
