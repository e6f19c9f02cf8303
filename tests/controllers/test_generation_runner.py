"""The runner against engines that fail, on a clock moved by hand."""

import asyncio

import pytest
from reactivex import subject

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import generation_runner
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import silence_detector as suspicions
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction.standin import chain
from oriolejunction.standin import engine_stream
from oriolejunction import states
from oriolejunction import telemetry as metrics

STEP_MS = 5
LENGTH = 40
PROMPT = f"p [[length={LENGTH}]]"
WHOLE = chain.CheckResult(True, LENGTH)
ENGINES = [
    configuration.Engine(f"e{n}", f"http://e{n}", "z", "m") for n in range(3)
]


class FakeEngines:
    """Engines whose streams follow a script.

    `fault_by_engine` gives the offset at which something happens and what:
    a loss cause to raise, silence in ms, or the name of a wrong event.
    """

    def __init__(self, clock, fault_by_engine):
        self.clock = clock
        self.fault_by_engine = fault_by_engine
        self.resumable = True
        self.requests = []
        self.cancelled = []
        self.resumed_at = []
        self._stream_by_key = {}

    async def generate(self, engine, request):
        self.requests.append((engine.engine_id, request))
        stream = engine_stream.open_stream(request)
        self._stream_by_key[request.generation, request.attempt] = stream
        async for events in self._follow(engine, stream, 0):
            yield events

    async def resume(self, engine, request, offset):
        if not self.resumable:
            raise generation_attempt.attempt_lost(states.LossCause.REFUSED)
        self.resumed_at.append(offset)
        stream = self._stream_by_key[request.generation, request.attempt]
        position = stream.position_of(offset)
        async for events in self._follow(engine, stream, position):
            yield events

    def offset_of(self, generation, attempt):
        stream = self._stream_by_key.get((generation, attempt))
        return stream.offset if stream else 0

    async def cancel(self, engine, generation, attempt):
        self.cancelled.append(attempt)

    async def _follow(self, engine, stream, position):
        while True:
            while position >= len(stream.event_by_position):
                if stream.finished:
                    return
                await self.clock.sleep_ms(STEP_MS)
                engine_stream.step(stream)
            raw = stream.event_by_position[position]
            position += 1
            event = engine_stream.decode_event(raw)
            fault = self.fault_by_engine.get(engine.engine_id)
            if fault is not None and fault[0] == event.offset:
                del self.fault_by_engine[engine.engine_id]
                event = await self._happen(fault[1], event, stream, position)
            if event is not None:
                yield [event]

    async def _happen(self, what, event, stream, position):
        if isinstance(what, int):
            await self.clock.sleep_ms(what)
            return event
        if isinstance(what, states.LossCause):
            raise generation_attempt.attempt_lost(what)
        fields = {f: getattr(event, f) for f in event.__struct_fields__}
        if what == "skip":
            return None
        if what == "foreign":
            fields["generation"] = "other"
        if what == "crossed":
            fields["attempt"] = event.attempt + 7
        return engine_protocol.EngineEvent(**fields)


class World:
    """A runner with fake engines and what it reported."""

    def __init__(self, faults, policy, engines=ENGINES):
        self.clock = clocks.ManualClock()
        self.engines = FakeEngines(self.clock, dict(faults))
        self.losses = []
        losses = subject.Subject()
        losses.subscribe(self.losses.append)
        self.telemetry = metrics.Telemetry()
        self.generation = generations.Generation(
            "g",
            generations.GenerationRequest(
                workspace="w",
                model="m",
                version="1",
                adapter="",
                prompt=PROMPT,
                max_tokens=100,
                sampling=engine_protocol.Sampling(),
                stop=(),
            ),
        )

        async def choose(route):
            return next(
                (e for e in engines if e.engine_id not in route.excluded), None
            )

        self.parts = generation_runner.RunnerDependencies(
            engines=self.engines,
            choose_engine=choose,
            telemetry=self.telemetry,
            clock=self.clock,
            attempt_losses=losses,
            detector=suspicions.SilenceDetector(),
            policy=lambda: policy,
        )
        self.text = ""
        self.longest_gap_ms = 0.0

    async def run(self, step_ms=STEP_MS, limit_ms=60_000):
        task = asyncio.create_task(self._read())
        while not task.done() and self.clock.now_ms() < limit_ms:
            for _ in range(12):
                await asyncio.sleep(0)
            self.clock.advance(step_ms)
        await task
        return chain.check_text(self.text, "1", "", PROMPT)

    async def _read(self):
        last_ms = self.clock.now_ms()
        async for deliveries in generation_runner.run(
            self.generation, self.parts
        ):
            self.text += "".join(part.text for part in deliveries)
            gap_ms = self.clock.now_ms() - last_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
            last_ms = self.clock.now_ms()

    def counted(self, name):
        return sum(getattr(self.telemetry, name).values.store.values())


