"""Entry instances, servers and a control leader of a rollout, simulated.

Requests arrive at random, each instance reports its counts and acts on the
order as of a watch reply ago; the leader's commands go through the replicated
state. All by ticks of virtual time.
"""

import dataclasses
import heapq
import itertools
import math
import random

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction.controllers import rollout_latency
from oriolejunction.controllers import rollout_leader
from oriolejunction.controllers import rollout_tally
from oriolejunction import fleet_messages as fm
from oriolejunction import node_settings
from oriolejunction import states

TICK_MS = 50.0
# Time until a new order reaches the instances.
WATCH_MS = 100.0
HOLD_MS = 2_500.0
BOUNDS = node_settings.RolloutBounds(
    exposure_share=0.1, exposure_tolerance=50, rollback_ms=5_000
)
OLD, NEW = "v1", "v2"
ANSWER, EVENT = states.RolloutMeasure.ANSWER, states.RolloutMeasure.EVENT


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests a second, and how they are answered at either version."""

    per_s: float
    mean_ms: float
    stream: bool = False
    fails: float = 0.0
    spread: float = 0.3


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is wrong with the new version from a time on."""

    fails: float = 0.0
    loses: float = 0.0
    slower: float = 1.0
    part: float = 1.0
    from_ms: float = 0.0
    route: str | None = None


@dataclasses.dataclass(frozen=True)
class Setup:
    """One rollout; a zone crash loses a part of all answers."""

    routes: dict[str, Route]
    fault: Fault = Fault()
    instances: int = 12
    duration_ms: float = 12_000.0
    crashes: bool = False
    servers_from_ms: float = 400.0
    leader_lost_ms: tuple[float, ...] = ()
    lost_instances_ms: tuple[float, ...] = ()
    restarts: bool = False


class Instance:
    """Counts of one incarnation, and its running requests."""

    def __init__(self, name, boot):
        self.name, self.boot = name, boot
        self.number = 0
        self.changed = False
        self.first_events = []
        self.rows = {}
        self.running = []
        self.target_sent = self.target_running = 0

    def row(self, software, route, measure=ANSWER):
        self.changed = True
        return self.rows.setdefault(
            (software, route, measure),
            [0, 0, 0, [0] * rollout_latency.BUCKETS],
        )

    def report(self):
        self.number += 1
        self.changed = False
        return fm.EntryReport(
            self.name,
            self.boot,
            self.number,
            rollout_counts=tuple(
                fm.RolloutCount("s", 1, *key, *row[:3], tuple(row[3]))
                for key, row in self.rows.items()
            ),
        )


