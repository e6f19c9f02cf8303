"""Reading of JSON from outside systems."""

import aiohttp
import msgspec

# What a call and the decoding of its answer raise.
FETCH_ERRORS = (
    aiohttp.ClientError,
    msgspec.DecodeError,
    OSError,
    TimeoutError,
)
