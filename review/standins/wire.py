"""HTTP/1.1 on loopback: one request on a connection, and a small server."""

import asyncio
import collections.abc
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or an answer, as it was read."""

    start: str
    headers: dict[str, str]
    body: bytes
    # Whether the body has arrived in full.
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Message(start, headers, b"", is_whole=False)
    return Message(start, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Return the answer to one request, None without a whole one."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                encode(
                    f"{method} {target} HTTP/1.1",
                    {"Host": address, **(headers or {})},
                    body,
                )
            )
            answer = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return answer if answer is not None and answer.is_whole else None


Serve = collections.abc.Callable[
    [Message, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


class Server:
    """A server that hands each request to a function."""

    def __init__(self, host: str, port: int, serve: Serve) -> None:
        self._host, self._port, self._serve = host, port, serve
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._run, self._host, self._port
        )

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_whole:
                    break
                await self._serve(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
