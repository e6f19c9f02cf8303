"""Bench ``config-spread``: how a routing table reaches many instances.

One control replica and the instances that watch it are real processes; a
proxy of this process carries what each instance receives over a link of its
own. For each number of routes and instances, a table with as many routes
follows one of 48, and then one in which a single weight differs.
"""

import asyncio
import dataclasses
import json
import random
import sys
import time

import psutil

from bench import thin_link
from oriolejunction.bench import result
from oriolejunction import local_deployment

SMALL_ROUTES = 48
ROUTES = (48, 384, 1_532, 6_000)
WATCHERS = (10, 30, 100)
WATCHERS_PER_PROCESS = 10
# 7.5 Mbit/s, of which streams take three quarters.
LINK_BYTES_PER_S = 7.5e6 / 8 / 4
# Within which a change must be in force, with up to so many routes.
APPLY_LIMIT_MS = 2_500.0
LIMIT_ROUTES = 1_532
GIVE_UP_S = 60.0
SETTLE_S = 4.0
IDLE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Change:
    """How one version reached all instances.

    `bytes_each` is what an instance received from the change until the last
    one had it, without what it receives in as much time without a change.
    """

    kind: str
    routes: int
    watchers: int
    document_bytes: int
    first_ms: float
    last_ms: float
    bytes_each: float
    replica_cpu_ms: float
    watcher_cpu_ms: float


class _Process:
    """A child whose output is lines of JSON."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.usage = psutil.Process(process.pid)

    @classmethod
    async def start(cls, module: str, *arguments: str) -> "_Process":
        return cls(
            await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", module, *arguments),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
        )

    def cpu_ms(self) -> float:
        return sum(self.usage.cpu_times()[:2]) * 1e3

    async def read(self) -> dict:
        return json.loads(await self.process.stdout.readline())

    async def close(self) -> None:
        self.process.stdin.close()
        await self.process.wait()


class _Spread:
    """One replica, its watchers and their links."""

    def __init__(self, watchers: int) -> None:
        self._count = watchers
        self._links: list[thin_link.ThinLink] = []
        self._proxies: list[thin_link.LinkProxy] = []
        self._watchers: list[_Process] = []
        self._version = 0
        # Bytes a second that all links carry without a change.
        self._idle_bytes_per_s = 0.0

    async def start(self) -> None:
        (port,) = local_deployment.free_ports(1)
        self._replica = await _Process.start(
            "bench.config_replica", f"{local_deployment.HOST}:{port}"
        )
        await asyncio.sleep(SETTLE_S / 2)
        addresses = []
        for _ in range(self._count):
            link = thin_link.ThinLink(LINK_BYTES_PER_S)
            proxy = thin_link.LinkProxy(link, port)
            own_port = await proxy.start(local_deployment.HOST, 0)
            addresses.append(f"{local_deployment.HOST}:{own_port}")
            self._links.append(link)
            self._proxies.append(proxy)
        for first in range(0, self._count, WATCHERS_PER_PROCESS):
            some = addresses[first : first + WATCHERS_PER_PROCESS]
            self._watchers.append(
                await _Process.start(
                    "bench.config_watchers", f"w{first}", ",".join(some)
                )
            )
        await asyncio.sleep(SETTLE_S)

    async def measure_idle(self) -> None:
        """Measure what the links carry without a change."""
        before = self._total_bytes()
        await asyncio.sleep(IDLE_S)
        self._idle_bytes_per_s = (self._total_bytes() - before) / IDLE_S

    async def change(self, kind: str, routes: int) -> Change:
        """Put a version in force and wait until all instances have it."""
        self._version += 1
        before = self._total_bytes()
        cpu_ms = self._replica.cpu_ms()
        watcher_cpu_ms = sum(each.cpu_ms() for each in self._watchers)
        line = f"{self._version} {routes}\n"
        self._replica.process.stdin.write(line.encode())
        applied = await self._replica.read()
        waits = [self._wait(each) for each in self._watchers]
        async with asyncio.timeout(GIVE_UP_S):
            times_s = [
                at_s for some in await asyncio.gather(*waits) for at_s in some
            ]
        took_s = time.monotonic() - applied["at"]
        received = self._total_bytes() - before
        return Change(
            kind,
            routes,
            self._count,
            applied["bytes"],
            round((min(times_s) - applied["at"]) * 1e3, 1),
            round((max(times_s) - applied["at"]) * 1e3, 1),
            round((received - took_s * self._idle_bytes_per_s) / self._count),
            round(self._replica.cpu_ms() - cpu_ms),
            round(
                (
                    sum(each.cpu_ms() for each in self._watchers)
                    - watcher_cpu_ms
                )
                / self._count,
                1,
            ),
        )

    async def _wait(self, watchers: _Process) -> list[float]:
        """Return when the instances of a process had the version."""
        first = self._watchers.index(watchers) * WATCHERS_PER_PROCESS
        missing = min(WATCHERS_PER_PROCESS, self._count - first)
        times_s: list[float] = []
        while len(times_s) < missing:
            line = await watchers.read()
            if line["version"] == self._version:
                times_s.append(line["at"])
        return times_s

    def _total_bytes(self) -> int:
        return sum(link.total_bytes for link in self._links)

    async def close(self) -> None:
        for process in (*self._watchers, self._replica):
            await process.close()
        for proxy in self._proxies:
            await proxy.close()


async def _measure(watchers: int, rng: random.Random) -> list[Change]:
    spread = _Spread(watchers)
    await spread.start()
    changes = []
    try:
        await spread.change("small", SMALL_ROUTES)
        await spread.measure_idle()
        sizes = list(ROUTES)
        rng.shuffle(sizes)
        for routes in sizes:
            changes.append(await spread.change("many routes", routes))
            changes.append(await spread.change("one weight", routes))
            await spread.change("small", SMALL_ROUTES)
    finally:
        await spread.close()
    return sorted(changes, key=lambda each: (each.routes, each.kind))


def _is_late(change: Change) -> bool:
    return change.routes <= LIMIT_ROUTES and change.last_ms > APPLY_LIMIT_MS


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Measure all sizes; a change that is late is a violation."""
    rng = random.Random(options.seed)
    changes = [
        change
        for watchers in WATCHERS
        for change in await _measure(watchers, rng)
    ]
    figures = {
        "link_bytes_per_s": LINK_BYTES_PER_S,
        "by_change": {
            f"{each.watchers} instances, {each.routes} routes,"
            f" {each.kind}": dataclasses.asdict(each)
            for each in changes
        },
    }
    return result.BenchResult(
        "config-spread", options.seed, figures, sum(map(_is_late, changes))
    )
