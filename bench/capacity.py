"""Bench ``capacity``: how control costs grow with a deployment's size.

Each series varies one size over four values: lease holders of the control
leader, engines of an entry instance, or workspaces of an entry instance. The
last two series also measure changes of the configuration.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import pathlib
import tempfile
import time

from bench import capacity_model as model
from bench import idle_engines
from bench import lease_load
from bench import process_cost
from bench import processes
from oriolejunction.bench import result
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import states

NODE_SIZES = (45, 90, 180, 360)
ENGINE_SIZES = (25, 50, 100, 200)
WORKSPACE_SIZES = (200, 400, 800, 1_600)
BASE_ENGINES = 4
BASE_WORKSPACES = 4
SETTLE_S = 3.0
MEASURE_S = 5.0
CHANGES = 6
ZONES = ("a", "b")


@dataclasses.dataclass(frozen=True)
class Point:
    """Cost of one size for the control leader and an entry instance."""

    size: int
    leader: process_cost.Cost
    entry: process_cost.Cost
    report_bytes_per_s: float
    reports_per_s: float
    change: "ChangeCost | None" = None


@dataclasses.dataclass(frozen=True)
class ChangeCost:
    """Average cost of one change; `entry_bytes` is sent and received."""

    accept_ms: float
    leader_cpu_ms: float
    entry_cpu_ms: float
    entry_bytes: float


@dataclasses.dataclass
class InstancePair:
    """A control replica and an entry instance with idle engines."""

    leader: processes.ServeProcess
    entry: processes.ServeProcess
    source: idle_engines.IdleEngines
    operator: operator_client.OperatorClient

    def sample_entry(self) -> collections.abc.Awaitable[process_cost.Sample]:
        """Read the current totals of the entry instance."""
        return _sample(self.entry)

    def sample_leader(self) -> collections.abc.Awaitable[process_cost.Sample]:
        """Read the current totals of the control replica."""
        return _sample(self.leader)


def _sample(
    serve: processes.ServeProcess,
) -> collections.abc.Awaitable[process_cost.Sample]:
    return process_cost.sample(serve.managed.process.pid, serve.caller_url)


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Measure all series and extrapolate them to the target sizes."""
    by_nodes = [await _measure_lease_holders(size) for size in NODE_SIZES]
    by_engines = [
        await _measure_with_change(size, size, BASE_WORKSPACES)
        for size in ENGINE_SIZES
    ]
    by_workspaces = [
        await _measure_with_change(size, BASE_ENGINES, size)
        for size in WORKSPACE_SIZES
    ]
    rows = [
        *_leader_rows(by_nodes),
        *_entry_rows(by_engines, by_workspaces),
        *_change_rows(by_engines, by_workspaces),
    ]
    figures = {
        "by_nodes": [dataclasses.asdict(point) for point in by_nodes],
        "by_engines": [dataclasses.asdict(point) for point in by_engines],
        "by_workspaces": [
            dataclasses.asdict(point) for point in by_workspaces
        ],
        "budgets": [
            dataclasses.asdict(row) | {"within": row.within} for row in rows
        ],
    }
    return result.BenchResult("capacity", options.seed, figures, 0)


async def _measure_lease_holders(holders: int) -> Point:
    async with _RunningPair(BASE_ENGINES, BASE_WORKSPACES) as pair:
        load = lease_load.LeaseLoad(pair.leader.peer_address)
        load.start(holders)
        try:
            return await _measure_point(pair, holders)
        finally:
            await load.stop()


async def _measure_with_change(
    size: int, engines: int, workspaces: int
) -> Point:
    async with _RunningPair(engines, workspaces) as pair:
        point = await _measure_point(pair, size)
        change = await _measure_change(pair, engines, workspaces)
        return dataclasses.replace(point, change=change)


async def _measure_point(pair: InstancePair, size: int) -> Point:
    await asyncio.sleep(SETTLE_S)
    leader, entry = await pair.sample_leader(), await pair.sample_entry()
    requests, wire_bytes = pair.source.requests, pair.source.wire_bytes
    started_s = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    seconds = time.monotonic() - started_s
    pollers = 2  # Both instances poll every engine.
    return Point(
        size=size,
        leader=process_cost.cost_between(leader, await pair.sample_leader()),
        entry=process_cost.cost_between(entry, await pair.sample_entry()),
        report_bytes_per_s=(pair.source.wire_bytes - wire_bytes)
        / seconds
        / pollers,
        reports_per_s=(pair.source.requests - requests) / seconds / pollers,
    )


async def _measure_change(
    pair: InstancePair, engines: int, workspaces: int
) -> ChangeCost:
    idle = await process_cost.measure_cost(
        pair.entry.managed.process.pid, pair.entry.caller_url, MEASURE_S
    )
    leader, entry = await pair.sample_leader(), await pair.sample_entry()
    accept_ms = 0.0
    for number in range(CHANGES):
        # The share differs each time, so that each draft is a change.
        draft = await _submit(pair, engines, workspaces, 10 + number)
        started_s = time.monotonic()
        await pair.operator.accept(draft)
        accept_ms += (time.monotonic() - started_s) * 1000.0
    leader_end, entry_end = (
        await pair.sample_leader(),
        await pair.sample_entry(),
    )
    seconds = entry_end.at_s - entry.at_s
    entry_cpu_s = entry_end.cpu_s - entry.cpu_s - idle.cpu_share * seconds
    entry_bytes = (
        entry_end.peer_bytes
        - entry.peer_bytes
        - idle.peer_bytes_per_s * seconds
    )
    return ChangeCost(
        accept_ms=accept_ms / CHANGES,
        leader_cpu_ms=(leader_end.cpu_s - leader.cpu_s) * 1000.0 / CHANGES,
        entry_cpu_ms=max(0.0, entry_cpu_s) * 1000.0 / CHANGES,
        entry_bytes=max(0.0, entry_bytes) / CHANGES,
    )


