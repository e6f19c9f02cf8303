"""Entry instances that tell when a routing table is in force.

Run as ``python -m bench.config_watchers NAME ADDRESSES``, with the address at
which each instance reaches its control replica, separated by commas. They run
made-up streams, and print a line of JSON for each version and instance.
"""

import asyncio
import functools
import json
import sys
import time

from bench import config_replica
from bench import fleet_watchers
from oriolejunction import logs
from oriolejunction import routing_table


def _report(name: str, table: routing_table.RoutingTable | None) -> None:
    if table is not None:
        line = {"version": table.version, "at": time.monotonic(), "by": name}
        print(json.dumps(line), flush=True)


async def _run(name: str, addresses: list[str]) -> None:
    calls = fleet_watchers.Calls()
    tasks, watchers = [], []
    for number, address in enumerate(addresses):
        own = f"{name}-{number}"
        watcher = fleet_watchers.Watcher(own, [address], calls)
        watcher.board.table.changes().subscribe(
            functools.partial(_report, own)
        )
        watchers.append(watcher)
        tasks.append(asyncio.create_task(watcher.run()))
    async for _ in config_replica.lines_of_input():
        pass
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for watcher in watchers:
        await watcher.close()


def main(name: str, addresses: str) -> None:
    """Run instances until the end of the input."""
    logs.configure("error")
    asyncio.run(_run(name, addresses.split(",")))


if __name__ == "__main__":
    main(*sys.argv[1:])
