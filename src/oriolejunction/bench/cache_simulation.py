"""Streams with shared prompt parts from several instances, in virtual time.

Each instance knows its own streams at once and those of the others as of the
last report. Each engine prefills one prompt after the other, keeps the parts
of earlier prompts in the memory that its running streams leave free, and
drops the least recently used ones.
"""

import collections
import heapq
import itertools
import math
import random

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import cached_parts
from oriolejunction.controllers.overload import placement
from oriolejunction import ids

SPEEDS = (0.7, 0.7, 1.7)
SLOTS = 12
PART_TOKENS = (3_000, 4_000, 1_200)
PROMPT = sum(PART_TOKENS)
KV_TOKENS = 9_300
EVENTS = 130
EVENT_MS = 32.0
PREFILL_MS_PER_K = 125.0
REPORT_MS = 100.0
RETRY_MS = 30.0
REUSE_MS = 8_000.0
RESTART_MS = 1_200.0


class Load(msgspec.Struct, frozen=True):
    """Demand and faults.

    Prompts begin with one of `groups` shared beginnings, chosen in proportion
    to rank to the power of -`skew`; the first has at least `hot` of all.
    """

    groups: int = 40
    skew: float = 0.0
    hot: float = 0.0
    per_s: float = 14.0
    kv_limit: int = 88_000
    loses_zone: bool = False
    loses_holder: bool = False
    instances: int = 12
    engines: int = 18


class Stream:
    """One stream of an instance."""

    def __init__(self, instance: int, parts, began_ms: float) -> None:
        self.instance, self.parts = instance, parts
        self.began_ms, self.end_ms = began_ms, math.inf
        self.first_ms: float | None = None


