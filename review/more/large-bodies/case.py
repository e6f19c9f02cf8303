"""Streams whose requests have the largest bodies that the limits allow."""

import asyncio
import os
import pathlib
import secrets
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from rig2 import deployment as deployments  # noqa: E402
from rig2 import http  # noqa: E402
from rig2 import memory  # noqa: E402
from rig2 import server as servers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `maxBodyBytes`; without the disruption, the body of the sheet.
BODY_BYTES = 4_194_304 if TROUBLE else 8_000
CLIENTS = 50
# One body has arrived before the next one comes.
BETWEEN_REQUESTS_S = 0.1
EVENTS = 140
STREAM_S = 4.0
DEADLINE_MS = 25_000
ENDS_THAT_COUNT = 3
MACHINES_THAT_COUNT = 2


class Engine(servers.Server):
    """A model engine; it writes a stream at a steady pace."""

    def entry(self):
        return {
            **super().entry(),
            "slots": 24,
            "stage": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    async def answer(self, method, path, headers, body, writer):
        writer.write(
            http.encode(
                "HTTP/1.1 200 OK",
                self.head(
                    headers,
                    **{
                        "Transfer-Encoding": "chunked",
                        "Content-Type": "text/event-stream",
                        "Weight-Versions": "1",
                    },
                ),
            )
        )
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 40)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(STREAM_S / EVENTS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def ask(address):
    """Send one request whole, read its stream, and return how it ended."""
    parts = f"{secrets.token_hex(4)}:200,{secrets.token_hex(4)}:800"
    try:
        status, _, _ = await http.call(
            address,
            "POST",
            "/stream/x",
            {
                "Host": deployments.HOST,
                "Attempt-Id": secrets.token_hex(8),
                "Deadline-Ms": str(DEADLINE_MS),
                "X-Api-Key": deployments.KEY,
                "Model": "m",
                "Token-Counts": "1000,1120",
                "Prompt-Prefix": parts,
            },
            b"x" * BODY_BYTES,
            limit_s=DEADLINE_MS / 1e3,
        )
    except (OSError, TimeoutError, http.Broken) as error:
        return type(error).__name__
    return status


async def run(record):
    deployment = deployments.Deployment(record, cores=3, fronts=2)
    watch = None
    try:
        for zone in deployments.ZONES:
            await servers.Server(deployment, "desk", zone).start()
            for _ in range(2):
                await Engine(deployment, "llm", zone).start()
        await deployment.start()
        if await deployment.publish(deployments.document(1)) != 200:
            return 2
        await deployment.wait_ready()
        platform = memory.Platform(record, deployment.fronts)
        watch = asyncio.create_task(platform.run())
        await asyncio.sleep(4.0)
        for wave in range(ENDS_THAT_COUNT):
            for front in deployment.fronts:
                address = deployment.caller_address(front)
                asked = []
                for _ in range(CLIENTS):
                    asked.append(asyncio.create_task(ask(address)))
                    await asyncio.sleep(BETWEEN_REQUESTS_S)
                ends = await asyncio.gather(*asked)
                counts = {each: ends.count(each) for each in set(ends)}
                record.write(f"wave {wave} at {front.name}: {counts}")
            await deployment.wait_ready()
        for name, ended in platform.ends.items():
            record.write(
                f"{name}: {ended} processes ended by themselves, at most"
                f" {platform.most_mb[name]:.0f} MB"
            )
        broken = [
            ended
            for ended in platform.ends.values()
            if ended >= ENDS_THAT_COUNT
        ]
        return 1 if len(broken) >= MACHINES_THAT_COUNT else 0
    finally:
        if watch is not None:
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)
        await deployment.close()


def main():
    record = deployments.Record(HERE / "record.txt")
    try:
        code = asyncio.run(run(record))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        code = 2
    record.write(f"exit {code}")
    record.close()
    sys.exit(code)


if __name__ == "__main__":
    main()
