"""Client-side parsing of the texts of a streamed answer."""

import collections.abc

import aiohttp
import orjson


async def iter_texts(
    content: aiohttp.StreamReader,
) -> collections.abc.AsyncIterator[str]:
    """Yield the text of each event of a completions stream."""
    async for line in content:
        if not line.startswith(b"data: {"):
            continue
        choices = orjson.loads(line[6:]).get("choices") or [{}]
        text = choices[0].get("text")
        if text:
            yield text
