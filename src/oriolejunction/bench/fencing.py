"""Bench ``fencing``: two order executors that take over from each other.

A discrete simulation on a manual clock, run once with engines that check
fencing tokens and once with engines that do not. Orders are delayed in
transit, and sent again when no answer arrives in time; executors pause at
any await; and the configuration changes while they run.
"""

import asyncio
import collections.abc
import dataclasses
import random

from oriolejunction.bench import result
from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.controllers import control_state
from oriolejunction.controllers import order_executor
from oriolejunction.controllers import orders
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction.standin import engine_orders
from oriolejunction import states

ENGINES = 6
EXECUTORS = 2
STEP_MS = 100.0
SIMULATED_MS = 1_800_000.0
CHANGE_INTERVAL_MS = 40_000.0
LOADS_PER_MINUTE = 10
LOAD_WINDOW_MS = 60_000.0
MAX_DELIVERY_DELAY_MS = 20_000.0
PAUSE_CHANCE = 0.004
SEND_PAUSE_CHANCE = 0.05
PAUSE_MS = (500.0, 15_000.0)
SPURIOUS_TAKEOVER_CHANCE = 0.01
LOSS_CHANCE = 0.1
LOOP_TURNS_PER_STEP = 60


@dataclasses.dataclass
class Simulation:
    """The state shared by the executors: control state, engines, orders."""

    rng: random.Random
    clock: clocks.ManualClock
    state: control_state.ControlState
    engine_by_id: dict[ids.EngineId, engine_orders.EngineOrders]
    checks_fencing_by_id: dict[ids.EngineId, bool]
    in_flight: list[tuple[float, ids.EngineId, commands.OrderIntent]]
    sent: int = 0
    takeovers: int = 0
    pauses: int = 0
    executors: list["SimulatedExecutor"] = dataclasses.field(
        default_factory=list
    )


def model_target(version: int) -> commands.OrderTarget:
    """Return the order target for a version of the model."""
    return commands.OrderTarget(
        ids.ModelName("m"), ids.ModelVersion(str(version))
    )


def build_configuration(
    version: int, checks: bool
) -> configuration.Configuration:
    """Return a configuration with one model on all engines."""
    return configuration.Configuration(
        measure=states.Objective.RESOURCES,
        zones=(ids.ZoneId("a"),),
        models=(
            configuration.Model(
                ids.ModelName("m"), ids.ModelVersion(str(version))
            ),
        ),
        engines=tuple(
            configuration.Engine(
                ids.EngineId(f"e{number}"),
                f"http://10.0.0.{number + 1}:1",
                ids.ZoneId("a"),
                ids.ModelName("m"),
                checks_fencing=checks,
            )
            for number in range(ENGINES)
        ),
        services=(),
        workspaces=(),
        weight_loads_per_minute=LOADS_PER_MINUTE,
    )


def _apply_configuration(
    state: control_state.ControlState, version: int, checks: bool
) -> None:
    revision = state.history.revision
    draft = ids.DraftId(f"d-{revision}")
    for command in (
        commands.SubmitDraft(
            ids.OperationId(f"submit:{draft}"),
            draft,
            revision,
            build_configuration(version, checks),
            "",
            (),
            "bench",
            0,
        ),
        commands.AcceptDraft(
            ids.OperationId(f"accept:{draft}"), draft, "bench", 0
        ),
    ):
        control_state.apply(state, command)


