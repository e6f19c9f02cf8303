"""Failures of servers that have run a request promise the caller nothing."""

import json

import pytest

from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


@pytest.mark.parametrize("status", ["408 Late", "429 Many", "503 Busy"])
@pytest.mark.parametrize("path", ["/order/1", "/look/1", "/brief/1"])
async def test_status_that_promises_not_run_is_not_passed_on(path, status):
    """Fault: a server ran the request, and the caller was told not_run.

    Only `Not-Executed` states that a server has not run a request. The caller
    sends one that must not run twice again after such a status.
    """

    async def run_and_fail(arrival):
        arrival.answer(b"ran", status)

    services = {"llm": [run_and_fail] * 2, "desk": [run_and_fail] * 2}
    async with gateway_rig.running(**services) as rig:
        answered, body = await calls.read(rig.ask(path))
    assert answered == 502
    assert json.loads(body)["error"]["outcome"] == "unknown"
