"""Errors of fetching JSON from outside systems."""

import aiohttp
import msgspec

# Raised by an HTTP request or by the decoding of its answer.
FETCH_ERRORS = (
    aiohttp.ClientError,
    msgspec.DecodeError,
    OSError,
    TimeoutError,
)