class Model:
    """Runs one rollout; see the fields for what is seen."""

    def __init__(self, setup, seed):
        self.setup = setup
        self.rng = random.Random(seed)
        self.boots = itertools.count()
        self.instances = [
            Instance(f"i{n}", f"b{next(self.boots)}")
            for n in range(setup.instances)
        ]
        self.state = control_state.ControlState()
        self.apply(commands.BeginRollout("s", NEW, setup.duration_ms, 0))
        self.tally = rollout_tally.RolloutTally()
        self.leader = rollout_leader.RolloutLeader(BOUNDS)
        self.leader_from_ms = 0.0
        self.order_by_ms = []
        self.requests = self.exposed = self.bad = self.broken = 0
        self.worst_part = 0.0
        self.ended_ms = self.bad_50_ms = self.last_sent_ms = None
        self.moved_ms = None

    @property
    def rollout(self):
        return self.state.rollouts.newest_by_service["s"]

    def apply(self, command):
        result = control_state.apply(self.state, command)
        assert not isinstance(result, commands.RolloutRefused), result

    def run(self, extra_ms=0.0):
        now_ms = 0.0
        while (
            self.rollout.state is states.RolloutState.IN_PROGRESS
            and now_ms < self.setup.duration_ms + 4_000.0
        ):
            now_ms += TICK_MS
            self.tick(now_ms)
        self.ended_ms = now_ms
        self.broken = sum(
            1
            for each in self.instances
            for request in each.running
            if request[2] == OLD
            and self.rollout.state is states.RolloutState.COMPLETED
        )
        return self

    def tick(self, now_ms):
        self.order_by_ms.append(
            (
                now_ms,
                self.rollout.phase,
                {
                    name: (grant.boot, grant.allowance)
                    for name, grant in self.rollout.grant_by_instance.items()
                },
            )
        )
        while len(self.order_by_ms) > 1 and (
            self.order_by_ms[1][0] <= now_ms - WATCH_MS
        ):
            self.order_by_ms.pop(0)
        self.lose_instances(now_ms)
        for instance in self.instances:
            self.end_requests(instance, now_ms)
            self.send_requests(instance, now_ms)
            # Reports go out on changes and once a second.
            if now_ms % 100 == 0 and instance.changed or now_ms % 1_000 == 0:
                self.tally.put(instance.report(), now_ms)
        self.check_exposure()
        for lost_ms in self.setup.leader_lost_ms:
            if now_ms - TICK_MS < lost_ms <= now_ms:
                # An election takes some time; all counts come with reports.
                self.leader = rollout_leader.RolloutLeader(BOUNDS)
                self.tally = rollout_tally.RolloutTally()
                self.leader_from_ms = now_ms + 600.0
        if now_ms >= self.leader_from_ms and now_ms % (TICK_MS * 4) == 0:
            self.lead(now_ms)

    def lose_instances(self, now_ms):
        for lost_ms in self.setup.lost_instances_ms:
            if now_ms - TICK_MS < lost_ms <= now_ms:
                lost = self.instances.pop(0)
                if self.setup.restarts:
                    self.instances.append(
                        Instance(lost.name, f"b{next(self.boots)}")
                    )

    def lead(self, now_ms):
        listed = now_ms >= self.setup.servers_from_ms
        step = self.leader.step(
            self.rollout,
            rollout_leader.Observation(
                now_ms=now_ms,
                elapsed_ms=now_ms,
                counts=self.tally.sums(("s", 1)),
                instances=tuple(self.tally.instances(("s", 1))),
                target_servers=6 * listed,
                old_servers=6,
                hold_ms=HOLD_MS,
            ),
        )
        if step is not None:
            self.apply(step)
            if self.rollout.phase is states.RolloutPhase.MOVING:
                self.moved_ms = self.moved_ms or now_ms

    def check_exposure(self):
        if self.rollout.phase is states.RolloutPhase.OBSERVING:
            bound = 0.1 * self.requests + 50
            self.worst_part = max(
                self.worst_part, self.rollout.granted / bound
            )
            assert self.exposed <= self.rollout.granted

    def end_requests(self, instance, now_ms):
        first = instance.first_events
        while first and first[0][0] <= now_ms:
            _, _, software, route, latency = heapq.heappop(first)
            row = instance.row(software, route)
            row[3][rollout_latency.bucket_of(latency)] += 1
        while instance.running and instance.running[0][0] <= now_ms:
            _, _, software, route, failed, lost, latency, event_ms = (
                heapq.heappop(instance.running)
            )
            row = instance.row(software, route)
            row[1] += 1
            if software == NEW:
                instance.target_running -= 1
            if lost:
                continue
            if failed:
                row[2] += 1
                if software == NEW:
                    self.count_bad(now_ms)
                continue
            if not event_ms:
                row[3][rollout_latency.bucket_of(latency)] += 1
            else:
                row = instance.row(software, route, EVENT)
                row[3][rollout_latency.bucket_of(event_ms)] += 1

    def count_bad(self, now_ms):
        self.bad += 1
        if self.bad == 50:
            self.bad_50_ms = now_ms

    def send_requests(self, instance, now_ms):
        _, phase, grants = self.order_by_ms[0]
        boot, allowance = grants.get(instance.name, ("", 0))
        if boot != instance.boot:
            allowance = 0
        for name, route in self.setup.routes.items():
            mean = route.per_s / self.setup.instances * TICK_MS / 1e3
            for _ in range(self.poisson(mean)):
                held = (
                    allowance - instance.target_sent - instance.target_running
                )
                to_new = phase is states.RolloutPhase.MOVING or (
                    phase is states.RolloutPhase.OBSERVING
                    and held >= 1 + route.stream
                    and self.rng.random() < 0.5
                )
                self.send(instance, name, route, to_new, now_ms)

    def send(self, instance, name, route, to_new, now_ms):
        software = NEW if to_new else OLD
        self.requests += 1
        fault = self.setup.fault
        latency = route.mean_ms * math.exp(self.rng.gauss(0, route.spread))
        event_ms = 40 * math.exp(self.rng.gauss(0, 0.2)) * route.stream
        failed = self.rng.random() < route.fails
        crashing = self.setup.crashes and now_ms % 6_500 < 1_200
        lost = crashing and self.rng.random() < 0.3
        if to_new:
            self.exposed += 1
            self.last_sent_ms = now_ms
            instance.target_sent += 1
            instance.target_running += 1
            if now_ms >= fault.from_ms and fault.route in (None, name):
                failed = failed or self.rng.random() < fault.fails
                lost = lost or self.rng.random() < fault.loses
                if fault.slower > 1 and self.rng.random() < fault.part:
                    latency, event_ms = (
                        latency * fault.slower,
                        event_ms * fault.slower,
                    )
                    self.count_bad(now_ms)
        lasts_ms = latency
        if route.stream:
            lasts_ms = 300.0 if failed else self.rng.uniform(3_000, 9_000)
        if lost:
            lasts_ms = min(lasts_ms, 400.0)
        instance.row(software, name)[0] += 1
        if route.stream and not failed and latency < lasts_ms:
            heapq.heappush(
                instance.first_events,
                (now_ms + latency, self.rng.random(), software, name, latency),
            )
        heapq.heappush(
            instance.running,
            (
                now_ms + lasts_ms,
                self.rng.random(),
                software,
                name,
                failed,
                lost,
                latency,
                event_ms,
            ),
        )

    def poisson(self, mean):
        limit, count, product = math.exp(-mean), 0, self.rng.random()
        while product > limit:
            count += 1
            product *= self.rng.random()
        return count