class Engine:
    """An engine with its running streams and its cached parts."""

    def __init__(self, number: int) -> None:
        self.speed = SPEEDS[number // 3 % len(SPEEDS)]
        self.is_up, self.boot = True, 0
        self.running: list[Stream] = []
        self.cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.prefilled_at_ms = 0.0
        self.stream_ms = 0.0
        self.backend = backends.Backend(
            ids.BackendId(f"e{number}"),
            ids.ServiceName("llm"),
            f"e{number}",
            ids.ZoneId(f"z{number % 3}"),
        )

    def take_cached(self, parts, kv_limit: int) -> int:
        """Return the leading tokens that are cached; cache the prompt."""
        hit = 0
        for part, tokens in parts:
            if part not in self.cached:
                break
            hit += tokens
        for part, tokens in reversed(parts):
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        room = kv_limit - KV_TOKENS * len(self.running)
        while self.cached and sum(self.cached.values()) > room:
            self.cached.popitem(last=False)
        return hit


class Outcome(msgspec.Struct):
    """What callers and engines saw."""

    streams: int = 0
    hits: int = 0
    hit_tokens: int = 0
    tokens: int = 0
    first_event_ms: list[float] = msgspec.field(default_factory=list)
    worst_load: float = 0.0


class Simulation:
    """Instances in front of the same engines.

    With `uses_cache`, instances place by what they sent to each engine.
    """

    def __init__(
        self,
        uses_cache: bool,
        load: Load,
        seed: int = 1,
        home_chance: float = cached_parts.HOME_CHANCE,
    ) -> None:
        self.load, self.uses_cache = load, uses_cache
        self.demand, self.rng = random.Random(seed), random.Random(seed + 1)
        self.clock = clocks.ManualClock()
        self.engines = [Engine(n) for n in range(load.engines)]
        self.models = [
            cached_parts.CachedParts(self.clock, REUSE_MS, home_chance)
            for _ in range(load.instances)
        ]
        self.reported: list[tuple[Stream, Engine]] = []
        self.outcome = Outcome()
        self.events: list = []
        self.order = itertools.count()
        weights = [(n + 1) ** -load.skew for n in range(load.groups)]
        if load.hot:
            rest = sum(weights[1:])
            weights[0] = load.hot / (1 - load.hot) * rest
        self.weights = weights

    @property
    def now_ms(self) -> float:
        """Return the virtual time."""
        return self.clock.now_ms()

    def at(self, delay_ms: float, action, *arguments) -> None:
        """Run an action later."""
        due = (self.now_ms + delay_ms, next(self.order), action, arguments)
        heapq.heappush(self.events, due)

    def run(self, duration_ms: float) -> Outcome:
        """Let streams arrive for a time; return what callers saw."""
        self.at(0.0, self.arrive)
        self.at(0.0, self.report)
        if self.load.loses_zone:
            self.at(duration_ms / 3, self.lose, self.engines[::3], math.inf)
        if self.load.loses_holder:
            self.at(duration_ms / 3, self.lose_holder)
        while self.events and self.events[0][0] < duration_ms:
            at_ms, _, action, arguments = heapq.heappop(self.events)
            elapsed_ms = at_ms - self.now_ms
            for engine in self.engines:
                engine.stream_ms += elapsed_ms * len(engine.running)
            self.clock.advance(elapsed_ms)
            action(*arguments)
        loads = [each.stream_ms for each in self.engines]
        mean = sum(loads) / len(loads)
        self.outcome.worst_load = max(loads) / mean if mean else 0.0
        return self.outcome

    def arrive(self) -> None:
        """Begin a stream at some instance."""
        per_ms = self.load.per_s / 1e3
        self.at(self.demand.expovariate(per_ms), self.arrive)
        (group,) = self.demand.choices(range(self.load.groups), self.weights)
        names = (f"s{group % 8}", f"d{group}", f"own{next(self.order)}")
        parts = tuple(zip(names, PART_TOKENS))
        instance = self.demand.randrange(self.load.instances)
        self.outcome.streams += 1
        self.place(Stream(instance, parts, self.now_ms))

    def report(self) -> None:
        """Let all instances know the streams of the others."""
        self.at(REPORT_MS, self.report)
        self.reported = [
            (stream, each) for each in self.engines for stream in each.running
        ]

    def candidates(self, stream: Stream) -> list[placement.Candidate]:
        """Return the engines as the stream's instance knows them."""
        known = collections.defaultdict(list)
        for each, engine in self.reported:
            if each.instance != stream.instance:
                known[engine].append(each)
        for engine in self.engines:
            own = (e for e in engine.running if e.instance == stream.instance)
            known[engine].extend(own)
        model = self.models[stream.instance]
        found = []
        for engine in filter(lambda each: each.is_up, self.engines):
            kv_tokens = KV_TOKENS * len(known[engine])
            room = max(0, self.load.kv_limit - kv_tokens)
            cached = 0.0
            if self.uses_cache:
                cached = model.expected_tokens(
                    engine.backend, stream.parts, room
                )
            found.append(
                placement.Candidate(
                    backend=engine.backend,
                    streams=len(known[engine]),
                    kv_tokens=kv_tokens,
                    prefill_tokens=sum(
                        PROMPT
                        for each in known[engine]
                        if each.first_ms is None or each.first_ms > self.now_ms
                    ),
                    kv_limit=self.load.kv_limit,
                    slots=SLOTS,
                    event_ms=EVENT_MS * engine.speed,
                    prefill_ms_per_k=PREFILL_MS_PER_K * engine.speed,
                    cached_tokens=cached,
                )
            )
        return found

    def place(self, stream: Stream) -> None:
        """Place a stream, or try again later."""
        chosen = placement.choose_engine(
            self.candidates(stream),
            placement.StreamRequirements(
                PROMPT,
                KV_TOKENS,
                ids.ZoneId(f"z{stream.instance % 3}"),
                EVENTS,
            ),
            self.rng,
        )
        if chosen is not None:
            engine = next(
                e for e in self.engines if e.backend is chosen.backend
            )
            room = self.load.kv_limit - KV_TOKENS * (len(engine.running) + 1)
            if room >= 0 and len(engine.running) < SLOTS:
                self.models[stream.instance].record_sent(
                    chosen.backend,
                    stream.parts,
                    max(0, chosen.kv_limit - chosen.kv_tokens),
                )
                self.begin(stream, engine)
                return
        self.at(RETRY_MS, self.place, stream)

    def begin(self, stream: Stream, engine: Engine) -> None:
        """Prefill a stream, which delays the others, and let it run."""
        hit = engine.take_cached(stream.parts, self.load.kv_limit)
        self.outcome.hits += hit > 0
        self.outcome.hit_tokens += hit
        self.outcome.tokens += PROMPT
        prefill_ms = (PROMPT - hit) / 1e3 * PREFILL_MS_PER_K * engine.speed
        for other in engine.running:
            other.end_ms += placement.DELAY_PER_PREFILL * prefill_ms
        begins_ms = max(self.now_ms, engine.prefilled_at_ms)
        engine.prefilled_at_ms = stream.first_ms = begins_ms + prefill_ms
        stream.end_ms = stream.first_ms + EVENTS * EVENT_MS * engine.speed
        engine.running.append(stream)
        self.at(prefill_ms + begins_ms - self.now_ms, self.first, stream)
        self.at(stream.end_ms - self.now_ms, self.end, stream, engine)

    def first(self, stream: Stream) -> None:
        """Record the first event, unless its engine was lost before."""
        if stream.first_ms is not None and stream.first_ms <= self.now_ms:
            took_ms = self.now_ms - stream.began_ms
            self.outcome.first_event_ms.append(took_ms)

    def end(self, stream: Stream, engine: Engine) -> None:
        """End a stream, unless it was delayed or moved."""
        if stream not in engine.running:
            return
        if stream.end_ms > self.now_ms:
            self.at(stream.end_ms - self.now_ms, self.end, stream, engine)
            return
        engine.running.remove(stream)

    def lose_holder(self) -> None:
        """Lose the engine that runs most streams of the first beginning."""
        holder = max(
            self.engines,
            key=lambda each: sum(s.parts[1][0] == "d0" for s in each.running),
        )
        self.lose([holder], RESTART_MS)

    def lose(self, engines: list[Engine], for_ms: float) -> None:
        """Lose engines; their streams are placed again."""
        moved = []
        for engine in engines:
            moved.extend(engine.running)
            engine.running, engine.is_up = [], False
            engine.cached.clear()
            engine.prefilled_at_ms = 0.0
            for model in self.models:
                model.forget(engine.backend.backend_id)
            if for_ms < math.inf:
                self.at(for_ms, self.restart, engine)
        for stream in moved:
            if stream.first_ms is not None and stream.first_ms > self.now_ms:
                stream.first_ms = None
                self.place(stream)
            else:
                # Its first event was delivered; only the work moves.
                again = Stream(stream.instance, stream.parts, self.now_ms)
                self.place(again)

    def restart(self, engine: Engine) -> None:
        """Let a lost engine serve again, with an empty cache."""
        engine.is_up = True
