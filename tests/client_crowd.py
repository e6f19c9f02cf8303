"""Clients on loopback that hold connections and never end their requests."""

import asyncio
import contextlib
import dataclasses

BODY_BYTES = 4 << 20
PIECE_BYTES = 65_536
# Sent by each connection whose request has no end.
ENDLESS_BYTES = 4 << 20
RECONNECT_S = 0.05
RECONNECTS = 3
HEAD = (
    b"POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Api-Key: k1\r\n"
    b"Token-Counts: 100,96\r\nDeadline-Ms: 20000\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Shape:
    """What each connection sends: a start, then a piece many times."""

    start: bytes
    piece: bytes
    count: int
    reads_answers: bool = True


def shapes(path: bytes) -> dict[str, Shape]:
    """Return each kind of request that is not ended, by name."""
    head = HEAD % path
    stated = head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    body_pieces = BODY_BYTES // PIECE_BYTES - 1
    # A chunk of one byte takes six, so that these are 700,000 chunks.
    tiny_chunks = b"1\r\nx\r\n" * (PIECE_BYTES // 6)
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    endless = ENDLESS_BYTES // PIECE_BYTES
    line = b"x" * PIECE_BYTES
    header_lines = b"X-More: y\r\n" * (PIECE_BYTES // 11)
    return {
        "large bodies": Shape(stated, line, body_pieces),
        "bodies in pieces": Shape(
            stated, b"x" * 1_024, body_pieces * PIECE_BYTES // 1_024
        ),
        "large chunks": Shape(head + CHUNKED, chunk, body_pieces),
        "small chunks": Shape(head + CHUNKED, tiny_chunks, endless),
        "chunk extension": Shape(head + CHUNKED + b"1;", line, endless),
        "trailers": Shape(
            head + CHUNKED + b"1\r\nx\r\n0\r\n", header_lines, endless
        ),
        "header line": Shape(head + b"X-More: ", line, endless),
        "target": Shape(b"GET /", line, endless),
        "header lines": Shape(head, header_lines, endless),
        "empty lines": Shape(b"", b"\r\n" * (PIECE_BYTES // 2), endless),
        "silence": Shape(b"", b"", 0),
        "unread answers": Shape(
            b"",
            b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n" * 1_000,
            endless,
            reads_answers=False,
        ),
    }


class Crowd:
    """Connections that send a shape and stay open until `leave`."""

    def __init__(self, address: tuple[str, int], shape: Shape, count: int):
        self._address, self._shape, self._count = address, shape, count
        self._tasks: list[asyncio.Task] = []
        self.closed = 0

    async def join(self) -> None:
        """Open all connections."""
        self._tasks = [
            asyncio.create_task(self._run()) for _ in range(self._count)
        ]
        await asyncio.sleep(0)

    async def _run(self) -> None:
        """Send the request; connect again when the connection is closed."""
        for _ in range(RECONNECTS):
            with contextlib.suppress(OSError):
                await self._send_once()
                self.closed += 1
            await asyncio.sleep(RECONNECT_S)

    async def _send_once(self) -> None:
        reader, writer = await asyncio.open_connection(*self._address)
        sending = asyncio.create_task(self._send(writer))
        try:
            if not self._shape.reads_answers:
                await sending
                await asyncio.Event().wait()
            # Returns when the connection is closed.
            while await reader.read(PIECE_BYTES):
                pass
        except ConnectionError:
            pass
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        shape = self._shape
        writer.write(shape.start)
        for _ in range(shape.count):
            writer.write(shape.piece)
            await writer.drain()

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
