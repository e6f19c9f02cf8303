"""Entry instances without callers, whose streams are made up.

Run as ``python -m bench.fleet_watchers NAME COUNT ADDRESSES SECONDS LOSSES``,
with the addresses of the replicas to watch separated by commas. With `losses`
as LOSSES, one of the instances loses a server each second. It prints a line of
JSON with the calls and the processor time of the last `SECONDS`.
"""

import asyncio
import dataclasses
import itertools
import random
import sys
import time

import msgspec

from bench import fleet_replica
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import resend_budget
from oriolejunction import entry_reports
from oriolejunction.http import gateway_state
from oriolejunction import ids
from oriolejunction import logs
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_session
from oriolejunction.peers import fleet_watch
from oriolejunction.peers import listing_store
from oriolejunction.peers import table_follower
from oriolejunction.platform import gateway_dialect

# Each stream causes three changes of load: begin, first event, end.
STREAMS_PER_S = 1.3
PREFILL_S = 0.3
STREAM_S = 1.5
EVENT_MS = 30.0
SETTLE_S = 5.0
LOSS_INTERVAL_S = 1.0
POLL_S = 0.002
_ENGINES = fleet_replica.engines()


class WatcherCosts(msgspec.Struct, frozen=True):
    """Calls and processor time of one process with some watchers.

    `lost_ms` are the times until all of its watchers knew of a lost server.
    """

    watchers: int
    replies: int
    reports: int
    cpu_s: float
    seconds: float
    lost_ms: tuple[float, ...]


@dataclasses.dataclass
class Calls:
    """Replies received and reports sent by the watchers."""

    replies: int = 0
    reports: int = 0


class _CountingSession(fleet_session.FleetSession):
    def __init__(self, pool: channels.ChannelPool, calls: Calls) -> None:
        super().__init__(clocks.SystemClock(), pool.stub_for, pool.stream_to)
        self._counts = calls

    async def watch(self, address, request):
        reply = await super().watch(address, request)
        self._counts.replies += 1
        return reply

    async def report(self, address, report):
        await super().report(address, report)
        self._counts.reports += 1


class Watcher:
    """An entry instance without callers, whose streams are made up."""

    def __init__(self, name: str, seed: list[str], calls: Calls) -> None:
        clock = clocks.SystemClock()
        self._rng = random.Random(name)
        board = blackboards.Blackboard()
        self._channels = channels.ChannelPool()
        zone = ids.ZoneId("zone-0")
        self.deps = gateway_state.new_dependencies(
            clock,
            board,
            gateway_dialect.WIRE_FORMAT,
            resend_budget.BudgetLimits(0.2, 10.0, 5_000.0),
            zone,
            self._rng,
        )
        reports = entry_reports.EntryReports(
            self.deps, ids.InstanceId(name), f"b-{name}", lambda: (name,)
        )
        board.fleet.changes().subscribe(
            lambda view: self.deps.speeds.update_reported(view.speed_by_id)
        )
        self.board = board
        self._tables = table_follower.TableFollower(
            table_follower.FollowerDependencies(
                reports.instance,
                clock,
                board,
                gateway_dialect.WIRE_FORMAT.read_table,
                lambda: seed,
                self._channels.stub_for,
            )
        )
        self._watch = fleet_watch.FleetWatch(
            fleet_watch.WatchDependencies(
                instance=reports.instance,
                boot=reports.boot,
                zone=zone,
                clock=clock,
                blackboard=board,
                listing=listing_store.ListingStore(clock),
                seeds=lambda: seed,
                report=reports.next_report,
                tables=self._tables,
                session=_CountingSession(self._channels, calls),
                rng=self._rng,
                on_move=lambda: None,
            )
        )
        self._watch.replicas = lambda: seed
        self.deps.own_loads.on_change = self._watch.notify_loads
        self.deps.health.on_change = self._watch.notify_report

    async def run(self) -> None:
        """Watch, report and run streams until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch.run())
            group.create_task(self._watch.run_reports())
            group.create_task(self._tables.run())
            while True:
                await asyncio.sleep(self._rng.expovariate(STREAMS_PER_S))
                group.create_task(self._run_stream())

    async def _run_stream(self) -> None:
        deps = self.deps
        engine = self._rng.choice(_ENGINES).backend_id
        deps.budget.count_request(fleet_replica.SERVICE)
        tokens = self._rng.randrange(1_000, 9_000)
        key = deps.own_loads.begin(
            load_table.LoadEntry(engine, tokens, tokens)
        )
        await asyncio.sleep(PREFILL_S)
        deps.speeds.add_prefill(engine, tokens, PREFILL_S * 1e3)
        deps.own_loads.mark_prefilled(key)
        await asyncio.sleep(STREAM_S)
        for _ in range(8):
            deps.speeds.add_gap(engine, self._rng.gauss(EVENT_MS, 3.0))
        deps.own_loads.end(key)

    async def close(self) -> None:
        """Close the connections."""
        await self._channels.close()


async def _lose_servers(watchers: list[Watcher], lost_ms: list[float]) -> None:
    """Let one watcher at a time lose a server; record when all know it."""
    for number in itertools.count():
        await asyncio.sleep(LOSS_INTERVAL_S)
        server = ids.BackendId(f"lost-{number}")
        finder = watchers[number % len(watchers)]
        others = [each for each in watchers if each is not finder]
        start_s = time.monotonic()
        finder.deps.health.mark_lost(server)
        while others:
            await asyncio.sleep(POLL_S)
            others = [
                each
                for each in others
                if server not in each.deps.blackboard.fleet.read().suspects
            ]
        lost_ms.append(round((time.monotonic() - start_s) * 1e3, 1))


async def _run(
    name: str,
    count: int,
    addresses: list[str],
    seconds: float,
    loses_servers: bool,
) -> WatcherCosts:
    calls = Calls()
    watchers = [
        Watcher(
            f"{name}-{number}", [addresses[number % len(addresses)]], calls
        )
        for number in range(count)
    ]
    tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
    lost_ms: list[float] = []
    await asyncio.sleep(SETTLE_S)
    if loses_servers:
        tasks.append(asyncio.create_task(_lose_servers(watchers, lost_ms)))
    start_s, cpu_s = time.monotonic(), time.process_time()
    before = dataclasses.replace(calls)
    await asyncio.sleep(seconds)
    costs = WatcherCosts(
        count,
        calls.replies - before.replies,
        calls.reports - before.reports,
        time.process_time() - cpu_s,
        time.monotonic() - start_s,
        tuple(lost_ms),
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for watcher in watchers:
        await watcher.close()
    return costs


def main(
    name: str,
    count: str,
    addresses: str,
    seconds: str,
    losses: str,
    profile: str = "",
) -> None:
    """Run some watchers and print their costs."""
    logs.configure("error")
    work = _run(
        name,
        int(count),
        addresses.split(","),
        float(seconds),
        losses == "losses",
    )
    costs = fleet_replica.run_profiled(work, profile)
    print(msgspec.json.encode(costs).decode())


if __name__ == "__main__":
    main(*sys.argv[1:])