class _RunningPair:
    """Context manager that runs a control replica and an entry instance."""

    def __init__(self, engines: int, workspaces: int) -> None:
        self._engines = engines
        self._workspaces = workspaces
        self._folder = tempfile.TemporaryDirectory()
        self._serves: list[processes.ServeProcess] = []
        self._source = idle_engines.IdleEngines()

    async def __aenter__(self) -> InstancePair:
        """Start the processes and put a configuration in force."""
        self._serves = processes.serve_processes(
            pathlib.Path(self._folder.name), ZONES, replicas=1
        )
        await self._source.start(self._engines)
        for serve in self._serves:
            await serve.managed.start()
        leader, entry = self._serves
        await processes.wait_until_live([leader.caller_url, entry.caller_url])
        pair = InstancePair(
            leader,
            entry,
            self._source,
            operator_client.OperatorClient(
                leader.operator_url, processes.OPERATOR_TOKEN
            ),
        )
        draft = await _submit(pair, self._engines, self._workspaces, 6)
        await pair.operator.accept(draft)
        await processes.wait_until_ready([leader.caller_url, entry.caller_url])
        return pair

    async def __aexit__(self, *error: object) -> None:
        """Stop the processes and delete their data."""
        await processes.stop_all(serve.managed for serve in self._serves)
        self._source.stop()
        self._folder.cleanup()


async def _submit(
    pair: InstancePair, engines: int, workspaces: int, share: int
) -> str:
    answers = answer_files.Answers(
        measure=states.Objective.LATENCY,
        zones=ZONES,
        models=(answer_files.ModelAnswer("model", "1"),),
        engines=tuple(
            answer_files.EngineAnswer(f"engine-{number}", url, zone, "model")
            for number, url, zone in zip(
                range(engines), pair.source.urls, itertools.cycle(ZONES)
            )
        ),
        workspaces=tuple(
            answer_files.WorkspaceAnswer(
                f"workspace-{number}", f"key-{number}", share
            )
            for number in range(workspaces)
        ),
    )
    redacted = answer_files.dump(answer_files.redact_keys(answers))
    return (await pair.operator.submit(redacted))["draft_id"]


def _leader_rows(
    points: collections.abc.Sequence[Point],
) -> collections.abc.Iterator[model.BudgetRow]:
    cpu = model.fit([(p.size, p.leader.cpu_share) for p in points])
    memory = model.fit([(p.size, p.leader.rss_mb) for p in points])
    traffic = model.fit([(p.size, p.leader.peer_bytes_per_s) for p in points])
    role, driver = "control leader", "lease-holders"
    yield model.budget_row(
        role, "cpu", driver, cpu, model.TARGET_NODES, model.CPU_BUDGET
    )
    yield model.budget_row(
        role,
        "memory_mb",
        driver,
        memory,
        model.TARGET_NODES,
        model.MEMORY_BUDGET_MB,
    )
    yield model.budget_row(
        role,
        "bytes_per_s",
        driver,
        traffic,
        model.TARGET_NODES,
        model.BYTES_BUDGET_PER_S,
    )


def _entry_rows(
    by_engines: collections.abc.Sequence[Point],
    by_workspaces: collections.abc.Sequence[Point],
) -> collections.abc.Iterator[model.BudgetRow]:
    series = (
        ("engines", by_engines, model.TARGET_ENGINES),
        ("workspaces", by_workspaces, model.TARGET_WORKSPACES),
    )
    for driver, points, size in series:
        cpu = model.fit([(p.size, p.entry.cpu_share) for p in points])
        memory = model.fit([(p.size, p.entry.rss_mb) for p in points])
        traffic = model.fit(
            [
                (p.size, p.entry.peer_bytes_per_s + p.report_bytes_per_s)
                for p in points
            ]
        )
        budgets = (
            ("cpu", cpu, model.CPU_BUDGET),
            ("memory_mb", memory, model.MEMORY_BUDGET_MB),
            ("bytes_per_s", traffic, model.BYTES_BUDGET_PER_S),
        )
        for budget, slope, limit in budgets:
            yield model.budget_row(
                "entry instance", budget, driver, slope, size, limit
            )


def _change_rows(
    by_engines: collections.abc.Sequence[Point],
    by_workspaces: collections.abc.Sequence[Point],
) -> collections.abc.Iterator[model.BudgetRow]:
    changes_per_s = model.CHANGES_PER_DAY / model.SECONDS_PER_DAY
    series = (
        ("engines", by_engines, model.TARGET_ENGINES),
        ("workspaces", by_workspaces, model.TARGET_WORKSPACES),
    )
    for driver, points, size in series:
        cpu = model.fit(
            [
                (p.size, p.change.entry_cpu_ms * changes_per_s / 1000)
                for p in points
            ]
        )
        traffic = model.fit(
            [(p.size, p.change.entry_bytes * changes_per_s) for p in points]
        )
        role = "entry instance, changes"
        yield model.budget_row(
            role, "cpu", driver, cpu, size, model.CPU_BUDGET
        )
        yield model.budget_row(
            role,
            "bytes_per_s",
            driver,
            traffic,
            size,
            model.BYTES_BUDGET_PER_S,
        )
