"""Deadlines of requests, and what admission needs to know of a request.

A caller sets in `X-Request-Timeout-Ms` how long it waits for the first
token.
"""

from aiohttp import web

from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction import errors
from oriolejunction import prefix_blocks

TIMEOUT_HEADER = "X-Request-Timeout-Ms"
DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 3_600_000


def deadline_ms(request: web.Request) -> float:
    """Return the deadline in ms from now.

    Raise `Failure` with `MalformedRequest`.
    """
    raw = request.headers.get(TIMEOUT_HEADER)
    if raw is None:
        return DEFAULT_DEADLINE_MS
    if not (raw.isascii() and raw.isdigit() and len(raw) <= 7):
        raise _malformed()
    value = int(raw)
    if not 0 < value <= MAX_DEADLINE_MS:
        raise _malformed()
    return value


def admission_request(
    request: web.Request,
    workspace: configuration.Workspace,
    generation: generations.Generation,
) -> admissions.AdmissionRequest:
    """Return the admission request of a generation.

    Raise `Failure` with `MalformedRequest`.
    """
    generation_request = generation.request
    return admissions.AdmissionRequest(
        workspace=workspace,
        tokens=prefix_blocks.token_estimate(generation_request.prompt),
        max_tokens=generation_request.max_tokens,
        deadline_ms=deadline_ms(request),
    )


def _malformed() -> errors.Failure:
    return errors.Failure(
        errors.MalformedRequest(
            f"{TIMEOUT_HEADER} must be a whole number from 1 to"
            f" {MAX_DEADLINE_MS}"
        )
    )
