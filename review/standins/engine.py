"""A sound server whose answers have no length and end with the connection.

Run as `python3 -m standins.engine IP PORT ID`. It answers calls, and streams
where the request asks for tokens. On standard output it tells what it does:
`run ID`, `sent ID PIECES` for each piece of an answer, `end ID`.
"""

import asyncio
import sys

from standins import wire

# A call's answer is written in pieces, as a server computes it.
CALL_PIECES = 4
PIECE_BYTES = 1_200
PIECE_GAP_S = 0.04
# A stream's answer, one event a piece.
EVENTS = 60
EVENT_GAP_S = 0.05
SLOTS = 6


def call_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a call."""
    line = f"{request_id};".encode()
    size = CALL_PIECES * PIECE_BYTES
    return (line * (size // len(line) + 1))[:size]


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


class Engine:
    """The server's state and behaviour."""

    def __init__(self, engine_id: str) -> None:
        self._id = engine_id
        self._running = 0

    async def serve(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        request_id = request.headers.get("attempt-id")
        if request.target in ("/health", "/v1/report"):
            body = b"{}"
            if request.target == "/v1/report":
                body = b'{"queuedRequests":0,"activeRequests":0,"runs":[]}'
            headers = {"Instance-Id": self._id}
            writer.write(wire.encode("HTTP/1.1 200 OK", headers, body))
            return
        expected = request.headers.get("expected-instance", self._id)
        if request_id is None or expected != self._id:
            status = "400 Bad" if request_id is None else "421 Misdirected"
            headers = {"Not-Executed": "1", "Attempt-Id": request_id or "-"}
            writer.write(wire.encode(f"HTTP/1.1 {status}", headers, b""))
            return
        self._running += 1
        try:
            await self._run(request, request_id, writer)
        finally:
            self._running -= 1
            writer.close()

    async def _run(
        self,
        request: wire.Message,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        tell(f"run {request_id}")
        kind = "application/octet-stream"
        first = 1
        if "token-counts" in request.headers:
            kind = "text/event-stream"
            first += int(request.headers.get("last-event-id", 0))
            pieces = [event(n) for n in range(first, EVENTS + 1)]
            gap_s = EVENT_GAP_S
        else:
            body = call_body(request_id)
            pieces = [
                body[start : start + PIECE_BYTES]
                for start in range(0, len(body), PIECE_BYTES)
            ]
            gap_s = PIECE_GAP_S
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Attempt-Id: {request_id}\r\n"
            "Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            f"Content-Type: {kind}\r\n"
            f"Instance-Load: {self._running},0,{SLOTS}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode())
        for count, piece in enumerate(pieces, start=1):
            await asyncio.sleep(gap_s)
            writer.write(piece)
            await writer.drain()
            tell(f"sent {request_id} {count + first - 1}")
        tell(f"end {request_id}")


def tell(text: str) -> None:
    """Write a line at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def main() -> None:
    """Serve until the process is ended."""
    ip, port, engine_id = sys.argv[1:]
    await wire.Server(ip, int(port), Engine(engine_id).serve).start()
    tell("ready")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