@pytest.mark.parametrize(
    "fault, cause",
    [
        ("skip", states.LossCause.GAP),
        ("foreign", states.LossCause.FOREIGN),
        ("crossed", states.LossCause.FOREIGN),
        (states.LossCause.ENDED_EARLY, states.LossCause.ENDED_EARLY),
        (states.LossCause.MALFORMED, states.LossCause.MALFORMED),
        (90_000, states.LossCause.SILENT),
    ],
)
@pytest.mark.parametrize("policy", [loss_policy.EARLY, loss_policy.THRIFT])
async def test_wrong_stream_is_lost_and_continued(fault, cause, policy):
    world = World({"e0": (10, fault)}, policy)
    assert await world.run() == WHOLE
    assert [loss.cause for loss in world.losses] == [cause]
    assert world.losses[0].engine_id == "e0"
    continued = world.engines.requests[1][1]
    assert list(continued.forced_ids) == (
        world.generation.delivered_ids[: len(continued.forced_ids)]
    )
    assert continued.priority == 1
    assert 1 in world.engines.cancelled
    assert world.longest_gap_ms <= 3_000


async def test_early_policy_goes_on_sooner_than_thrift_after_silence():
    gap_by_policy = {}
    for policy in (loss_policy.EARLY, loss_policy.THRIFT):
        world = World({"e0": (20, 90_000)}, policy)
        assert await world.run() == WHOLE
        gap_by_policy[policy] = world.longest_gap_ms
    assert gap_by_policy[loss_policy.EARLY] < 300
    assert gap_by_policy[loss_policy.THRIFT] < 1_500


async def test_thrift_waits_for_an_engine_that_pauses_shortly():
    world = World({"e0": (20, 700)}, loss_policy.THRIFT)
    assert await world.run() == WHOLE
    assert len(world.engines.requests) == 1
    assert world.losses == []


async def test_second_attempt_takes_over_from_a_paused_engine():
    world = World({"e0": (20, 700)}, loss_policy.EARLY)
    assert await world.run() == WHOLE
    assert world.counted("second_attempts") == 1
    assert [loss.cause for loss in world.losses] == [states.LossCause.SILENT]


async def test_first_that_returns_before_the_second_stays_owner():
    faults = {"e0": (20, 200), "e1": (20, 150)}
    world = World(faults, loss_policy.EARLY)
    assert await world.run() == WHOLE
    assert world.counted("false_suspicions") == 1
    assert world.losses == []
    assert 2 in world.engines.cancelled


async def test_lost_connection_is_resumed_on_the_same_attempt():
    fault = (20, states.LossCause.DISCONNECTED)
    world = World({"e0": fault}, loss_policy.THRIFT)
    assert await world.run() == WHOLE
    assert world.engines.resumed_at == [20]
    assert len(world.engines.requests) == 1
    assert world.losses == []
    assert world.counted("reattached") == 1


async def test_engine_without_the_stream_is_lost_as_a_whole():
    fault = (20, states.LossCause.DISCONNECTED)
    world = World({"e0": fault}, loss_policy.THRIFT)
    world.engines.resumable = False
    assert await world.run() == WHOLE
    (loss,) = world.losses
    assert loss.cause is states.LossCause.DISCONNECTED and loss.engine_wide
    assert world.longest_gap_ms < 100


async def test_pause_of_this_process_is_held_against_no_engine():
    world = World({"e0": (20, STEP_MS)}, loss_policy.EARLY)
    task = asyncio.create_task(world._read())
    pauses = [5_000]
    while not task.done():
        for _ in range(12):
            await asyncio.sleep(0)
        at_pause = pauses and world.engines.offset_of("g", 1) == 20
        world.clock.advance(pauses.pop() if at_pause else STEP_MS)
    assert chain.check_text(world.text, "1", "", PROMPT) == WHOLE
    assert pauses == []
    assert world.counted("second_attempts") == 0
    assert world.losses == []


@pytest.mark.parametrize(
    "cause, code",
    [
        (states.LossCause.NOT_REACHED, "no_engine"),
        (states.LossCause.REFUSED, "no_engine"),
        (states.LossCause.DISCONNECTED, "generation_lost"),
    ],
)
async def test_not_run_is_told_only_where_nothing_ran(cause, code):
    world = World({}, loss_policy.THRIFT, ENGINES[:1])

    async def fail(engine, request):
        raise generation_attempt.attempt_lost(cause)
        yield

    world.engines.generate = world.engines.resume = fail
    with pytest.raises(errors.Failure) as raised:
        await world.run()
    assert raised.value.error.code == code


async def test_repeated_events_are_dropped_without_a_loss():
    world = World({}, loss_policy.THRIFT)
    whole = world.engines.generate

    async def twice(engine, request):
        async for events in whole(engine, request):
            yield events
            yield events

    world.engines.generate = twice
    assert await world.run() == WHOLE
    assert world.losses == []
    assert world.counted("tokens_dropped") > 0