class SimulatedExecutor:
    """An executor's process, which may pause at any await but never dies."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self._simulation = simulation
        self._owner = ids.InstanceId(f"executor-{number}")
        self._resumed = asyncio.Event()
        self._resumed.set()
        self.paused_until_ms = 0.0

    def pause(self, duration_ms: float) -> None:
        """Stop the process for a while, unnoticed by the process itself."""
        self._simulation.pauses += 1
        self.paused_until_ms = self._simulation.clock.now_ms() + duration_ms
        self._resumed.clear()

    def resume_if_due(self) -> None:
        """Resume the process once its pause is over."""
        if self._simulation.clock.now_ms() >= self.paused_until_ms:
            self._resumed.set()

    @property
    def is_paused(self) -> bool:
        """Return whether the process is stopped."""
        return not self._resumed.is_set()

    def now_ms(self) -> float:
        """Return the time of the simulation's clock."""
        return self._simulation.clock.now_ms()

    def wall_ms(self) -> int:
        """Return the wall-clock time in ms, for records."""
        return self._simulation.clock.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep, and then until the process is resumed if it is paused."""
        await self._simulation.clock.sleep_ms(duration_ms)
        await self._resumed.wait()

    async def propose(
        self, command: commands.Command
    ) -> commands.CommandResult:
        """Commit a command; the process may pause before it has the result."""
        await self._resumed.wait()
        outcome = control_state.apply(self._simulation.state, command)
        await self._pause_randomly()
        return outcome

    async def observe(
        self, engine: configuration.Engine
    ) -> order_executor.EngineHoldings:
        """Return the models that are loaded on an engine."""
        await self._pause_randomly()
        engine_state = self._simulation.engine_by_id[engine.engine_id]
        return order_executor.EngineHoldings(tuple(engine_state.loaded))

    async def send(
        self,
        engine: configuration.Engine,
        intent: commands.OrderIntent,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order that arrives later; its answer may be lost."""
        await self._pause_randomly(SEND_PAUSE_CHANCE)
        if not may_send():
            raise errors.Failure(order_executor.LeaseRanOut("paused"))
        simulation = self._simulation
        simulation.sent += 1
        arrives_ms = simulation.clock.now_ms() + self._delay_ms(engine)
        entry = (arrives_ms, engine.engine_id, intent)
        simulation.in_flight.append(entry)
        deadline_ms = simulation.clock.now_ms() + orders.ORDER_TIMEOUT_MS
        lost = simulation.rng.random() < LOSS_CHANCE
        while entry in simulation.in_flight or lost:
            await self.sleep_ms(STEP_MS)
            if simulation.clock.now_ms() >= deadline_ms:
                raise errors.Failure(
                    order_executor.NoAcknowledgement("no answer")
                )

    def _delay_ms(self, engine: configuration.Engine) -> float:
        """Return a delivery delay, sometimes past the sender's timeout.

        Only engines that check fencing tokens, and so refuse stale orders,
        get delays of up to `MAX_DELIVERY_DELAY_MS`.
        """
        rng = self._simulation.rng
        if rng.random() < LOSS_CHANCE:
            if self._simulation.checks_fencing_by_id[engine.engine_id]:
                return rng.uniform(0.0, MAX_DELIVERY_DELAY_MS)
            return rng.uniform(0.0, 2 * orders.ORDER_TIMEOUT_MS)
        return rng.uniform(0.0, 3 * STEP_MS)

    async def _pause_randomly(
        self, pause_chance: float = PAUSE_CHANCE
    ) -> None:
        rng = self._simulation.rng
        if rng.random() < pause_chance:
            self.pause(rng.uniform(*PAUSE_MS))
        await self._resumed.wait()

    def _should_take_over(self) -> bool:
        """Return whether to take over: from a paused one, or spuriously."""
        paused = any(
            executor.is_paused for executor in self._simulation.executors
        )
        spurious = self._simulation.rng.random() < SPURIOUS_TAKEOVER_CHANCE
        return paused or spurious or not self._simulation.state.orders.epoch

    async def run(self) -> None:
        """Become the executor whenever `_should_take_over` says so."""
        simulation = self._simulation
        dependencies = order_executor.ExecutorDependencies(
            owner=self._owner,
            clock=self,
            propose=self.propose,
            engines=self,
            content=lambda: simulation.state.history.content,
            book=lambda: simulation.state.orders,
        )
        while True:
            await self.sleep_ms(simulation.rng.uniform(1_000.0, 5_000.0))
            if not self._should_take_over():
                continue
            seen_epoch = simulation.state.orders.epoch
            executor = await order_executor.become_executor(
                dependencies, seen_epoch
            )
            if executor is not None:
                simulation.takeovers += 1
                await executor.run()


