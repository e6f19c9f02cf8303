"""A model engine in a process of its own, whose streams come in chunks.

It prints when it begins and ends its work on a request, on the clock that all
processes of a machine share.

Usage: chunked_engine.py IP PORT ID EVENTS EVENT_BYTES PAUSE_S BACKLOG
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig2 import engine_process  # noqa: E402
from rig2 import http  # noqa: E402


class Engine(engine_process.Engine):
    """Ends its work on a request as soon as its connection is closed."""

    async def _stream(self, headers, writer):
        attempt = headers.get("attempt-id", "")
        # `Kv-From` names the copy that the former engine was to send here.
        number = int(headers.get("last-event-id", "0"))
        self._log(f"begins {attempt} after event {number}")
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
                        "Transfer-Encoding": "chunked",
                        "Connection": "close",
                    },
                )
            )
            while number < self.events:
                await asyncio.sleep(self.pause_s)
                if writer.is_closing():
                    return
                number += 1
                event = engine_process.event(number, self.size)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running.discard(attempt)
            self._log(f"ends {attempt} after event {number}")

    def _log(self, text):
        print(f"{time.monotonic():.3f} {self.id} {text}", flush=True)


async def main():
    ip, port, name, events, size, pause_s, backlog = sys.argv[1:]
    engine = Engine(name, int(events), int(size), float(pause_s))
    server = await asyncio.start_server(
        engine.serve, ip, int(port), backlog=int(backlog)
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
