"""Bench ``soak``: mixed traffic under random faults at random times.

One or two faults are injected at a time. Engines get every fault kind of
`ENGINE_FAULTS`; entry instances are restarted, with or without a drain.
"""

import asyncio
import contextlib
import random

import aiohttp

from oriolejunction.bench import mixed_traffic
from oriolejunction.bench import result
from oriolejunction import clock as clocks
from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment
from oriolejunction import wiring

STREAMS = 24
FAULT_INTERVAL_MS = (100, 1_500)
FAULT_DURATION_MS = (200, 6_000)
INSTANCE_FAULT_FRACTION = 0.15
DOUBLE_FAULT_FRACTION = 0.25
ENGINE_FAULTS = (
    "pause",
    "crash",
    "reset",
    "truncate",
    "drop",
    "repeat",
    "skip",
    "cross",
)


class FaultInjector:
    """Inject random faults into a local deployment."""

    def __init__(
        self,
        deployment: local_deployment.LocalDeployment,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self.injected = 0
        self.cut_by_drain = 0
        self._deployment = deployment
        self._rng = rng
        self._clock = clock
        self._restarting: set[int] = set()

    async def run(self, until: asyncio.Event) -> None:
        """Inject faults until an event is set."""
        async with asyncio.TaskGroup() as group:
            while not until.is_set():
                await self._clock.sleep_ms(
                    self._rng.uniform(*FAULT_INTERVAL_MS)
                )
                double = self._rng.random() < DOUBLE_FAULT_FRACTION
                for _ in range(2 if double else 1):
                    group.create_task(self._inject_fault())

    async def _inject_fault(self) -> None:
        self.injected += 1
        if self._rng.random() < INSTANCE_FAULT_FRACTION:
            await self._restart_instance()
        else:
            await self._engine_fault()

    async def _engine_fault(self) -> None:
        url = self._rng.choice(self._deployment.addresses.engine_urls)
        fault = {
            "kind": self._rng.choice(ENGINE_FAULTS),
            "duration_ms": self._rng.randint(*FAULT_DURATION_MS),
        }
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with aiohttp.ClientSession() as session:
                await session.post(url + "/fault", json=fault)

    async def _restart_instance(self) -> None:
        instances = self._deployment.instances
        number = self._rng.randrange(len(instances))
        if self._restarting:
            return
        self._restarting.add(number)
        try:
            old = instances[number]
            if self._rng.random() < 0.5:
                await old.drain()
            await old.stop()
            await self._clock.sleep_ms(self._rng.uniform(*FAULT_DURATION_MS))
            instances[number] = wiring.Instance(old.settings, old.clock)
            await instances[number].start()
        finally:
            self._restarting.discard(number)


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run traffic and faults for `options.seconds`."""
    clock = clocks.SystemClock()
    async with local_deployment.run_deployment() as deployment:
        await demonstration.apply_sample_config(deployment)
        traffic = mixed_traffic.MixedTraffic(
            deployment.addresses,
            deployment.sample_answers(),
            options.seed,
            clock,
        )
        rng = random.Random(options.seed)
        faults = FaultInjector(deployment, rng, clock)
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic.run(stop, STREAMS))
            group.create_task(faults.run(stop))
            await asyncio.sleep(options.seconds)
            stop.set()
        runs_by_key = deployment.service.runs_by_key
    return _result(options, traffic.stats, faults, runs_by_key)


def _result(options, stats, faults, runs_by_key) -> result.BenchResult:
    violations = mixed_traffic.find_violations(stats, runs_by_key)
    asserted = invariants.violation_count()
    figures = {
        "seconds": options.seconds,
        "faults": faults.injected,
        "answers_by_end": dict(stats.count_by_end),
        "error_codes": dict(stats.error_codes),
        "tokens_checked": stats.tokens,
        "resends": stats.resends,
        "orders": len(stats.orders),
        "orders_run": sum(runs_by_key[o.key] for o in stats.orders),
        "changes_accepted": len(stats.accepted_revisions),
        "changes_refused": stats.conflicts,
        "asserted": dict(invariants.violations_by_name),
        "found": violations[:10],
    }
    return result.BenchResult(
        "soak", options.seed, figures, len(violations) + asserted
    )
