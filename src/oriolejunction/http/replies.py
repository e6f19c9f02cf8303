"""Typed error replies for the aiohttp listeners."""

import collections.abc
import math

from aiohttp import web

from oriolejunction import errors
from oriolejunction.http import openai_answers

Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


def error_response(
    error: errors.ServingError, whole_seconds: bool = True
) -> web.Response:
    """Return the JSON reply of a failure.

    HTTP defines `Retry-After` in whole seconds; `whole_seconds=False` is
    for callers that accept fractions.
    """
    headers = {}
    if error.retry_after_ms is not None:
        seconds = error.retry_after_ms / 1000
        if whole_seconds:
            seconds = math.ceil(seconds)
        headers["Retry-After"] = str(seconds)
    return web.Response(
        status=error.status,
        body=openai_answers.error_body(error),
        content_type="application/json",
        headers=headers,
    )


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn each failure of a handler into a typed error reply."""
    try:
        return await handler(request)
    except errors.Failure as failure:
        return error_response(failure.error)
    except web.HTTPRequestEntityTooLarge as error:
        return error_response(errors.RequestTooLarge(error.text or ""))
    except ConnectionError as error:
        # Nobody gets this answer: the client has left, or had to yield.
        return error_response(errors.MalformedRequest(str(error)))
    except web.HTTPNotFound:
        return error_response(errors.MalformedRequest("no such path"))


def bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
