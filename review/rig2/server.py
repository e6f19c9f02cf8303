"""A server of a plain service, as the protocol describes it."""

import asyncio
import secrets

from rig2 import http

SLOTS = 6


class Server:
    """Answers each request once; `answer` may be replaced by a test."""

    def __init__(self, deployment, service, zone, work_s=0.03):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.id = f"i-{secrets.token_hex(5)}"
        self.work_s = work_s
        self.ip, self.port = deployment.next_ip(), deployment.ports[3]
        self.runs = []
        self.state = "ready"
        self.running = 0
        self._server = None
        deployment.servers.append(self)

    def entry(self):
        return {
            "id": self.id,
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": 0,
        }

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )

    def close(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (head := await http.read_head(reader)) is not None:
                start, headers = head
                body = await http.read_body(reader, headers)
                if not await self._handle(start, headers, body, writer):
                    return
        except (http.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, start, headers, body, writer):
        method, path, _ = start.split(" ")
        if path == "/health":
            writer.write(
                http.encode(
                    "HTTP/1.1 200 OK",
                    {"Instance-Id": self.id, "Content-Length": "0"},
                )
            )
            await writer.drain()
            return True
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expected-instance")
        if expected not in (None, self.id):
            writer.write(
                http.encode(
                    "HTTP/1.1 421 Misdirected Request",
                    {
                        "Attempt-Id": attempt,
                        "Not-Executed": "1",
                        "Content-Length": "0",
                    },
                )
            )
            await writer.drain()
            return True
        self.runs.append(attempt)
        self.deployment.record.write(f"{self.id} runs {attempt} {method} {path}")
        self.running += 1
        try:
            return await self.answer(method, path, headers, body, writer)
        finally:
            self.running -= 1

    def head(self, headers, **more):
        return {
            "Attempt-Id": headers.get("attempt-id", ""),
            "Response-Signature": f"3e1b.{headers.get('attempt-id', '')}",
            "Instance-Load": f"{self.running},0,{SLOTS}",
            "Content-Type": "text/plain",
            **more,
        }

    async def answer(self, method, path, headers, body, writer):
        """Write the answer; return whether the connection is kept."""
        await asyncio.sleep(self.work_s)
        content = b"x" * 800
        writer.write(
            http.encode(
                "HTTP/1.1 200 OK",
                self.head(headers, **{"Content-Length": str(len(content))}),
                content,
            )
        )
        await writer.drain()
        return True
