"""Two executors, paused and back, against engines that check and don't.

A discrete simulation on a manual clock: orders are delayed and duplicated
on their way, executors pause at any of their steps, and the configuration
changes under them.
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
    """Everything that the executors act on."""

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
    """Return the model in a version."""
    return commands.OrderTarget(
        ids.ModelName("m"), ids.ModelVersion(str(version))
    )


def build_configuration(
    version: int, checks: bool
) -> configuration.Configuration:
    """Return a configuration of one model on all engines."""
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
    """One executor's process: paused at any await, never killed."""

    def __init__(self, world: Simulation, number: int) -> None:
        self._world = world
        self._owner = ids.InstanceId(f"executor-{number}")
        self._resumed = asyncio.Event()
        self._resumed.set()
        self.paused_until_ms = 0.0

    def pause(self, duration_ms: float) -> None:
        """Stop the process; it notices nothing."""
        self._world.pauses += 1
        self.paused_until_ms = self._world.clock.now_ms() + duration_ms
        self._resumed.clear()

    def resume_if_due(self) -> None:
        """Let the process go on once its pause is over."""
        if self._world.clock.now_ms() >= self.paused_until_ms:
            self._resumed.set()

    @property
    def is_paused(self) -> bool:
        """Return whether the process is stopped."""
        return not self._resumed.is_set()

    def now_ms(self) -> float:
        """Return the time on the one clock of the simulation."""
        return self._world.clock.now_ms()

    def wall_ms(self) -> int:
        """Return the time as milliseconds for records."""
        return self._world.clock.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep, and go on sleeping while paused."""
        await self._world.clock.sleep_ms(duration_ms)
        await self._resumed.wait()

    async def propose(
        self, command: commands.Command
    ) -> commands.CommandResult:
        """Commit a command; the process may pause before it knows."""
        await self._resumed.wait()
        outcome = control_state.apply(self._world.state, command)
        await self._maybe_pause()
        return outcome

    async def observe(
        self, engine: configuration.Engine
    ) -> order_executor.EngineHoldings:
        """Return what an engine holds."""
        await self._maybe_pause()
        holder = self._world.engine_by_id[engine.engine_id]
        return order_executor.EngineHoldings(tuple(holder.loaded))

    async def send(
        self,
        engine: configuration.Engine,
        intent: commands.OrderIntent,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Put an order on its way; its answer may get lost."""
        await self._maybe_pause(SEND_PAUSE_CHANCE)
        if not may_send():
            raise errors.Failure(order_executor.LeaseRanOut("paused"))
        world = self._world
        world.sent += 1
        arrives_ms = world.clock.now_ms() + self._delay_ms(engine)
        entry = (arrives_ms, engine.engine_id, intent)
        world.in_flight.append(entry)
        deadline_ms = world.clock.now_ms() + orders.ORDER_TIMEOUT_MS
        lost = world.rng.random() < LOSS_CHANCE
        while entry in world.in_flight or lost:
            await self.sleep_ms(STEP_MS)
            if world.clock.now_ms() >= deadline_ms:
                raise errors.Failure(
                    order_executor.NoAcknowledgement("no answer")
                )

    def _delay_ms(self, engine: configuration.Engine) -> float:
        """Delay long after the sender gave up only where it is checked."""
        rng = self._world.rng
        if rng.random() < LOSS_CHANCE:
            if self._world.checks_fencing_by_id[engine.engine_id]:
                return rng.uniform(0.0, MAX_DELIVERY_DELAY_MS)
            return rng.uniform(0.0, 2 * orders.ORDER_TIMEOUT_MS)
        return rng.uniform(0.0, 3 * STEP_MS)

    async def _maybe_pause(self, pause_chance: float = PAUSE_CHANCE) -> None:
        rng = self._world.rng
        if rng.random() < pause_chance:
            self.pause(rng.uniform(*PAUSE_MS))
        await self._resumed.wait()

    def _should_take_over(self) -> bool:
        """Take over from one that is paused, and sometimes needlessly."""
        paused = any(executor.is_paused for executor in self._world.executors)
        needless = self._world.rng.random() < SPURIOUS_TAKEOVER_CHANCE
        return paused or needless or not self._world.state.orders.epoch

    async def run(self) -> None:
        """Take over whenever the other one is paused."""
        world = self._world
        parts = order_executor.ExecutorDependencies(
            owner=self._owner,
            clock=self,
            propose=self.propose,
            engines=self,
            content=lambda: world.state.history.content,
            book=lambda: world.state.orders,
        )
        while True:
            await self.sleep_ms(world.rng.uniform(1_000.0, 5_000.0))
            if not self._should_take_over():
                continue
            seen = world.state.orders.epoch
            executor = await order_executor.become_executor(parts, seen)
            if executor is not None:
                world.takeovers += 1
                await executor.run()


