"""Rounds of the bench ``resume``: many streams and one fault each."""

import asyncio
import dataclasses
import enum
import random

from oriolejunction.bench import resilient_client
from oriolejunction.bench import result
from oriolejunction import clock as clocks
from oriolejunction import engine_protocol
from oriolejunction import local_deployment
from oriolejunction.standin import chain
from oriolejunction.standin import engine as standin_engine
from oriolejunction import states
from oriolejunction import wiring

STREAMS = 24
TOKENS = (40, 80)
FAULT_DELAY_MS = (150, 350)
PAUSE_MS = (300, 900)
SETTLE_MS = 50
POLL_MS = 5
LIVE = states.EngineState.LIVE
ZONE = local_deployment.ZONES[0]


class RoundFault(enum.Enum):
    """The fault that is injected in the middle of a round."""

    DIE = "die"
    RESET = "reset"
    DROP = "drop"
    PAUSE = "pause"
    PAUSE_AGAIN = "pause_again"
    ZONE = "zone"
    ENTRY = "entry"
    ENTRY_AND_ENGINE = "entry_and_engine"


SINGLE_LOSSES = frozenset(RoundFault) - {
    RoundFault.ZONE,
    RoundFault.ENTRY_AND_ENGINE,
}


ENTRY_LOSSES = frozenset({RoundFault.ENTRY, RoundFault.ENTRY_AND_ENGINE})


@dataclasses.dataclass
class RoundStats:
    """Results of the rounds of one policy."""

    resume_latencies: result.Latencies = dataclasses.field(
        default_factory=result.Latencies
    )
    single_loss_latencies: result.Latencies = dataclasses.field(
        default_factory=result.Latencies
    )
    worst_ms_by_fault: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    extra_tokens_by_fault: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    useful_tokens_by_fault: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    broken_answers: list[str] = dataclasses.field(default_factory=list)

    def useful_tokens(self) -> int:
        """Return the tokens of all answers, each token counted once."""
        return sum(self.useful_tokens_by_fault.values())

    def engine_loss_extra_ratio(self) -> float:
        """Return extra tokens per useful token where no entry was lost."""
        names = [f.value for f in RoundFault if f not in ENTRY_LOSSES]
        extra = sum(self.extra_tokens_by_fault[name] for name in names)
        return extra / sum(self.useful_tokens_by_fault[name] for name in names)


@dataclasses.dataclass
class Stream:
    """One stream of a round: the prompt, its length and the answer."""

    prompt: str
    length: int
    answer: resilient_client.Answer

    def generation(self) -> str:
        """Return the generation id, empty before the first event."""
        return (self.answer.last_event_id or "").partition(".")[0]


