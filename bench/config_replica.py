"""A control replica that puts tables in force as it is told to.

Run as ``python -m bench.config_replica ADDRESS``. Each line of its input names
a version and the number of its routes; it prints a line of JSON once the
version is in force there.
"""

import asyncio
import collections.abc
import json
import random
import sys
import time

from bench import fleet_replica
from oriolejunction.controllers import published_table
from oriolejunction import logs
from oriolejunction.platform import configuration_document
from oriolejunction import routing_table

WEIGHT_VERSIONS = 100
_KINDS = ("streaming", "idempotent", "non_idempotent")


def document(version: int, routes: int) -> bytes:
    """Return a document; versions of the same size differ in one weight."""
    rng = random.Random(routes)
    content = {
        "version": version,
        "routes": [_route(rng, number) for number in range(routes)],
        "services": [
            {"name": name, "healthPath": "/health", "connectionLimit": 180}
            for name in ("llm", "desk")
        ],
        "tenants": [
            {
                "name": f"tenant-{number}",
                "apiKeys": [f"{rng.randrange(36 ** 12):x}" for _ in range(2)],
            }
            for number in range(24)
        ],
    }
    content["routes"][0]["trafficSplit"] = [
        {"service": "llm", "weight": 1 + version % WEIGHT_VERSIONS},
        {"service": "desk", "weight": 1},
    ]
    return json.dumps(content).encode()


def _route(rng: random.Random, number: int) -> dict[str, object]:
    return {
        "name": f"r-{rng.randrange(36 ** 7):x}",
        "host": f"shop{number % 3}.example",
        "pathPrefix": f"/{rng.randrange(36 ** 7):x}-{number}/",
        "kind": _KINDS[number % len(_KINDS)],
        "timeoutMs": 25_000,
        "targetLatencyMs": 4_500,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 5,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
        "targetGapMs": 700,
    }


async def lines_of_input() -> collections.abc.AsyncIterator[str]:
    """Yield the lines of standard input as they come."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield line.decode()


async def _serve(address: str) -> None:
    replica = fleet_replica.ReplicaUnderLoad(address, [address])
    await replica.start()
    async for line in lines_of_input():
        version, routes = map(int, line.split())
        content = document(version, routes)
        follower = replica.follower
        follower.state.table = published_table.PublishedTable(
            routing_table.TableVersion(version),
            content,
            configuration_document.digest(content),
        )
        in_force_at_s = time.monotonic()
        follower.on_apply()
        print(
            json.dumps(
                {
                    "version": version,
                    "at": in_force_at_s,
                    "bytes": len(content),
                }
            ),
            flush=True,
        )
    await replica.close()


def main(address: str) -> None:
    """Serve until the end of the input."""
    logs.configure("error")
    asyncio.run(_serve(address))


if __name__ == "__main__":
    main(*sys.argv[1:])
