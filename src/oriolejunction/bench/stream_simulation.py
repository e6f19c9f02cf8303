"""Streams of two ranks from several instances, in virtual time.

Each instance knows its own streams, and those of the others as of the last
report. Engines take the streams that fit, and interrupt a running one for a
more urgent one if they are full.
"""

import collections
import collections.abc
import heapq
import itertools
import math
import random

import msgspec

from oriolejunction import backends
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import urgency
from oriolejunction.controllers.overload import wait_queue
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

LLM = ids.ServiceName("llm")
SPEEDS = (0.7, 0.7, 1.7)
SLOTS = 12
KV_LIMIT = 88_000
PROMPT = 8_200
KV_TOKENS = 9_300
EVENTS = 130
EVENT_MS = 32.0
PREFILL_MS_PER_K = 125.0
DEADLINE_MS = 25_000.0
INTERRUPTION_MS = 700.0
REPORT_MS = 100.0
POLL_MS = 30.0
# Goal in ms and streams a second of each rank.
KINDS = {0: (4_000.0, 2.6), 2: (10_000.0, 25.6)}
LEAVE_ROOM_FRACTION = 0.5


class Stream(msgspec.Struct, eq=False):
    """One stream of an instance."""

    instance: int
    rank: int
    began_ms: float
    engine: "Engine | None" = None
    end_ms: float = math.inf


class Engine:
    """An engine with its running streams."""

    def __init__(self, number: int, speed: float) -> None:
        self.speed = speed
        self.running: list[Stream] = []
        self.backend = backends.Backend(
            ids.BackendId(f"e{number}"),
            LLM,
            f"e{number}",
            ids.ZoneId(f"z{number % 3}"),
        )


class Outcome(msgspec.Struct):
    """What callers of each rank saw."""

    streams: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    in_time: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    interruptions: int = 0
    rejections: int = 0

    def in_time_of(self, rank: int) -> float:
        """Return the part of a rank's streams that met their goal."""
        return self.in_time[rank] / max(1, self.streams[rank])