class Rounds:
    """Run rounds against one deployment."""

    def __init__(
        self,
        deployment: local_deployment.LocalDeployment,
        seed: int,
        clock: clocks.Clock,
    ) -> None:
        self.stats = RoundStats()
        self._deployment = deployment
        self._clock = clock
        self._rng = random.Random(seed)
        key = next(iter(deployment.options.key_by_workspace.values()))
        self._client = resilient_client.ResilientClient(
            deployment.addresses.callers_urls,
            key,
            random.Random(seed),
            clock,
        )

    async def close(self) -> None:
        """Close the connections of the callers."""
        await self._client.close()

    async def run(self, fault: RoundFault) -> None:
        """Stream answers, inject a fault, and check every answer."""
        streams = [self._new_stream(fault, n) for n in range(STREAMS)]
        computed = self._tokens_computed()
        async with asyncio.TaskGroup() as group:
            for stream in streams:
                group.create_task(self._stream_answer(stream))
            wait_ms = self._rng.uniform(*FAULT_DELAY_MS)
            await self._clock.sleep_ms(wait_ms)
            await self._wait_until_half_running(streams)
            affected = await self._inject_fault(fault, streams)
            for stream in streams:
                stream.answer.longest_gap_ms = 0.0
        self._record_results(fault, streams, affected)
        await self._recover()
        useful = sum(stream.length for stream in streams)
        extra = self._tokens_computed() - computed - useful
        self.stats.extra_tokens_by_fault[fault.value] = extra
        self.stats.useful_tokens_by_fault[fault.value] = useful

    async def wait_until_engines_live(self) -> None:
        """Wait until each instance sees all engines as live."""
        for instance in self._deployment.instances:
            engine_states = instance.blackboard.engine_state_by_id
            count = len(self._deployment.engines)
            while list(engine_states.read().values()).count(LIVE) < count:
                await self._clock.sleep_ms(SETTLE_MS)

    async def _wait_until_half_running(self, streams: list[Stream]) -> None:
        while sum(bool(s.generation()) for s in streams) < STREAMS // 2:
            await self._clock.sleep_ms(POLL_MS)

    def _tokens_computed(self) -> int:
        return sum(e.tokens_computed for e in self._deployment.engines)

    def _new_stream(self, fault: RoundFault, number: int) -> Stream:
        length = self._rng.randint(*TOKENS)
        prompt = f"{fault.value} {number} [[length={length}]]"
        return Stream(prompt, length, resilient_client.Answer())

    async def _stream_answer(self, stream: Stream) -> None:
        await self._client.stream(
            {
                "model": local_deployment.MODEL,
                "prompt": stream.prompt,
                "max_tokens": 2 * stream.length,
            },
            stream.answer,
        )

    async def _inject_fault(
        self, fault: RoundFault, streams: list[Stream]
    ) -> list[Stream]:
        engines = self._affected_engines(fault)
        affected_ids = set().union(*(e.generations_running() for e in engines))
        affected = [s for s in streams if s.generation() in affected_ids]
        for engine in engines:
            engine.faults.apply(self._engine_fault(fault))
        if fault in ENTRY_LOSSES:
            url = await self._restart_entry()
            affected += [
                s
                for s in streams
                if s.answer.url == url
                and s not in affected
                and s.answer.end is resilient_client.AnswerEnd.GIVEN_UP
            ]
        return affected

    def _affected_engines(
        self, fault: RoundFault
    ) -> list[standin_engine.StandinEngine]:
        engines = self._deployment.engines
        if fault is RoundFault.ENTRY:
            return []
        if fault is RoundFault.ZONE:
            options = self._deployment.options.engines
            return [e for e, o in zip(engines, options) if o.zone == ZONE]
        return [max(engines, key=lambda e: len(e.generations_running()))]

    def _engine_fault(
        self, fault: RoundFault
    ) -> engine_protocol.InjectedFault:
        match fault:
            case RoundFault.RESET | RoundFault.DROP:
                return engine_protocol.InjectedFault(fault.value)
            case RoundFault.PAUSE | RoundFault.PAUSE_AGAIN:
                pause_ms = self._rng.randint(*PAUSE_MS)
                return engine_protocol.InjectedFault(
                    "pause", duration_ms=pause_ms
                )
            case _:
                return engine_protocol.InjectedFault("die")

    async def _restart_entry(self) -> str:
        number = self._rng.randrange(len(self._deployment.instances))
        old = self._deployment.instances[number]
        await old.stop()
        replacement = wiring.Instance(old.settings, old.clock)
        replacement.loss_policy.override = old.loss_policy.override
        self._deployment.instances[number] = replacement
        await replacement.start()
        return self._deployment.addresses.callers_urls[number]

    def _record_results(
        self, fault: RoundFault, streams: list[Stream], affected: list[Stream]
    ) -> None:
        stats = self.stats
        for stream in streams:
            check = chain.check_text(
                stream.answer.text,
                local_deployment.MODEL_VERSION,
                "",
                stream.prompt,
            )
            complete = check == chain.CheckResult(True, stream.length)
            if not complete:
                stats.broken_answers.append(_describe(stream, check))
        if not affected:
            stats.broken_answers.append(
                f"{fault.value}: no answer was affected"
            )
        worst_ms = 0.0
        for stream in affected:
            gap_ms = stream.answer.longest_gap_ms
            worst_ms = max(worst_ms, gap_ms)
            stats.resume_latencies.record(gap_ms)
            if fault in SINGLE_LOSSES:
                stats.single_loss_latencies.record(gap_ms)
        previous_ms = stats.worst_ms_by_fault.get(fault.value, 0.0)
        stats.worst_ms_by_fault[fault.value] = max(
            previous_ms, round(worst_ms, 1)
        )

    async def _recover(self) -> None:
        for engine in self._deployment.engines:
            engine.faults.recover()
        while any(e.generations_running() for e in self._deployment.engines):
            await self._clock.sleep_ms(SETTLE_MS)


def _describe(stream: Stream, check: chain.CheckResult) -> str:
    answer = stream.answer
    return (
        f"{stream.prompt}: {check.tokens} tokens, wrong at"
        f" {check.wrong_offset}, {answer.end.value} {answer.error_code},"
        f" sends {answer.sends}, last event {answer.last_event_id}"
    )
