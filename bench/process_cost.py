"""CPU, memory and peer traffic of a process over an interval."""

import asyncio
import dataclasses
import re
import time

import aiohttp
import psutil

_TRAFFIC_PATTERN = re.compile(
    r'^oj_peer_traffic\{kind="(\w+)"\} (\S+)$', re.MULTILINE
)
BYTES_PER_MB = 1 << 20


@dataclasses.dataclass(frozen=True)
class Sample:
    """Totals of a process since its start, and its current memory."""

    at_s: float
    cpu_s: float
    rss_mb: float
    peer_bytes: float
    peer_messages: float


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of a process over an interval.

    `cpu_share` is a fraction of one core; bytes and messages are counted
    in both directions.
    """

    cpu_share: float
    rss_mb: float
    peer_bytes_per_s: float
    peer_messages_per_s: float


async def sample(pid: int, caller_url: str) -> Sample:
    """Read the current totals of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    traffic = await _read_traffic(caller_url)
    return Sample(
        at_s=time.monotonic(),
        cpu_s=times.user + times.system,
        rss_mb=process.memory_info().rss / BYTES_PER_MB,
        peer_bytes=traffic["bytes_sent"] + traffic["bytes_received"],
        peer_messages=traffic["messages_sent"] + traffic["messages_received"],
    )


async def _read_traffic(caller_url: str) -> dict[str, float]:
    async with aiohttp.ClientSession() as session:
        async with session.get(caller_url + "/metrics") as response:
            text = await response.text()
    return {
        kind: float(value) for kind, value in _TRAFFIC_PATTERN.findall(text)
    }


def cost_between(start: Sample, end: Sample) -> Cost:
    """Return the cost from one sample to a later one."""
    seconds = end.at_s - start.at_s
    return Cost(
        cpu_share=(end.cpu_s - start.cpu_s) / seconds,
        rss_mb=end.rss_mb,
        peer_bytes_per_s=(end.peer_bytes - start.peer_bytes) / seconds,
        peer_messages_per_s=(
            (end.peer_messages - start.peer_messages) / seconds
        ),
    )


async def measure_cost(pid: int, caller_url: str, seconds: float) -> Cost:
    """Return the cost of a process over the next seconds."""
    start = await sample(pid, caller_url)
    await asyncio.sleep(seconds)
    return cost_between(start, await sample(pid, caller_url))
