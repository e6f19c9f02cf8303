"""Bench ``soak-processes``: instances are killed, paused and stopped.

Entry instances and control replicas are real processes. The engines and the
plain service are stand-in processes, which are never killed; the engines
simulate faults such as pauses, crashes and corrupted streams.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import tempfile

import aiohttp

from bench import processes
from oriolejunction.bench import mixed_traffic
from oriolejunction.bench import result
from oriolejunction.bench import soak as local_soak
from oriolejunction import clock as clocks
from oriolejunction import local_deployment
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import states

ZONES = local_deployment.ZONES * 2
REPLICAS = 3
ENGINES = 6
STREAMS = 16
FAULT_INTERVAL_S = (0.5, 2.0)
DOWNTIME_S = (0.5, 6.0)
STOPPING_S = 20.0


class ProcessDeployment:
    """The processes of one deployment on loopback."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.instances = processes.serve_processes(
            folder, ZONES, REPLICAS, extra=("--drain-delay-ms=300",)
        )
        host = local_deployment.HOST
        ports = local_deployment.free_ports(ENGINES + 1)
        self.engine_urls = [f"http://{host}:{port}" for port in ports[1:]]
        self.service_url = f"http://{host}:{ports[0]}"
        self.standins = [
            processes.ManagedProcess(
                f"engine-{number}",
                (
                    "engine",
                    f"--listen={host}:{port}",
                    f"--name=engine-{number}",
                ),
                folder / f"engine-{number}.log",
            )
            for number, port in enumerate(ports[1:])
        ]
        self.standins.append(
            processes.ManagedProcess(
                "service",
                ("service", f"--listen={host}:{ports[0]}"),
                folder / "service.log",
            )
        )

    async def start(self) -> None:
        """Start all processes and put the configuration in force."""
        for process in self.standins:
            await process.start()
        await processes.start_configured(self.instances, self.answers())

    async def stop(self) -> None:
        """Kill all processes."""
        await processes.stop_all(serve.managed for serve in self.instances)
        await processes.stop_all(self.standins)

    def answers(self) -> answer_files.Answers:
        """Return the questionnaire answers that describe this deployment."""
        return answer_files.Answers(
            measure=states.Objective.LATENCY,
            zones=local_deployment.ZONES,
            models=(
                answer_files.ModelAnswer(
                    local_deployment.MODEL, local_deployment.MODEL_VERSION
                ),
            ),
            engines=tuple(
                answer_files.EngineAnswer(
                    f"engine-{number}",
                    url,
                    local_deployment.ZONES[number % 3],
                    local_deployment.MODEL,
                )
                for number, url in enumerate(self.engine_urls)
            ),
            services=(
                answer_files.ServiceAnswer(
                    local_deployment.SERVICE,
                    (self.service_url,),
                    never_twice=("POST /orders",),
                ),
            ),
            workspaces=tuple(
                answer_files.WorkspaceAnswer(name, key)
                for name, key in local_deployment.KEY_BY_WORKSPACE.items()
            ),
        )

    def addresses(self) -> local_deployment.Addresses:
        """Return the addresses that the generated traffic uses."""
        return local_deployment.Addresses(
            callers_urls=tuple(s.caller_url for s in self.instances),
            operators_urls=tuple(s.operator_url for s in self.instances),
            engine_urls=tuple(self.engine_urls),
            service_urls=(self.service_url,),
            workspace_keys=dict(local_deployment.KEY_BY_WORKSPACE),
            models=(local_deployment.MODEL,),
            operator_token=processes.OPERATOR_TOKEN,
        )


class ProcessFaultInjector:
    """Injects engine faults; kills, pauses or stops up to two instances."""

    def __init__(
        self, deployment: ProcessDeployment, rng: random.Random
    ) -> None:
        self.count_by_kind: collections.Counter[str] = collections.Counter()
        self.exit_statuses: list[int] = []
        self._deployment = deployment
        self._rng = rng
        self._disturbed: set[int] = set()

    async def run(self, end: asyncio.Event) -> None:
        """Inject faults until `end` is set."""
        async with asyncio.TaskGroup() as group:
            while not end.is_set():
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
                if self._rng.random() < 0.5:
                    group.create_task(self._engine_fault())
                elif len(self._disturbed) < 2:
                    group.create_task(self._instance_fault())

    async def _engine_fault(self) -> None:
        fault = {
            "kind": self._rng.choice(local_soak.ENGINE_FAULTS),
            "duration_ms": self._rng.randint(*local_soak.FAULT_DURATION_MS),
        }
        self.count_by_kind[f"engine {fault['kind']}"] += 1
        url = self._rng.choice(self._deployment.engine_urls) + "/fault"
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with aiohttp.ClientSession() as session:
                await session.post(url, json=fault)

    async def _instance_fault(self) -> None:
        free = set(range(len(ZONES))) - self._disturbed
        number = self._rng.choice(sorted(free))
        managed = self._deployment.instances[number].managed
        kind = self._rng.choice(("kill", "pause", "stop"))
        self.count_by_kind[f"instance {kind}"] += 1
        self._disturbed.add(number)
        try:
            match kind:
                case "kill":
                    await managed.kill()
                case "pause":
                    managed.pause()
                case "stop":
                    self.exit_statuses.append(await managed.terminate())
            await asyncio.sleep(self._rng.uniform(*DOWNTIME_S))
            if kind == "pause":
                managed.resume()
            else:
                await managed.start()
        finally:
            self._disturbed.discard(number)


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run the soak for `options.seconds`."""
    with tempfile.TemporaryDirectory() as name:
        deployment = ProcessDeployment(pathlib.Path(name))
        try:
            await deployment.start()
            return await _soak(options, deployment, pathlib.Path(name))
        finally:
            await deployment.stop()


async def _soak(
    options: result.BenchOptions,
    deployment: ProcessDeployment,
    folder: pathlib.Path,
) -> result.BenchResult:
    injector = ProcessFaultInjector(deployment, random.Random(options.seed))
    traffic = mixed_traffic.MixedTraffic(
        deployment.addresses(),
        deployment.answers(),
        options.seed,
        clocks.SystemClock(),
    )
    end = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        group.create_task(traffic.run(end, STREAMS))
        group.create_task(injector.run(end))
        await asyncio.sleep(options.seconds)
        end.set()
    runs_by_key = await processes.service_counts(deployment.service_url)
    violations = mixed_traffic.find_violations(traffic.stats, runs_by_key)
    violations += processes.violated_invariants(folder)
    stats = traffic.stats
    figures = {
        "seconds": options.seconds,
        "faults": dict(injector.count_by_kind),
        "exit_statuses": sorted(set(injector.exit_statuses)),
        "answers_by_end": dict(stats.count_by_end),
        "error_codes": dict(stats.error_codes),
        "tokens_checked": stats.tokens,
        "resends": stats.resends,
        "orders": len(stats.orders),
        "orders_answered": sum(o.answered for o in stats.orders),
        "orders_run": sum(runs_by_key[o.key] for o in stats.orders),
        "changes_accepted": len(stats.accepted_revisions),
        "changes_refused": stats.conflicts,
        "found": violations[:10],
    }
    return result.BenchResult(
        "soak-processes", options.seed, figures, len(violations)
    )