class Simulation:
    """Several instances in front of the same engines.

    With `by_rank`, ranks decide as they do for one service; otherwise all
    streams count as of the same rank.
    """

    def __init__(
        self,
        by_rank: bool,
        seed: int = 1,
        instances: int = 12,
        engines: int = 18,
        load: float = 1.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.by_rank, self.load = by_rank, load
        self.ranks = tuple(KINDS) if by_rank else (2,)
        self.engines = [
            Engine(n, SPEEDS[n // 3 % len(SPEEDS)]) for n in range(engines)
        ]
        self.queues = [wait_queue.WaitQueue() for _ in range(instances)]
        self.own = [collections.Counter() for _ in range(instances)]
        self.reported = [collections.Counter() for _ in range(instances)]
        self.waiting = [collections.Counter() for _ in range(instances)]
        self.outcome = Outcome()
        self.now_ms = 0.0
        self.events: list = []
        self.order = itertools.count()

    def at(
        self,
        delay_ms: float,
        action: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> None:
        """Run an action later."""
        due = (self.now_ms + delay_ms, next(self.order), action, arguments)
        heapq.heappush(self.events, due)

    def run(self, duration_ms: float) -> Outcome:
        """Let streams arrive for a time; return what callers saw."""
        for rank in KINDS:
            self.at(0.0, self.arrive, rank)
        self.at(0.0, self.report)
        for instance in range(len(self.queues)):
            self.at(self.rng.uniform(0, POLL_MS), self.poll, instance)
        while self.events and self.now_ms < duration_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.outcome

    def arrive(self, rank: int) -> None:
        """Begin a stream; the demand of each zone follows its own wave."""
        _, per_s = KINDS[rank]
        per_s *= self.load
        self.at(self.rng.expovariate(per_s / 1e3), self.arrive, rank)
        phases = (self.now_ms / 11_000 + zone / 3 for zone in range(3))
        weights = [1 + 0.27 * math.sin(2 * math.pi * p) for p in phases]
        zone = self.rng.choices(range(3), weights)[0]
        instance = self.rng.randrange(zone, len(self.queues), 3)
        self.outcome.streams[rank] += 1
        stream = Stream(instance, rank, self.now_ms)
        queue = self.queues[instance]
        if not queue.is_empty(LLM) or not self.place(stream):
            queue.add(self.waiter(stream))

    def waiter(self, stream: Stream) -> wait_queue.Waiter[Stream]:
        """Return a stream as the queue knows it."""
        goal_ms, _ = KINDS[stream.rank]
        return wait_queue.Waiter(
            LLM,
            wait_queue.NO_WORKSPACE,
            False,
            stream.rank if self.by_rank else 2,
            KV_TOKENS,
            stream.began_ms,
            stream.began_ms + DEADLINE_MS,
            False,
            stream,
            stream.began_ms + goal_ms - PROMPT / 1e3 * PREFILL_MS_PER_K,
        )

    def report(self) -> None:
        """Let all instances know the streams and waiters of the others."""
        self.at(REPORT_MS, self.report)
        self.reported = [own.copy() for own in self.own]
        self.waiting = [queue.count_by_rank(LLM) for queue in self.queues]

    def poll(self, instance: int) -> None:
        """Place waiting streams in their order."""
        self.at(POLL_MS, self.poll, instance)
        queue = self.queues[instance]
        for waiter in queue.in_order(LLM, self.now_ms):
            if self.now_ms > waiter.until_ms:
                queue.withdraw(waiter)
            elif self.place(waiter.item):
                queue.remove_served(waiter)
            else:
                return

    def candidates(self, instance: int) -> list[placement.Candidate]:
        """Return the engines as an instance knows them."""
        found = []
        for engine in self.engines:
            others = sum(each[engine] for each in self.reported)
            others -= self.reported[instance][engine]
            streams = self.own[instance][engine] + others
            found.append(
                placement.Candidate(
                    backend=engine.backend,
                    streams=streams,
                    kv_tokens=streams * KV_TOKENS,
                    prefill_tokens=0,
                    kv_limit=KV_LIMIT,
                    slots=SLOTS,
                    event_ms=EVENT_MS * engine.speed,
                    prefill_ms_per_k=PREFILL_MS_PER_K * engine.speed,
                )
            )
        return found

    def place(self, stream: Stream) -> bool:
        """Place a stream, unless none fits or room is left to others."""
        goal_ms, _ = KINDS[stream.rank]
        rank = stream.rank if self.by_rank else 2
        candidates = self.candidates(stream.instance)
        waited_ms = self.now_ms - stream.began_ms
        waiting = sum(self.waiting, collections.Counter())
        waiting = waiting - self.waiting[stream.instance]
        others = fm.ServiceUse(
            LLM,
            0,
            0,
            waiting.total(),
            *urgency.count_urgent(self.ranks, waiting),
        )
        fitting = sum(each.can_fit(KV_TOKENS) for each in candidates)
        may_leave = waited_ms <= LEAVE_ROOM_FRACTION * goal_ms
        if may_leave and urgency.must_leave_room(
            rank, self.ranks, others, fitting
        ):
            return False
        if urgency.may_interrupt(rank, self.ranks, resumed=False):
            candidates = placement.with_spare_room(candidates, KV_TOKENS)
        chosen = placement.choose_engine(
            candidates,
            placement.StreamRequirements(
                PROMPT,
                KV_TOKENS,
                ids.ZoneId(f"z{stream.instance % 3}"),
                EVENTS,
                goal_ms - waited_ms,
            ),
            self.rng,
        )
        if chosen is None:
            return False
        engine = next(e for e in self.engines if e.backend is chosen.backend)
        return self.begin(stream, engine)

    def begin(self, stream: Stream, engine: Engine) -> bool:
        """Run a stream, unless the engine is full."""
        limit = int(placement.MAX_FILL_FRACTION * KV_LIMIT / KV_TOKENS)
        if len(engine.running) >= min(limit, SLOTS):
            victim = max(engine.running, key=lambda each: each.rank)
            if not self.by_rank or victim.rank <= stream.rank:
                self.outcome.rejections += 1
                return False
            self.outcome.interruptions += 1
            victim.end_ms += INTERRUPTION_MS
        prefill_ms = PROMPT / 1e3 * PREFILL_MS_PER_K * engine.speed
        stream.end_ms = self.now_ms + prefill_ms
        stream.end_ms += EVENTS * EVENT_MS * engine.speed
        stream.engine = engine
        engine.running.append(stream)
        self.own[stream.instance][engine] += 1
        waited_ms = self.now_ms - stream.began_ms
        goal_ms, _ = KINDS[stream.rank]
        self.outcome.in_time[stream.rank] += waited_ms + prefill_ms <= goal_ms
        self.at(stream.end_ms - self.now_ms, self.end, stream)
        return True

    def end(self, stream: Stream) -> None:
        """End a stream, unless an interruption has delayed its end."""
        if stream.end_ms > self.now_ms:
            self.at(stream.end_ms - self.now_ms, self.end, stream)
            return
        stream.engine.running.remove(stream)
        self.own[stream.instance][stream.engine] -= 1
