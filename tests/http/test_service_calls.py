"""At-most-once calls and safety reductions, over HTTP."""

import aiohttp
import msgspec
import pytest

from oriolejunction import errors
from oriolejunction import local_deployment
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files

HEADERS = {"Authorization": "Bearer hakata-key"}


async def _call(deployment, number, key, path="/orders", **headers):
    url = deployment.addresses.callers_urls[number]
    service = f"{url}/services/{local_deployment.SERVICE}"
    async with aiohttp.ClientSession() as session:
        async with session.post(
            service + path,
            data=b"one crate",
            headers=HEADERS | {"Idempotency-Key": key} | headers,
        ) as response:
            return response.status, await response.json()


async def _new_key(deployment):
    url = deployment.addresses.callers_urls[0] + "/v1/idempotency-key"
    async with aiohttp.ClientSession() as session:
        async with session.get(url, headers=HEADERS) as response:
            return (await response.json())["key"]


async def test_call_runs_once_through_any_instance(deployment):
    key = await _new_key(deployment)
    answers = [await _call(deployment, n, key) for n in (0, 1, 2)]
    assert answers[0][0] == 200
    assert answers[1:] == answers[:1] * 2
    assert deployment.service.runs_by_key[key] == 1
    voided = await _call(deployment, 1, key, **{"Idempotency-Void": "true"})
    assert voided == answers[0]
    path = "//orders"
    _, refused = await _call(deployment, 0, key + "x", path)
    assert refused["error"]["code"] == "malformed_request"


async def test_void_key_never_runs(deployment):
    key = await _new_key(deployment)
    void = {"Idempotency-Void": "true"}
    for headers in (void, void, {}):
        _, reply = await _call(deployment, 0, key, **headers)
        assert reply["error"]["code"] == "idempotency_key_voided"
        assert reply["error"]["outcome"] == "not_run"
    assert deployment.service.runs_by_key[key] == 0


async def test_safety_reduction_needs_its_own_confirmation(deployment):
    client = operator_client.OperatorClient(
        deployment.addresses.operators_urls[0],
        deployment.addresses.operator_token,
    )
    answers = answer_files.redact_keys(deployment.sample_answers())
    service = msgspec.structs.replace(answers.services[0], never_twice=())
    reduced = msgspec.structs.replace(answers, services=(service,))
    with pytest.raises(errors.Failure) as caught:
        await client.submit(answer_files.dump(reduced))
    sentence = caught.value.error.message.splitlines()[-1]
    assert sentence.startswith("POST /orders of order-desk may run twice")
    confirmed = msgspec.structs.replace(reduced, confirmed=(sentence,))
    draft = await client.submit(answer_files.dump(confirmed))
    accepted = await client.accept(draft["draft_id"])
    assert accepted["revision"] == 2
    assert await client.accept(draft["draft_id"]) == accepted
