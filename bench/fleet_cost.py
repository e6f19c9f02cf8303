"""Processor time of reports and watches, by number of entry instances.

Run as ``python -m bench.fleet_cost --watchers 10,30,90 --seconds 10``. One
control replica and the watchers run in processes of their own; the watchers
report streams that begin, speed up and end, and watch that replica. Four more
replicas here relay to it; ``--others`` instances report to these.
"""

import asyncio
import statistics
import sys

import fire
import msgspec
import psutil

from bench import fleet_replica
from bench import fleet_watchers
from oriolejunction import local_deployment
from oriolejunction import logs

REPLICAS = 5
# One process saturates a core with about 50 watchers.
WATCHERS_PER_PROCESS = 15
# Imports and first connections of a process.
START_S = 2.0


async def _start(module: str, *arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )


async def _start_watchers(
    name: str,
    count: int,
    addresses: list[str],
    seconds: float,
    losses: bool,
    profile: str,
) -> list[asyncio.subprocess.Process]:
    size = WATCHERS_PER_PROCESS
    return [
        await _start(
            "bench.fleet_watchers",
            f"{name}-{first}",
            str(min(size, count - first)),
            ",".join(addresses),
            str(seconds),
            "losses" if losses else "none",
            *([profile] if profile and not first else []),
        )
        for first in range(0, count, size)
    ]


async def _measure(
    watchers: int, others: int, seconds: float, losses: bool, profile: str
) -> dict[str, float]:
    ports = local_deployment.free_ports(REPLICAS)
    addresses = [f"{local_deployment.HOST}:{port}" for port in ports]
    lifetime_s = START_S * 2 + fleet_watchers.SETTLE_S + seconds
    process = await _start(
        "bench.fleet_replica",
        addresses[0],
        ",".join(addresses),
        str(lifetime_s),
        *([profile + ".replica"] if profile else []),
    )
    peers = [
        fleet_replica.ReplicaUnderLoad(address, addresses)
        for address in addresses[1:]
    ]
    for peer in peers:
        await peer.start()
    members = await _start_watchers(
        "entry",
        watchers,
        addresses[:1],
        seconds,
        losses,
        profile and profile + ".entry",
    )
    extra = await _start_watchers(
        "other", others, addresses[1:], seconds, losses, ""
    )
    await asyncio.sleep(START_S + fleet_watchers.SETTLE_S)
    replica = psutil.Process(process.pid)
    replica_s = sum(replica.cpu_times()[:2])
    await asyncio.sleep(seconds)
    replica_s = sum(replica.cpu_times()[:2]) - replica_s
    outputs = [await each.communicate() for each in (*members, *extra)]
    await process.wait()
    for peer in peers:
        await peer.close()
    costs = [
        msgspec.json.decode(output, type=fleet_watchers.WatcherCosts)
        for output, _ in outputs[: len(members)]
    ]
    lost_ms = [
        spread_ms
        for output, _ in outputs
        for spread_ms in msgspec.json.decode(
            output, type=fleet_watchers.WatcherCosts
        ).lost_ms
    ]
    replies = sum(each.replies / each.seconds for each in costs)
    reports = sum(each.reports / each.seconds for each in costs)
    cpu = sum(each.cpu_s / each.seconds for each in costs)
    figures = {
        "watchers": watchers,
        "others": others,
        "replica_share": round(replica_s / seconds, 4),
        "replies_per_s": round(replies / watchers, 1),
        "reports_per_s": round(reports / watchers, 1),
        "replica_us_per_call": round(
            replica_s / seconds * 1e6 / (replies + reports)
        ),
        "watcher_share": round(cpu / watchers, 5),
        "watcher_us_per_call": round(cpu * 1e6 / (replies + reports)),
    }
    if lost_ms:
        figures["lost_p50_ms"] = round(statistics.median(lost_ms), 1)
        figures["lost_max_ms"] = max(lost_ms)
    return figures


def run(
    watchers: int | tuple = (10, 30, 90),
    others: int = 0,
    seconds: float = 8.0,
    losses: bool = False,
    profile: str = "",
) -> None:
    """Print a line of JSON for each number of watchers.

    `profile` begins the names of files for the functions that took the most
    processor time. The share of a watcher includes its made-up streams.
    With `losses`, an instance of each process loses a server each second, and
    `lost_p50_ms` is the median time until all instances of the process know.
    """
    logs.configure("error")
    for count in (watchers,) if isinstance(watchers, int) else watchers:
        figures = asyncio.run(
            _measure(count, others, seconds, losses, profile)
        )
        print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(run)
