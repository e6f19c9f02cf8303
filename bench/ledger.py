"""Never-twice calls through real processes that are killed at random.

Six instances, three of them control replicas, and one stand-in service.
The first part measures claims without faults at several numbers of callers,
which sets how many claims a synced write of the log shares. The second
kills and pauses instances while callers resend, and compares what they were
told with what the service ran.
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
    """One order of a caller: what it was told, send by send.

    `not_run_at_end` is true where the last that it heard was `not_run`.
    """

    key: str
    outcomes: list[str] = dataclasses.field(default_factory=list)

    @property
    def last_outcome_not_run(self) -> bool:
        """Return whether the caller may conclude that it never ran."""
        return bool(self.outcomes) and self.outcomes[-1] == "not_run"


class LedgerDeployment:
    """The processes of the bench."""

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
        """Start everything with a configuration in force."""
        await self._service.start()
        await processes.start_configured(self.instances, self._answers())

    async def stop(self) -> None:
        """Kill everything."""
        await processes.stop_all(serve.managed for serve in self.instances)
        await processes.stop_all([self._service])

    async def runs_by_key(self) -> collections.Counter[str]:
        """Return the service's own count."""
        return await processes.service_counts(self.service_url)

    def violation_count(self) -> int:
        """Return how many violated invariants the instances logged."""
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
    """Callers that place orders and send them again until they know."""

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
        """Place one order, through another instance at each resend."""
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
        """Place an order and bar its key at once through another instance."""
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
        """Place orders one after another until an event is set."""
        while not end.is_set():
            if self._rng.random() < VOID_CHANCE:
                await self.place_and_void_order()
            else:
                await self.place_order()


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Measure claims, then kill instances for `options.seconds`."""
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
        kills = await _inject_faults(deployment, callers, rng, options.seconds)
    runs = await deployment.runs_by_key()
    orders = callers.orders
    ends = collections.Counter(order.outcomes[-1] for order in orders)
    double = sum(runs.get(order.key, 0) > 1 for order in orders)
    false_not_run = sum(
        order.last_outcome_not_run and runs.get(order.key, 0) > 0
        for order in orders
    )
    lost = sum(
        "answered" in order.outcomes and not runs.get(order.key)
        for order in orders
    )
    asserted = deployment.violation_count()
    figures |= {
        "faults": dict(kills),
        "orders": len(orders),
        "last_heard": dict(ends),
        "double_runs": double,
        "false_not_run": false_not_run,
        "answered_but_not_run": lost,
        "invariants_violated": asserted,
    }
    return result.BenchResult(
        "ledger",
        options.seed,
        figures,
        double + false_not_run + lost + asserted,
    )


async def _measure_claims(callers: Callers, count: int) -> dict[str, object]:
    """Compare calls with a claim to the same calls without one."""
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
    added = p95_by_path[ORDERS_PATH] - p95_by_path[IDEMPOTENT_PATH]
    return {
        f"claims_per_s_{count}_callers": round(rate, 1),
        f"added_p95_ms_{count}_callers": round(added, 2),
    }


async def _inject_faults(
    deployment: LedgerDeployment,
    callers: Callers,
    rng: random.Random,
    seconds: float,
) -> collections.Counter[str]:
    count_by_kind: collections.Counter[str] = collections.Counter()
    end = asyncio.Event()
    over_s = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(FAULT_CALLERS):
            group.create_task(callers.run_until(end))
        while time.monotonic() < over_s:
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
