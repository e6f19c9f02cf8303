"""Minimal relay of engine events: the baseline of bench ``throughput``.

Run as ``python -m bench.bare_relay PORT SOURCE_URL...``. It uses aiohttp and
orjson, parses each event and writes an OpenAI chunk. It writes no journal
and performs no checks.
"""

import asyncio
import collections.abc
import itertools
import sys

import aiohttp
from aiohttp import web
import msgspec
import orjson

from oriolejunction import engine_protocol
from oriolejunction import local_deployment

_MAX_TOKENS = 100_000


def application(source_urls: collections.abc.Iterable[str]) -> web.Application:
    """Return the relay's application, which uses the sources in turn."""
    next_source = itertools.cycle(source_urls)

    async def relay(request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        generate_request = engine_protocol.GenerateRequest(
            "g", 1, body["model"], "1", "", body["prompt"], _MAX_TOKENS
        )
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        session = request.app["session"]
        async with session.post(
            next(next_source) + "/v1/generate",
            data=msgspec.json.encode(generate_request),
        ) as events:
            remainder = b""
            async for chunk in events.content.iter_any():
                *blocks, remainder = (remainder + chunk).split(b"\n\n")
                await response.write(b"".join(map(_completion_chunk, blocks)))
        return response

    async def open_session(app):
        app["session"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    app = web.Application()
    app.on_startup.append(open_session)
    app.add_routes([web.post("/v1/completions", relay)])
    return app


def _completion_chunk(block: bytes) -> bytes:
    event = orjson.loads(block[6:])
    chunk = {
        "id": event["generation"],
        "object": "text_completion",
        "choices": [{"index": 0, "text": event["text"]}],
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


async def run(port: int, source_urls: list[str]) -> None:
    """Serve until the process is killed."""
    runner = web.AppRunner(application(source_urls), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, local_deployment.HOST, port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), sys.argv[2:]))
