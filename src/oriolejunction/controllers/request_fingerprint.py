"""Fingerprint by which a resent request is recognised."""

import hashlib

import msgspec

from oriolejunction.controllers import generation as generations
from oriolejunction import ids


def of(request: generations.GenerationRequest) -> ids.RequestFingerprint:
    """Return the digest of the workspace and of what its caller asked for.

    It is the same for a resend through any instance, also after a change of
    the model version that serves it.
    """
    asked = (
        request.workspace,
        request.model,
        request.adapter,
        request.prompt,
        request.max_tokens,
        request.sampling,
        request.stop,
    )
    digest = hashlib.sha256(msgspec.json.encode(asked))
    return ids.RequestFingerprint(digest.hexdigest())
