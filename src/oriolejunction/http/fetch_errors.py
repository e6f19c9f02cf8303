"""Errors of fetching JSON from outside systems."""

import aiohttp

from oriolejunction import tolerant_json

# Raised by an HTTP request or by the decoding of its answer.
FETCH_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    *tolerant_json.DECODE_ERRORS,
)
