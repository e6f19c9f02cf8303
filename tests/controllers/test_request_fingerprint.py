"""A resend is recognised, another request is not taken for it."""

import dataclasses

import pytest

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import request_fingerprint
from oriolejunction import engine_protocol

REQUEST = generations.GenerationRequest(
    workspace="w",
    model="m",
    version="1",
    adapter="",
    prompt="p",
    max_tokens=10,
    sampling=engine_protocol.Sampling(),
    stop=(),
)


def test_resend_has_the_same_fingerprint_under_a_new_version():
    resend = dataclasses.replace(REQUEST, version="2")
    assert request_fingerprint.of(resend) == request_fingerprint.of(REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"workspace": "v"},
        {"prompt": "q"},
        {"adapter": "a"},
        {"max_tokens": 11},
        {"stop": ("x",)},
        {"sampling": engine_protocol.Sampling(temperature=1.0)},
    ],
)
def test_another_request_has_another_fingerprint(change):
    other = dataclasses.replace(REQUEST, **change)
    assert request_fingerprint.of(other) != request_fingerprint.of(REQUEST)
