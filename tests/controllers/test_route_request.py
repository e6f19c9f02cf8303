"""Fingerprints of requests."""

import msgspec

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import route_request
from oriolejunction import engine_protocol

REQUEST = generations.GenerationRequest(
    workspace="w",
    model="m",
    version="1",
    adapter="",
    prompt="p",
    max_tokens=100,
    sampling=engine_protocol.Sampling(),
    stop=(),
)


def test_resend_after_a_new_version_has_the_same_fingerprint():
    resent = msgspec.structs.replace(REQUEST, version="2")
    assert route_request.fingerprint_of(
        resent
    ) == route_request.fingerprint_of(REQUEST)


def test_changed_workspace_or_body_changes_the_fingerprint():
    changed = [
        msgspec.structs.replace(REQUEST, workspace="v"),
        msgspec.structs.replace(REQUEST, prompt="q"),
        msgspec.structs.replace(REQUEST, max_tokens=99),
        msgspec.structs.replace(REQUEST, stop=("x",)),
        msgspec.structs.replace(REQUEST, adapter="a"),
        msgspec.structs.replace(
            REQUEST, sampling=engine_protocol.Sampling(temperature=1.0)
        ),
    ]
    fingerprints = {route_request.fingerprint_of(r) for r in changed}
    assert len(fingerprints) == len(changed)
    assert route_request.fingerprint_of(REQUEST) not in fingerprints
