"""Load generator of bench ``throughput``, run as a separate process.

Run as ``python -m bench.token_load URL STREAMS SECONDS``. It opens the
streams, waits until they are steady, then counts the tokens received in
`SECONDS` and their delays since the source sent them. It prints one line of
JSON.
"""

import asyncio
import re
import sys
import time
import urllib.parse

import msgspec

from oriolejunction.bench import result
from oriolejunction import local_deployment

SETTLE_S = 3.0
MAX_TOKENS = 100_000
CONNECT_PERIOD_S = 1.0
_TIMESTAMP_PATTERN = re.compile(rb'"T(\d+) "')


class GeneratorReport(msgspec.Struct, frozen=True):
    """Result of one load generator; delays in ms."""

    tokens: int
    seconds: float
    delay_p50_ms: float
    delay_p95_ms: float
    delay_p99_ms: float
    refused: int


class DelayStats:
    """Tokens and delays received while `counting` is set."""

    def __init__(self) -> None:
        self.counting = False
        self.tokens = 0
        self.refused = 0
        self.delays = result.Latencies()

    def count_events(self, data: bytes) -> None:
        """Count the events in received bytes and record their delays."""
        timestamps = _TIMESTAMP_PATTERN.findall(data)
        if not self.counting:
            return
        self.tokens += len(timestamps)
        now_us = time.monotonic_ns() // 1000
        for timestamp in timestamps:
            self.delays.record((now_us - int(timestamp)) / 1000.0)


class AnswerProtocol(asyncio.Protocol):
    """One streamed answer; a timestamp split by two reads is not counted."""

    def __init__(self, request: bytes, stats: DelayStats) -> None:
        self._request = request
        self._stats = stats
        self._answered = False

    def connection_made(self, transport) -> None:
        """Send the request."""
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count events; the first bytes tell if the request was refused."""
        if not self._answered:
            self._answered = True
            if not data.startswith(b"HTTP/1.1 200"):
                self._stats.refused += 1
        self._stats.count_events(data)


def _request(url: urllib.parse.SplitResult) -> bytes:
    key = next(iter(local_deployment.KEY_BY_WORKSPACE.values()))
    body = msgspec.json.encode(
        {
            "model": local_deployment.MODEL,
            "prompt": "p",
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
    )
    head = (
        f"POST {url.path} HTTP/1.1\r\nHost: {url.netloc}\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def run(address: str, streams: int, seconds: float) -> GeneratorReport:
    """Send load to one URL and return the measured result."""
    url = urllib.parse.urlsplit(address)
    stats = DelayStats()
    loop = asyncio.get_running_loop()
    for _ in range(streams):
        await loop.create_connection(
            lambda: AnswerProtocol(_request(url), stats),
            url.hostname,
            url.port,
        )
        await asyncio.sleep(CONNECT_PERIOD_S / streams)
    await asyncio.sleep(SETTLE_S)
    stats.counting = True
    start_s = time.monotonic()
    await asyncio.sleep(seconds)
    stats.counting = False
    return GeneratorReport(
        tokens=stats.tokens,
        seconds=time.monotonic() - start_s,
        delay_p50_ms=stats.delays.at_ms(50),
        delay_p95_ms=stats.delays.at_ms(95),
        delay_p99_ms=stats.delays.at_ms(99),
        refused=stats.refused,
    )


if __name__ == "__main__":
    report = asyncio.run(
        run(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]))
    )
    print(msgspec.json.encode(report).decode(), flush=True)
