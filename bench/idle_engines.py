"""Many idle engines in one process, which only answer with load reports.

Bench ``capacity`` reads the counted bytes, which include HTTP headers.
"""

import asyncio
import dataclasses

import msgspec

from oriolejunction import engine_protocol
from oriolejunction import local_deployment

TOKENS_PER_S = 100.0
_encode = msgspec.json.Encoder().encode


@dataclasses.dataclass
class IdleEngines:
    """Listeners of the idle engines, with counts of their traffic."""

    urls: list[str] = dataclasses.field(default_factory=list)
    requests: int = 0
    wire_bytes: int = 0
    servers: list[asyncio.Server] = dataclasses.field(default_factory=list)

    async def start(self, count: int) -> None:
        """Start `count` engines, each with its own port on loopback."""
        for number in range(count):
            report = engine_protocol.LoadReport(
                engine_id=f"engine-{number}",
                incarnation="bench",
                running=0,
                waiting=0,
                tokens_per_s=TOKENS_PER_S,
            )
            server = await asyncio.start_server(
                self._make_handler(_response(_encode(report))),
                local_deployment.HOST,
                0,
            )
            port = server.sockets[0].getsockname()[1]
            self.servers.append(server)
            self.urls.append(f"http://{local_deployment.HOST}:{port}")

    def stop(self) -> None:
        """Close all listeners."""
        for server in self.servers:
            server.close()

    def _make_handler(self, response: bytes):
        async def answer(reader, writer):
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.write(response)
                    self.requests += 1
                    self.wire_bytes += len(head) + len(response)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        return answer


def _response(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
