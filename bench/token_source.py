"""Token source of bench ``throughput``: a minimal engine in its own process.

Run as ``python -m bench.token_source PORT TOKENS_PER_S``. Each stream gets
`TOKENS_PER_S` events per second from a template. The text of an event
contains its send time, from which the receiver computes the delay.
"""

import asyncio
import random
import sys
import time

import msgspec

from oriolejunction import engine_protocol
from oriolejunction import local_deployment

TICK_S = 0.001
MAX_STREAMS = 1_000
STREAM_TOKENS_PER_S = 1_000.0
HIGH_WATER_BYTES = 1 << 20
_decode = msgspec.json.Decoder(engine_protocol.GenerateRequest).decode
_encode = msgspec.json.Encoder().encode
_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class TokenStream:
    """The events of one attempt; the next is sent at `due_s`."""

    def __init__(self, transport, request, interval_s: float) -> None:
        self.transport = transport
        self.interval_s = interval_s
        self.due_s = time.monotonic() + random.random() * interval_s
        self.offset = len(request.forced_ids)
        event = _encode(
            engine_protocol.EngineEvent(
                generation=request.generation,
                attempt=request.attempt,
                offset=0,
                ids=(4711,),
                text="T%d ",
            )
        )
        head, _, tail = event.partition(b'"offset":0')
        self.template = b"%b%b%b" % (
            b"data: " + head + b'"offset":%d',
            tail,
            b"\n\n",
        )

    def send(self) -> None:
        """Send one event with the current time in microseconds as its text."""
        event = self.template % (self.offset, time.monotonic_ns() // 1000)
        self.offset += 1
        self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))


class Connection(asyncio.Protocol):
    """One HTTP connection from the system under test."""

    def __init__(self, streams: set[TokenStream], interval_s: float) -> None:
        self._streams = streams
        self._interval_s = interval_s
        self._buffer = b""
        self._stream: TokenStream | None = None

    def connection_made(self, transport) -> None:
        """Store the transport and limit its write buffer."""
        self._transport = transport
        transport.set_write_buffer_limits(HIGH_WATER_BYTES)

    def connection_lost(self, error) -> None:
        """Remove the connection's stream."""
        self._streams.discard(self._stream)

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        self._buffer += data
        while True:
            head, separator, body = self._buffer.partition(b"\r\n\r\n")
            if not separator:
                return
            length = _content_length(head)
            if len(body) < length:
                return
            self._buffer = body[length:]
            self._answer(head, body[:length])

    def _answer(self, head: bytes, body: bytes) -> None:
        if head.startswith(b"POST"):
            self._transport.write(_RESPONSE_HEAD)
            self._stream = TokenStream(
                self._transport, _decode(body), self._interval_s
            )
            self._streams.add(self._stream)
            return
        report = engine_protocol.LoadReport(
            engine_id="source",
            incarnation="1",
            running=len(self._streams),
            waiting=0,
            tokens_per_s=STREAM_TOKENS_PER_S,
            max_running=MAX_STREAMS,
        )
        reply = _encode(report) if head.startswith(b"GET") else b"{}"
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(reply), reply)
        )


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


async def run(port: int, tokens_per_s: float) -> None:
    """Serve until the process is killed."""
    streams: set[TokenStream] = set()
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: Connection(streams, 1.0 / tokens_per_s),
        local_deployment.HOST,
        port,
    )
    while True:
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        for stream in list(streams):
            if stream.due_s > now_s:
                continue
            stream.due_s += stream.interval_s
            if stream.transport.get_write_buffer_size() < HIGH_WATER_BYTES:
                stream.send()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), float(sys.argv[2])))
