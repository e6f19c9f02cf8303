"""A model engine in a process of its own, whose streams state no length.

Usage: engine_process.py IP PORT ID EVENTS EVENT_BYTES PAUSE_S
"""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig2 import http  # noqa: E402


def event(number, size):
    """Return one event; its content depends on its number only."""
    text = f"{number:06d}" * (size // 6)
    return f"id: {number}\ndata: {text}\n\n".encode()


class Engine:
    """Serves streams that end with their connection."""

    def __init__(self, name, events, size, pause_s):
        self.id, self.events, self.size = name, events, size
        self.pause_s = pause_s
        self.running = set()

    async def serve(self, reader, writer):
        try:
            while (head := await http.read_head(reader)) is not None:
                start, headers = head
                await http.read_body(reader, headers)
                path = start.split(" ")[1]
                if path == "/v1/report":
                    self._write_report(writer)
                elif path == "/health":
                    writer.write(
                        http.encode(
                            "HTTP/1.1 200 OK",
                            {"Instance-Id": self.id, "Content-Length": "0"},
                        )
                    )
                elif headers.get("expected-instance") != self.id:
                    writer.write(
                        http.encode(
                            "HTTP/1.1 421 Misdirected Request",
                            {
                                "Attempt-Id": headers.get("attempt-id", ""),
                                "Not-Executed": "1",
                                "Content-Length": "0",
                            },
                        )
                    )
                else:
                    await self._stream(headers, writer)
                    return
                await writer.drain()
        except (http.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    def _write_report(self, writer):
        body = json.dumps(
            {
                "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "queuedRequests": 0,
                "activeRequests": len(self.running),
                "kvCacheUsed": 0,
                "kvCacheTotal": 88000,
                "handles": 0,
                "runs": [[each, 0, 0, 5] for each in self.running],
            }
        ).encode()
        writer.write(
            http.encode(
                "HTTP/1.1 200 OK",
                {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                },
                body,
            )
        )

    async def _stream(self, headers, writer):
        attempt = headers.get("attempt-id", "")
        first = int(headers.get("last-event-id", "0")) + 1
        print(f"{self.id} runs {attempt} from event {first}", flush=True)
        self.running.add(attempt)
        try:
            writer.write(
                http.encode(
                    "HTTP/1.1 200 OK",
                    {
                        "Attempt-Id": attempt,
                        "Response-Signature": f"3e1b.{attempt}",
                        "Content-Type": "text/event-stream",
                        "Weight-Versions": "1",
                        "Instance-Load": f"{len(self.running)},0,24",
                        "Connection": "close",
                    },
                )
            )
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause_s)
                writer.write(event(number, self.size))
                await writer.drain()
            print(f"{self.id} has ended {attempt}", flush=True)
        finally:
            self.running.discard(attempt)


async def main():
    ip, port, name, events, size, pause_s = sys.argv[1:]
    engine = Engine(name, int(events), int(size), float(pause_s))
    server = await asyncio.start_server(engine.serve, ip, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
