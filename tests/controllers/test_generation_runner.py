"""The generation runner against failing engines, on a manual clock."""

import asyncio

import pytest
from reactivex import subject

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import generation_runner
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction.standin import chain
from oriolejunction.standin import engine_stream
from oriolejunction import states
from oriolejunction import telemetry as metrics

STEP_MS = 5
LENGTH = 40
PROMPT = f"p [[length={LENGTH}]]"
COMPLETE = chain.CheckResult(True, LENGTH)
ENGINES = [
    configuration.Engine(f"e{n}", f"http://e{n}", "z", "m") for n in range(3)
]


class FakeEngines:
    """Engines with scripted faults.

    `fault_by_engine` gives the token offset of a fault and the fault: a loss
    cause to raise, a silence in ms, both, or the kind of a wrong event.
    `most_open` is the highest number of streams open at once.
    """

    def __init__(self, clock, fault_by_engine):
        self.clock = clock
        self.fault_by_engine = fault_by_engine
        self.resumable = True
        self.requests = []
        self.cancelled = []
        self.resumed_at = []
        self.most_open = 0
        self._open = 0
        self._stream_by_key = {}

    async def generate(self, engine, request):
        self.requests.append((engine.engine_id, request))
        stream = engine_stream.open_stream(request)
        self._stream_by_key[request.generation, request.attempt] = stream
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        try:
            async for events in self._follow(engine, stream, 0):
                yield events
        finally:
            self._open -= 1

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
                event = await self._inject(fault[1], event, stream, position)
            if event is not None:
                yield [event]

    async def _inject(self, fault_kind, event, stream, position):
        if isinstance(fault_kind, tuple):
            silence_ms, fault_kind = fault_kind
            await self.clock.sleep_ms(silence_ms)
        if isinstance(fault_kind, int):
            await self.clock.sleep_ms(fault_kind)
            return event
        if isinstance(fault_kind, states.LossCause):
            raise generation_attempt.attempt_lost(fault_kind)
        fields = {f: getattr(event, f) for f in event.__struct_fields__}
        if fault_kind == "skip":
            return None
        if fault_kind == "foreign":
            fields["generation"] = "other"
        if fault_kind == "crossed":
            fields["attempt"] = event.attempt + 7
        return engine_protocol.EngineEvent(**fields)


class RunnerHarness:
    """A runner with fake engines; records the text, losses and gaps.

    `may_grant` tells whether a request for an engine may be granted.
    """

    def __init__(self, faults, policy, engines=ENGINES):
        self.clock = clocks.ManualClock()
        self.engines = FakeEngines(self.clock, dict(faults))
        self.losses = []
        losses = subject.Subject()
        losses.subscribe(self.losses.append)
        self.stalls = []
        stalls = subject.Subject()
        stalls.subscribe(self.stalls.append)
        self.granted = 0
        self.may_grant = lambda: True
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
            engine = next(
                (e for e in engines if e.engine_id not in route.excluded), None
            )
            if engine is None or not self.may_grant():
                return None
            self.granted += 1
            return engine

        self.deps = generation_runner.RunnerDependencies(
            engines=self.engines,
            choose_engine=choose,
            telemetry=self.telemetry,
            clock=self.clock,
            attempt_losses=losses,
            attempt_stalls=stalls,
            detector=detectors.SilenceDetector(),
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
            self.generation, self.deps
        ):
            self.text += "".join(d.text for d in deliveries)
            gap_ms = self.clock.now_ms() - last_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
            last_ms = self.clock.now_ms()

    def counter(self, name):
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
async def test_faulty_stream_is_lost_and_continued_elsewhere(
    fault, cause, policy
):
    harness = RunnerHarness({"e0": (10, fault)}, policy)
    assert await harness.run() == COMPLETE
    assert [loss.cause for loss in harness.losses] == [cause]
    assert harness.losses[0].engine_id == "e0"
    continued = harness.engines.requests[1][1]
    assert list(continued.forced_ids) == (
        harness.generation.delivered_ids[: len(continued.forced_ids)]
    )
    assert continued.priority == 1
    assert 1 in harness.engines.cancelled
    assert harness.longest_gap_ms <= 3_000


