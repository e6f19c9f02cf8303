"""Bench ``ledger``: non-idempotent calls while instances are killed.

Six instances run, three of them control replicas, and one stand-in service.
The first part measures claims without faults for several numbers of callers;
more callers mean that more claims share one synced write of the log. The
second part kills and pauses random instances while callers resend, and
compares the outcomes that the callers received with the runs that the service
counted.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import tempfile
import time

import aiohttp

from bench import processes
from oriolejunction.bench import result
from oriolejunction import local_deployment
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import states

ZONES = local_deployment.ZONES * 2
REPLICAS = 3
CALLER_COUNTS = (1, 8, 32)
MEASURE_S = 3.0
FAULT_CALLERS = 16
FAULT_INTERVAL_S = (0.3, 1.2)
DOWNTIME_S = (0.3, 2.0)
SETTLE_S = 6.0
CALL_TIMEOUT_S = 3.0
MAX_SENDS = 4
RESEND_DELAY_S = (0.0, 0.4)
VOID_CHANCE = 0.2
VOID_DELAY_S = (0.0, 0.03)
ORDERS_PATH = "/orders"
IDEMPOTENT_PATH = "/flavours"
WORKSPACE, KEY = next(iter(local_deployment.KEY_BY_WORKSPACE.items()))


@dataclasses.dataclass
class Order:
    """One order of a caller, with the outcome of each send.

    `last_outcome_not_run` is true if the last send returned `not_run`.
    """

    key: str
    outcomes: list[str] = dataclasses.field(default_factory=list)

    @property
    def last_outcome_not_run(self) -> bool:
        """Return whether the caller may conclude that the order never ran."""
        return bool(self.outcomes) and self.outcomes[-1] == "not_run"


class LedgerDeployment:
    """The instances and the stand-in service of the bench."""

    def __init__(self, folder: pathlib.Path) -> None:
        host = local_deployment.HOST
        (port,) = local_deployment.free_ports(1)
        self.service_url = f"http://{host}:{port}"
        self.instances = processes.serve_processes(folder, ZONES, REPLICAS)
        self._folder = folder
        self._service = processes.ManagedProcess(
            "service",
            ("service", f"--listen={host}:{port}"),
            folder / "service.log",
        )

    async def start(self) -> None:
        """Start all processes and put a configuration in force."""
        await self._service.start()
        await processes.start_configured(self.instances, self._answers())

    async def stop(self) -> None:
        """Kill all processes."""
        await processes.stop_all(serve.managed for serve in self.instances)
        await processes.stop_all([self._service])

    async def runs_by_key(self) -> collections.Counter[str]:
        """Return how often the service ran each key."""
        return await processes.service_counts(self.service_url)

    def violation_count(self) -> int:
        """Return how many invariant violations the instances logged."""
        return len(processes.violated_invariants(self._folder))

    def _answers(self) -> answer_files.Answers:
        return answer_files.Answers(
            measure=states.Objective.LATENCY,
            zones=local_deployment.ZONES,
            services=(
                answer_files.ServiceAnswer(
                    local_deployment.SERVICE,
                    (self.service_url,),
                    never_twice=("POST /orders",),
                ),
            ),
            workspaces=(answer_files.WorkspaceAnswer(WORKSPACE, KEY),),
        )


class Callers:
    """Callers that place orders and resend each until it is answered.

    An order is sent at most `MAX_SENDS` times.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: list[str],
        rng: random.Random,
    ) -> None:
        self.orders: list[Order] = []
        self._session = session
        self._urls = urls
        self._rng = rng

    async def place_order(self, path: str = ORDERS_PATH) -> Order:
        """Place one order, each send at a randomly chosen instance."""
        order = Order(f"order-{self._rng.getrandbits(64):016x}")
        if path == ORDERS_PATH:
            self.orders.append(order)
        for _ in range(MAX_SENDS):
            outcome = await self._send(order.key, path)
            order.outcomes.append(outcome)
            if outcome == "answered":
                return order
            await asyncio.sleep(self._rng.uniform(*RESEND_DELAY_S))
        return order

    async def place_and_void_order(self) -> None:
        """Place an order and soon void its key, each at a random instance."""
        order = Order(f"order-{self._rng.getrandbits(64):016x}")
        self.orders.append(order)
        sending = asyncio.create_task(self._send(order.key, ORDERS_PATH))
        await asyncio.sleep(self._rng.uniform(*VOID_DELAY_S))
        void = await self._send(order.key, ORDERS_PATH, void=True)
        order.outcomes += [await sending, void]

    async def _send(self, key: str, path: str, void: bool = False) -> str:
        url = self._rng.choice(self._urls)
        try:
            async with self._session.post(
                f"{url}/services/{local_deployment.SERVICE}{path}",
                data=key.encode(),
                headers={
                    "Authorization": f"Bearer {KEY}",
                    "Idempotency-Key": key,
                    "Idempotency-Void": str(void).lower(),
                },
            ) as response:
                body = await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return "no answer"
        if "error" in body:
            return body["error"]["outcome"]
        return "answered"

    async def run_until(self, end: asyncio.Event) -> None:
        """Place orders one after another until `end` is set."""
        while not end.is_set():
            if self._rng.random() < VOID_CHANCE:
                await self.place_and_void_order()
            else:
                await self.place_order()


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Measure claims, then inject faults for `options.seconds`."""
    with tempfile.TemporaryDirectory() as name:
        deployment = LedgerDeployment(pathlib.Path(name))
        try:
            await deployment.start()
            return await _measure(deployment, options)
        finally:
            await deployment.stop()


async def _measure(
    deployment: LedgerDeployment, options: result.BenchOptions
) -> result.BenchResult:
    rng = random.Random(options.seed)
    urls = [serve.caller_url for serve in deployment.instances]
    figures: dict[str, object] = {}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(
        timeout=timeout,
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
    ) as session:
        callers = Callers(session, urls, rng)
        for count in CALLER_COUNTS:
            figures |= await _measure_claims(callers, count)
        fault_counts = await _inject_faults(
            deployment, callers, rng, options.seconds
        )
    runs = await deployment.runs_by_key()
    orders = callers.orders
    last_outcomes = collections.Counter(order.outcomes[-1] for order in orders)
    double_runs = sum(runs.get(order.key, 0) > 1 for order in orders)
    false_not_run = sum(
        order.last_outcome_not_run and runs.get(order.key, 0) > 0
        for order in orders
    )
    answered_but_not_run = sum(
        "answered" in order.outcomes and not runs.get(order.key)
        for order in orders
    )
    violations = deployment.violation_count()
    figures |= {
        "faults": dict(fault_counts),
        "orders": len(orders),
        "last_heard": dict(last_outcomes),
        "double_runs": double_runs,
        "false_not_run": false_not_run,
        "answered_but_not_run": answered_but_not_run,
        "invariants_violated": violations,
    }
    return result.BenchResult(
        "ledger",
        options.seed,
        figures,
        double_runs + false_not_run + answered_but_not_run + violations,
    )


async def _measure_claims(callers: Callers, count: int) -> dict[str, object]:
    """Measure claimed calls and the latency that the claim adds to them."""
    p95_by_path = {}
    rate = 0.0
    for path in (IDEMPOTENT_PATH, ORDERS_PATH):
        latencies = result.Latencies()
        end_s = time.monotonic() + MEASURE_S

        async def one_caller():
            while time.monotonic() < end_s:
                start_s = time.monotonic()
                await callers.place_order(path)
                latencies.record((time.monotonic() - start_s) * 1000.0)

        await asyncio.gather(*(one_caller() for _ in range(count)))
        p95_by_path[path] = latencies.at_ms(95)
        rate = latencies.count / MEASURE_S
    added_p95_ms = p95_by_path[ORDERS_PATH] - p95_by_path[IDEMPOTENT_PATH]
    return {
        f"claims_per_s_{count}_callers": round(rate, 1),
        f"added_p95_ms_{count}_callers": round(added_p95_ms, 2),
    }


async def _inject_faults(
    deployment: LedgerDeployment,
    callers: Callers,
    rng: random.Random,
    seconds: float,
) -> collections.Counter[str]:
    count_by_kind: collections.Counter[str] = collections.Counter()
    end = asyncio.Event()
    end_s = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(FAULT_CALLERS):
            group.create_task(callers.run_until(end))
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_S))
            kind = rng.choice(("kill", "pause"))
            count_by_kind[kind] += 1
            managed = rng.choice(deployment.instances).managed
            await _inject_fault(managed, kind, rng.uniform(*DOWNTIME_S))
        await asyncio.sleep(SETTLE_S)
        end.set()
    return count_by_kind


async def _inject_fault(
    managed: processes.ManagedProcess, kind: str, down_s: float
) -> None:
    if kind == "kill":
        await managed.kill()
        await asyncio.sleep(down_s)
        await managed.start()
        return
    managed.pause()
    await asyncio.sleep(down_s)
    managed.resume()
