"""Reads bodies of answers from servers that may send without end."""

import aiohttp

MAX_BODY_BYTES = 8 << 20


async def read(response: aiohttp.ClientResponse) -> bytes:
    """Return a whole body; raise `ClientPayloadError` if it is too large."""
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > MAX_BODY_BYTES:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the body is larger than {MAX_BODY_BYTES} bytes"
            )
    return bytes(body)