async def simulate(
    seed: int, checks: bool, duration_ms: float = SIMULATED_MS
) -> Simulation:
    """Simulate the executors for `duration_ms` and return the end state."""
    clock = clocks.ManualClock(1_000.0)
    target = model_target(1)
    engine_ids = [ids.EngineId(f"e{number}") for number in range(ENGINES)]
    simulation = Simulation(
        rng=random.Random(f"{seed}-{checks}"),
        clock=clock,
        state=control_state.ControlState(),
        engine_by_id={
            name: engine_orders.EngineOrders(clock, checks, (target,))
            for name in engine_ids
        },
        checks_fencing_by_id={name: checks for name in engine_ids},
        in_flight=[],
    )
    _apply_configuration(simulation.state, 1, checks)
    executors = [SimulatedExecutor(simulation, n) for n in range(EXECUTORS)]
    simulation.executors.extend(executors)
    tasks = [asyncio.create_task(e.run()) for e in executors]
    version = 1
    next_change_ms = clock.now_ms() + CHANGE_INTERVAL_MS
    try:
        while clock.now_ms() < duration_ms:
            clock.advance(STEP_MS)
            for executor in executors:
                executor.resume_if_due()
            _deliver(simulation)
            if clock.now_ms() >= next_change_ms:
                version = 3 - version
                _apply_configuration(simulation.state, version, checks)
                next_change_ms += CHANGE_INTERVAL_MS * simulation.rng.uniform(
                    0.3, 3
                )
            for _ in range(LOOP_TURNS_PER_STEP):
                await asyncio.sleep(0)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return simulation


def _deliver(simulation: Simulation) -> None:
    now_ms = simulation.clock.now_ms()
    for entry in sorted(simulation.in_flight, key=lambda entry: entry[0]):
        arrives_ms, engine_id, intent = entry
        if arrives_ms <= now_ms:
            simulation.in_flight.remove(entry)
            simulation.engine_by_id[engine_id].apply(intent)


def max_loads_in_window(simulation: Simulation) -> int:
    """Return the largest number of model loads in any minute."""
    starts = sorted(
        at_ms
        for engine in simulation.engine_by_id.values()
        for at_ms in engine.load_times_ms
    )
    return max(
        (
            sum(at_ms < other < at_ms + LOAD_WINDOW_MS for other in starts) + 1
            for at_ms in starts
        ),
        default=0,
    )


async def run_bench(options: result.BenchOptions) -> result.BenchResult:
    """Simulate both kinds of engines; count stale orders and load peaks."""
    figures: dict[str, object] = {}
    contradictions = exceeded = 0
    for name, checks in (("checking", True), ("not_checking", False)):
        simulation = await simulate(options.seed, checks)
        engines = simulation.engine_by_id.values()
        stale_applied = sum(engine.stale_applied for engine in engines)
        max_loads = max_loads_in_window(simulation)
        contradictions += stale_applied
        exceeded += max_loads > LOADS_PER_MINUTE
        figures |= {
            f"{name}_contradicting_applied": stale_applied,
            f"{name}_old_fence_refused": sum(e.stale_refused for e in engines),
            f"{name}_applied": sum(e.applied for e in engines),
            f"{name}_sent": simulation.sent,
            f"{name}_takeovers": simulation.takeovers,
            f"{name}_pauses": simulation.pauses,
            f"{name}_most_loads_a_minute": max_loads,
        }
    figures["contradicting_orders_applied"] = contradictions
    figures["store_limit_exceeded"] = exceeded
    return result.BenchResult(
        "fencing", options.seed, figures, contradictions + exceeded
    )
