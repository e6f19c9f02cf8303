"""Bad input gets a typed error, and nothing is run."""

import aiohttp
import pytest

from oriolejunction import local_deployment

KEY = local_deployment.KEY_BY_WORKSPACE["hakata"]
VALID_FIELDS = {
    "model": local_deployment.MODEL,
    "prompt": "p",
    "max_tokens": 5,
}


async def _post(deployment, path, body, key=KEY, headers=None):
    url = deployment.addresses.callers_urls[2] + path
    headers = {"Authorization": f"Bearer {key}"} | (headers or {})
    async with aiohttp.ClientSession() as session:
        async with session.post(url, data=body, headers=headers) as response:
            return response.status, (await response.json())["error"]


def _json(**fields):
    return aiohttp.JsonPayload(VALID_FIELDS | fields)


@pytest.mark.parametrize(
    ("fields", "status", "code"),
    [
        ({"model": "none"}, 404, "unknown_model"),
        ({"adapter": "none"}, 404, "unknown_model"),
        ({"n": 2}, 400, "malformed_request"),
        ({"best_of": 2}, 400, "malformed_request"),
        ({"logprobs": 3}, 400, "malformed_request"),
        ({"max_tokens": 0}, 400, "malformed_request"),
        ({"max_tokens": -1}, 400, "malformed_request"),
        ({"temperature": 9}, 400, "malformed_request"),
        ({"prompt": ["a", "b"]}, 400, "malformed_request"),
        ({"stop": [""]}, 400, "malformed_request"),
    ],
)
async def test_invalid_generation_is_refused(deployment, fields, status, code):
    refusal = await _post(deployment, "/v1/completions", _json(**fields))
    assert (refusal[0], refusal[1]["code"]) == (status, code)
    assert refusal[1]["outcome"] == "not_run"
    assert all(engine.requests_run == 0 for engine in deployment.engines)


async def test_invalid_body_or_key_is_refused(deployment):
    path = "/v1/completions"
    status, error = await _post(deployment, path, b"{")
    assert (status, error["code"]) == (400, "malformed_request")
    status, error = await _post(deployment, path, b"\xff" * 8)
    assert (status, error["code"]) == (400, "malformed_request")
    status, error = await _post(deployment, path, b" " * (2 << 20))
    assert (status, error["code"]) == (413, "request_too_large")
    status, error = await _post(deployment, path, _json(), key="wrong")
    assert (status, error["code"]) == (401, "unknown_workspace")
    assert error["outcome"] == "not_run"


async def test_at_most_once_call_needs_a_key(deployment):
    path = f"/services/{local_deployment.SERVICE}/orders"
    status, error = await _post(deployment, path, b"{}")
    assert (status, error["code"]) == (400, "idempotency_key_missing")
    assert error["outcome"] == "not_run"
    assert deployment.service.runs_by_key.total() == 0


async def test_reused_key_with_another_body_is_refused(deployment):
    path = f"/services/{local_deployment.SERVICE}/orders"
    headers = {"Idempotency-Key": "k"}
    url = deployment.addresses.callers_urls[0] + path
    authorization = {"Authorization": f"Bearer {KEY}"}
    async with aiohttp.ClientSession(headers=authorization) as session:
        first = await session.post(url, data=b"1", headers=headers)
        assert first.status == 200
    status, error = await _post(deployment, path, b"2", headers=headers)
    assert (status, error["code"]) == (422, "idempotency_key_reused")
    assert deployment.service.runs_by_key["k"] == 1


async def test_unknown_service_is_refused(deployment):
    status, error = await _post(deployment, "/services/none/x", b"")
    assert (status, error["code"]) == (404, "unknown_service")
