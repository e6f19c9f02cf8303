"""Calls of many instances to a few plain servers, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import call_choice
from oriolejunction.controllers.overload import call_hold
from oriolejunction.controllers.overload import reported_loads
from oriolejunction import gateway_messages
from oriolejunction import ids

SLOTS = 6
QUEUE = 24
NETWORK_MS = 2.0
GOAL_MS = 163.0
WAIT_MS = 80.0
POLL_MS = 10.0
MAX_HOLD_MS = call_hold.MAX_GOAL_FRACTION * GOAL_MS
BURST_MS = 50.0
BURST_INTERVAL_MS = 1_000.0


@dataclasses.dataclass
class Result:
    """What callers saw, and the rejections by servers."""

    calls: int = 0
    late: int = 0
    failed: int = 0
    rejections: int = 0
    cross_zone: int = 0
    most_by_server: int = 0
    missed_by_zone: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    calls_by_zone: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Server:
    """A plain server with slots, a queue and a speed that changes."""

    def __init__(self, number: int, rng: random.Random, usual: float) -> None:
        self.backend = backends.Backend(
            ids.BackendId(f"s{number}"),
            ids.ServiceName("desk"),
            f"s{number}",
            ids.ZoneId(f"z{number % 3}"),
        )
        self.running = 0
        self.queue: collections.deque = collections.deque()
        self.rng = rng
        self.usual = usual

    def slowdown(self, now_ms: float) -> float:
        """Return the factor of work at this moment."""
        phase = self.rng.random() * 0.3
        return self.usual * (1 + 0.4 * math.sin(now_ms / 60.0 + phase))

    def load(self, now_ms: float) -> gateway_messages.ServerLoad:
        """Return what the server states in an answer."""
        return gateway_messages.ServerLoad(
            self.running, len(self.queue), SLOTS, self.slowdown(now_ms)
        )


class Simulation:
    """Instances that choose among servers, with or without their loads.

    The demand of each zone follows its own wave. Once a second, a `burst` of
    calls arrives within 50 ms.
    """

    def __init__(
        self,
        uses_loads: bool,
        seed: int = 1,
        instances: int = 68,
        per_s: float = 120.0,
        work_ms: float = 60.0,
        speeds: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0),
        wave: float = 0.27,
        burst: int = 0,
        hold_ms: float = call_hold.FIRST_HOLD_MS,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.choose = choose_by_reported if uses_loads else choose_by_own
        self.uses_loads = uses_loads
        self.servers = [
            Server(n, self.rng, speed) for n, speed in enumerate(speeds)
        ]
        self.loads = [
            reported_loads.ReportedLoads(self.clock, self.rng)
            for _ in range(instances)
        ]
        self.own = [collections.Counter() for _ in range(instances)]
        self.per_s, self.work_ms = per_s, work_ms
        self.wave = wave
        self.burst = burst
        self.hold_ms = hold_ms
        self.result = Result()
        self.events: list = []
        self.order = itertools.count()

    def at(self, delay_ms, action, *arguments):
        """Run an action later."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(
            self.events, (due_ms, next(self.order), action, arguments)
        )

    def run(self, duration_ms):
        """Run and return the result."""
        self.at(0.0, self.arrive)
        self.at(0.0, self.arrive_together)
        while self.events:
            due_ms, _, action, arguments = heapq.heappop(self.events)
            is_arrival = action in (self.arrive, self.arrive_together)
            if is_arrival and due_ms > duration_ms:
                continue
            self.clock.advance(due_ms - self.clock.now_ms())
            action(*arguments)
        return self.result

    def arrive(self):
        """Begin the next call and its successor."""
        self.at(self.rng.expovariate(self.per_s / 1e3), self.arrive)
        self.begin()

    def arrive_together(self):
        """Begin a burst of calls."""
        self.at(BURST_INTERVAL_MS, self.arrive_together)
        for _ in range(self.burst):
            self.at(self.rng.uniform(0, BURST_MS), self.begin)

    def begin(self):
        """Begin a call at an instance, by the wave of its zone."""
        now_ms = self.clock.now_ms()
        weights = [
            1 + self.wave * math.sin(now_ms / 11_000 * 6.28 + 2.1 * zone)
            for zone in range(3)
        ]
        zone = self.rng.choices(range(3), weights)[0]
        instance = self.rng.randrange(zone, len(self.loads), 3)
        self.result.calls += 1
        self.result.calls_by_zone[zone] += 1
        self.place(instance, now_ms, 0, now_ms + WAIT_MS, set())

    def place(self, instance, began_ms, sends, until_ms, tried):
        """Choose a server, or wait for one."""
        loads, own = self.loads[instance], self.own[instance]
        open_servers = [
            each
            for each in self.servers
            if not loads.full_ms(each.backend.backend_id, own[each])
        ]
        fresh = [each for each in open_servers if each not in tried]
        usable = fresh or open_servers
        if not self.uses_loads:
            usable = [s for s in self.servers if s not in tried]
            usable = usable or self.servers
        if not usable:
            if self.clock.now_ms() >= until_ms:
                self.fail(instance)
            else:
                self.at(
                    POLL_MS,
                    self.place,
                    instance,
                    began_ms,
                    sends,
                    until_ms,
                    tried,
                )
            return
        zone = ids.ZoneId(f"z{instance % 3}")
        server = self.choose(usable, loads, own, zone, self.rng)
        own[server] += 1
        loads.take(server.backend.backend_id)
        self.result.cross_zone += server.backend.zone != zone
        self.at(
            NETWORK_MS,
            self.receive,
            server,
            (
                instance,
                began_ms,
                sends + 1,
                until_ms,
                tried | {server},
            ),
            self.clock.now_ms(),
        )

    def receive(self, server, call, sent_ms):
        """Let a server run, queue or reject a call."""
        if server.running < SLOTS:
            self.start(server, call, sent_ms)
        elif len(server.queue) < QUEUE:
            server.queue.append((call, sent_ms))
        else:
            self.result.rejections += 1
            self.at(
                NETWORK_MS,
                self.answer,
                server,
                call,
                sent_ms,
                True,
                server.load(self.clock.now_ms()),
            )
        held = server.running + len(server.queue)
        self.result.most_by_server = max(self.result.most_by_server, held)

    def start(self, server, call, sent_ms):
        """Run a call in a slot."""
        server.running += 1
        work_ms = self.rng.uniform(0.5, 1.5) * self.work_ms
        self.at(
            work_ms * server.slowdown(self.clock.now_ms()),
            self.end,
            server,
            call,
            sent_ms,
        )

    def end(self, server, call, sent_ms):
        """Answer a call and begin the next one."""
        server.running -= 1
        if server.queue:
            self.start(server, *server.queue.popleft())
        self.at(
            NETWORK_MS,
            self.answer,
            server,
            call,
            sent_ms,
            False,
            server.load(self.clock.now_ms()),
        )

    def answer(self, server, call, sent_ms, rejected, load):
        """Let the instance take in an answer."""
        instance, began_ms, sends, until_ms, tried = call
        own = self.own[instance]
        own[server] -= 1
        self.loads[instance].observe(
            server.backend.backend_id, load, own[server], rejected, sent_ms
        )
        if not rejected:
            if self.clock.now_ms() - began_ms > GOAL_MS:
                self.result.late += 1
                self.result.missed_by_zone[instance % 3] += 1
        elif sends >= 4:
            self.fail(instance)
        else:
            # Without stated loads, calls are not held back.
            doubled_ms = self.uses_loads * self.hold_ms * 2 ** (sends - 1)
            self.at(min(doubled_ms, MAX_HOLD_MS), self.place, *call)

    def fail(self, instance):
        """Reject a call for good."""
        self.result.failed += 1
        self.result.missed_by_zone[instance % 3] += 1


def choose_by_reported(servers, loads, own, zone, rng):
    """Choose as instances do by reported loads."""
    candidates = [
        call_choice.CallCandidate(
            each.backend,
            own[each],
            0.0,
            loads.estimate(each.backend.backend_id),
        )
        for each in servers
    ]
    if all(each.load is None for each in candidates):
        return choose_by_own(servers, loads, own, zone, rng)
    best = call_choice.choose(candidates, zone, rng)
    return next(s for s in servers if s.backend is best.backend)


def choose_by_own(servers, loads, own, zone, rng):
    """Choose as instances do without reported loads."""
    return min(
        servers,
        key=lambda each: own[each]
        + 0.4 * (each.backend.zone != zone)
        + rng.uniform(0, 0.2),
    )