async def simulate(
    seed: int, checks: bool, duration_ms: float = SIMULATED_MS
) -> Simulation:
    """Run one simulation."""
    clock = clocks.ManualClock(1_000.0)
    first = model_target(1)
    names = [ids.EngineId(f"e{number}") for number in range(ENGINES)]
    world = Simulation(
        rng=random.Random(f"{seed}-{checks}"),
        clock=clock,
        state=control_state.ControlState(),
        engine_by_id={
            name: engine_orders.EngineOrders(clock, checks, (first,))
            for name in names
        },
        checks_fencing_by_id={name: checks for name in names},
        in_flight=[],
    )
    _apply_configuration(world.state, 1, checks)
    executors = [SimulatedExecutor(world, n) for n in range(EXECUTORS)]
    world.executors.extend(executors)
    tasks = [asyncio.create_task(e.run()) for e in executors]
    version = 1
    next_change_ms = clock.now_ms() + CHANGE_INTERVAL_MS
    try:
        while clock.now_ms() < duration_ms:
            clock.advance(STEP_MS)
            for executor in executors:
                executor.resume_if_due()
            _deliver(world)
            if clock.now_ms() >= next_change_ms:
                version = 3 - version
                _apply_configuration(world.state, version, checks)
                next_change_ms += CHANGE_INTERVAL_MS * world.rng.uniform(
                    0.3, 3
                )
            for _ in range(LOOP_TURNS_PER_STEP):
                await asyncio.sleep(0)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return world


def _deliver(world: Simulation) -> None:
    now_ms = world.clock.now_ms()
    for entry in sorted(world.in_flight, key=lambda entry: entry[0]):
        arrives_ms, engine_id, intent = entry
        if arrives_ms <= now_ms:
            world.in_flight.remove(entry)
            world.engine_by_id[engine_id].apply(intent)


def max_loads_in_window(world: Simulation) -> int:
    """Return the most loads that any minute saw."""
    starts = sorted(
        at_ms
        for engine in world.engine_by_id.values()
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
    """Run both kinds of engines and count what must not happen."""
    figures: dict[str, object] = {}
    contradictions = exceeded = 0
    for name, checks in (("checking", True), ("not_checking", False)):
        world = await simulate(options.seed, checks)
        engines = world.engine_by_id.values()
        wrong = sum(engine.stale_applied for engine in engines)
        most = max_loads_in_window(world)
        contradictions += wrong
        exceeded += most > LOADS_PER_MINUTE
        figures |= {
            f"{name}_contradicting_applied": wrong,
            f"{name}_old_fence_refused": sum(e.stale_refused for e in engines),
            f"{name}_applied": sum(e.applied for e in engines),
            f"{name}_sent": world.sent,
            f"{name}_takeovers": world.takeovers,
            f"{name}_pauses": world.pauses,
            f"{name}_most_loads_a_minute": most,
        }
    figures["contradicting_orders_applied"] = contradictions
    figures["store_limit_exceeded"] = exceeded
    return result.BenchResult(
        "fencing", options.seed, figures, contradictions + exceeded
    )