async def test_early_policy_resumes_sooner_than_thrift_after_a_stall():
    gap_by_policy = {}
    for policy in (loss_policy.EARLY, loss_policy.THRIFT):
        harness = RunnerHarness({"e0": (20, 90_000)}, policy)
        assert await harness.run() == COMPLETE
        gap_by_policy[policy] = harness.longest_gap_ms
    assert gap_by_policy[loss_policy.EARLY] < 300
    assert gap_by_policy[loss_policy.THRIFT] < 1_500


async def test_thrift_tolerates_a_short_engine_pause():
    harness = RunnerHarness({"e0": (20, 700)}, loss_policy.THRIFT)
    assert await harness.run() == COMPLETE
    assert len(harness.engines.requests) == 1
    assert harness.losses == []


async def test_second_attempt_takes_over_from_a_paused_engine():
    harness = RunnerHarness({"e0": (20, 700)}, loss_policy.EARLY)
    assert await harness.run() == COMPLETE
    assert harness.counter("second_attempts") == 1
    assert [loss.cause for loss in harness.losses] == [states.LossCause.SILENT]


async def test_first_attempt_stays_owner_if_it_recovers_before_the_second():
    faults = {"e0": (20, 200), "e1": (20, 150)}
    harness = RunnerHarness(faults, loss_policy.EARLY)
    assert await harness.run() == COMPLETE
    assert harness.counter("false_suspicions") == 1
    assert harness.losses == []
    assert 2 in harness.engines.cancelled


async def test_lost_connection_is_resumed_in_the_same_attempt():
    fault = (20, states.LossCause.DISCONNECTED)
    harness = RunnerHarness({"e0": fault}, loss_policy.THRIFT)
    assert await harness.run() == COMPLETE
    assert harness.engines.resumed_at == [20]
    assert len(harness.engines.requests) == 1
    assert harness.losses == []
    assert harness.counter("reattached") == 1


async def test_refused_resumption_is_an_engine_wide_loss():
    fault = (20, states.LossCause.DISCONNECTED)
    harness = RunnerHarness({"e0": fault}, loss_policy.THRIFT)
    harness.engines.resumable = False
    assert await harness.run() == COMPLETE
    (loss,) = harness.losses
    assert loss.cause is states.LossCause.DISCONNECTED and loss.engine_wide
    assert harness.longest_gap_ms < 100


async def test_pause_of_this_process_causes_no_suspicion():
    harness = RunnerHarness({"e0": (20, STEP_MS)}, loss_policy.EARLY)
    task = asyncio.create_task(harness._read())
    pauses = [5_000]
    while not task.done():
        for _ in range(12):
            await asyncio.sleep(0)
        at_pause = pauses and harness.engines.offset_of("g", 1) == 20
        harness.clock.advance(pauses.pop() if at_pause else STEP_MS)
    assert chain.check_text(harness.text, "1", "", PROMPT) == COMPLETE
    assert pauses == []
    assert harness.counter("second_attempts") == 0
    assert harness.losses == []


@pytest.mark.parametrize(
    "cause, code",
    [
        (states.LossCause.NOT_REACHED, "no_engine"),
        (states.LossCause.REFUSED, "no_engine"),
        (states.LossCause.DISCONNECTED, "generation_lost"),
    ],
)
async def test_not_run_is_reported_only_if_nothing_ran(cause, code):
    harness = RunnerHarness({}, loss_policy.THRIFT, ENGINES[:1])

    async def fail(engine, request):
        raise generation_attempt.attempt_lost(cause)
        yield

    harness.engines.generate = harness.engines.resume = fail
    with pytest.raises(errors.Failure) as raised:
        await harness.run()
    assert raised.value.error.code == code


async def test_repeated_events_are_dropped_without_a_loss():
    harness = RunnerHarness({}, loss_policy.THRIFT)
    generate = harness.engines.generate

    async def generate_twice(engine, request):
        async for events in generate(engine, request):
            yield events
            yield events

    harness.engines.generate = generate_twice
    assert await harness.run() == COMPLETE
    assert harness.losses == []
    assert harness.counter("tokens_dropped") > 0
