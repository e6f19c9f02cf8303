"""HTTP client of the model engines.

Connections are never reused: a refusal names no attempt, so a late copy of one
would deny that a later attempt runs.
"""

import asyncio
import collections.abc
import contextlib

import aiohttp
import msgspec

from oriolejunction import configuration
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import tolerant_json

CANCEL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0
MAX_EVENT_BYTES = 1 << 20
_encode = msgspec.json.Encoder().encode
_decode_event = msgspec.json.Decoder(engine_protocol.EngineEvent).decode


def parse_events(
    data: bytes,
) -> tuple[list[engine_protocol.EngineEvent], bytes]:
    """Return the complete events in SSE bytes, and the incomplete rest.

    Raise `Failure` with `AttemptLost` for an event that cannot be parsed
    or is too large.
    """
    *blocks, rest = data.split(b"\n\n")
    if len(rest) > MAX_EVENT_BYTES:
        raise errors.Failure(
            errors.AttemptLost(
                "event too large", cause=states.LossCause.MALFORMED
            )
        )
    events = []
    for block in blocks:
        if not block.startswith(b"data: "):
            continue
        try:
            events.append(_decode_event(block[6:]))
        except tolerant_json.DECODE_ERRORS as error:
            raise errors.Failure(
                errors.AttemptLost(
                    f"bad event: {error}", cause=states.LossCause.MALFORMED
                )
            )
    return events, rest


class EngineClient:
    """Start, resume and cancel attempts on engines."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        self._cancel_tasks: set[asyncio.Task] = set()

    async def generate(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> collections.abc.AsyncGenerator[
        list[engine_protocol.EngineEvent], None
    ]:
        """Yield the events of an attempt as they arrive, in batches."""
        post = self._session.post(
            engine.url + "/v1/generate", data=_encode(request)
        )
        async with contextlib.aclosing(_stream_events(post)) as batches:
            async for events in batches:
                yield events

    async def resume(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
        offset: int,
    ) -> collections.abc.AsyncGenerator[
        list[engine_protocol.EngineEvent], None
    ]:
        """Yield the events from a token offset of an attempt that runs."""
        stream = f"{request.generation}.{request.attempt}"
        get = self._session.get(
            f"{engine.url}/v1/streams/{stream}", params={"offset": offset}
        )
        async with contextlib.aclosing(_stream_events(get)) as batches:
            async for events in batches:
                yield events

    async def cancel(
        self,
        engine: configuration.Engine,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
    ) -> None:
        """Cancel an attempt in the background."""
        task = asyncio.create_task(
            self._cancel(f"{engine.url}/v1/streams/{generation}.{attempt}")
        )
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _cancel(self, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self._session.delete(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass

    async def close(self) -> None:
        """Close all connections."""
        for task in self._cancel_tasks:
            task.cancel()
        await self._session.close()


def _attempt_lost(error: Exception, cause: states.LossCause) -> errors.Failure:
    return errors.Failure(errors.AttemptLost(repr(error), cause=cause))


async def _stream_events(
    response_context: contextlib.AbstractAsyncContextManager[
        aiohttp.ClientResponse
    ],
) -> collections.abc.AsyncGenerator[list[engine_protocol.EngineEvent], None]:
    try:
        async with response_context as response:
            if response.status != 200:
                leaving = engine_protocol.LEAVING_HEADER in response.headers
                raise errors.Failure(
                    errors.AttemptLost(
                        f"status {response.status}",
                        cause=(
                            states.LossCause.LEAVING
                            if leaving
                            else states.LossCause.REFUSED
                        ),
                    )
                )
            rest = b""
            async for chunk in response.content.iter_any():
                events, rest = parse_events(rest + chunk)
                if events:
                    yield events
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise _attempt_lost(error, states.LossCause.NOT_REACHED)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        raise _attempt_lost(error, states.LossCause.DISCONNECTED)
