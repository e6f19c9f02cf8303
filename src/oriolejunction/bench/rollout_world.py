"""One rollout in virtual time, for bench ``rollout``.

Entry instances choose by the real `RolloutGate` and count by it; the control
leader steps the real `RolloutLeader` over the replicated state. Requests,
servers, crashes, the list and the messages' delays are simulated.
"""

import heapq
import itertools
import random

from oriolejunction.bench import rollout_entry as entry
from oriolejunction.bench import rollout_servers as servers
from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction.controllers import rollout_counts
from oriolejunction.controllers import rollout_leader
from oriolejunction.controllers import rollout_orders
from oriolejunction.controllers import rollout_tally
from oriolejunction.http import stream_timing
from oriolejunction import ids
from oriolejunction import states

# Traffic before the order; the order comes then.
WARM_UP_MS = 3_000.0
WATCH_MS = 100.0
REPORT_MS = 100.0
STEP_MS = 200.0
MAX_START_MS = 2_000.0
# As the control replicas state it: time to notice the loss of the leader,
# validity of an order, and a margin.
LEADER_TIMEOUT_MS = 500.0
CHOICE_MARGIN_MS = 100.0
RETRY_MS = 20.0
RESUME_MS = 300.0
SUSPECT_MS = 1_000.0
MAX_TRIES = 4
LEAVES_EARLY = 0.04
BAD_ANSWERS = 50
ANSWER, EVENT = states.RolloutMeasure.ANSWER, states.RolloutMeasure.EVENT


class World:
    """Instances, servers and the control leader of one rollout."""

    def __init__(self, setup: entry.Setup) -> None:
        self.setup = setup
        self.clock = clocks.ManualClock()
        self.rng = random.Random(setup.seed)
        self.outcome = entry.Outcome()
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._boots = itertools.count()
        self._servers = servers.new_servers(setup.load, servers.OLD, 0.0)
        self._by_id = {each.backend.backend_id: each for each in self._servers}
        self._listings = [(0.0, self._listing())]
        self._state = control_state.ControlState()
        self._tally = rollout_tally.RolloutTally()
        self._leader = rollout_leader.RolloutLeader(entry.BOUNDS)
        self._ttl_ms = rollout_orders.ttl_ms(entry.BOUNDS.rollback_ms)
        self._order_ms: float | None = None
        self.instances = [
            entry.Instance(
                self.clock, self.rng, f"entry-{n}", f"b{next(self._boots)}"
            )
            for n in range(setup.load.instances)
        ]
        for instance in self.instances:
            instance.know_demand(setup.load)

    def run(self) -> entry.Outcome:
        """Run until the deadline is over and return what happened."""
        for instance in self.instances:
            self._after(self.rng.uniform(0, WATCH_MS), self._watch, instance)
            self._after(self.rng.uniform(0, REPORT_MS), self._report, instance)
        for route in self.setup.load.per_s_by_route:
            self._after(0.0, self._arrive, route)
        self._after(WARM_UP_MS, self._begin)
        if self.setup.has_crashes:
            self._after(
                self.rng.uniform(0, servers.CRASH_EVERY_MS), self._crash_zone
            )
        end_ms = WARM_UP_MS + self.setup.duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, act, args = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            act(*args)
        return self.outcome

    def _after(self, delay_ms: float, act, *args) -> None:
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._order), act, args))

    def _since_order_ms(self) -> float:
        return self.clock.now_ms() - (self._order_ms or 0.0)

    # The control replicas.

    @property
    def _rollout(self):
        return self._state.rollouts.newest_by_service.get(
            self.setup.load.service
        )

    def _begin(self) -> None:
        setup = self.setup
        self._order_ms = self.clock.now_ms()
        control_state.apply(
            self._state,
            commands.BeginRollout(
                setup.load.service, servers.NEW, setup.duration_ms, 0
            ),
        )
        self._after(
            self.rng.uniform(200.0, MAX_START_MS), self._start_new_servers
        )
        self._after(STEP_MS, self._step)
        if setup.loses_leader:
            self._after(
                self.rng.uniform(0.1, 0.8) * setup.duration_ms,
                self._lose_leader,
            )
        if setup.restarts_instances:
            for _ in range(3):
                self._after(
                    self.rng.uniform(0.1, 0.8) * setup.duration_ms,
                    self._restart_instance,
                )

    def _lose_leader(self) -> None:
        self._leader = rollout_leader.RolloutLeader(entry.BOUNDS)
        self._tally = rollout_tally.RolloutTally()

    def _step(self) -> None:
        rollout = self._rollout
        if rollout.state is not states.RolloutState.IN_PROGRESS:
            return
        key = rollout.service, rollout.number
        listing = self._listings[-1][1].values()
        target = sum(each.software == servers.NEW for each in listing)
        step = self._leader.step(
            rollout,
            rollout_leader.Observation(
                now_ms=self.clock.now_ms(),
                elapsed_ms=self._since_order_ms(),
                counts=self._tally.sums(key),
                instances=tuple(self._tally.instances(key)),
                target_servers=target,
                old_servers=len(listing) - target,
                hold_ms=LEADER_TIMEOUT_MS + self._ttl_ms + CHOICE_MARGIN_MS,
            ),
        )
        if step is not None:
            control_state.apply(self._state, step)
        state = self._rollout.state
        if state is states.RolloutState.IN_PROGRESS:
            self._after(STEP_MS, self._step)
            return
        self.outcome.state = state
        self.outcome.ended_ms = self._since_order_ms()
        if state is states.RolloutState.COMPLETED:
            self._stop_version(servers.OLD)

    # The platform.

    def _listing(self) -> dict:
        return {
            each.backend.backend_id: each.backend for each in self._servers
        }

    def _change_list(self) -> None:
        self._listings.append((self.clock.now_ms(), self._listing()))

    def _start_new_servers(self) -> None:
        new = servers.new_servers(
            self.setup.load, servers.NEW, self.clock.now_ms()
        )
        self._servers += new
        self._by_id.update({each.backend.backend_id: each for each in new})
        self._change_list()

    def _stop_version(self, software: ids.SoftwareVersion) -> None:
        stopped = [s for s in self._servers if s.backend.software == software]
        for server in stopped:
            server.is_up = False
            self.outcome.broken += len(server.running)
            self._break_all(server)
        self._servers = [s for s in self._servers if s not in stopped]
        self._change_list()

    def _crash_zone(self) -> None:
        zone = self.rng.choice(servers.ZONES)
        for server in self._servers:
            if server.backend.zone != zone or not server.is_up:
                continue
            if self.rng.random() < servers.CRASH_PART:
                server.is_up = False
                self._break_all(server)
                self._after(servers.CRASH_MS, self._restart_server, server)
        self._after(servers.CRASH_EVERY_MS, self._crash_zone)

    def _restart_server(self, server: servers.Server) -> None:
        server.is_up = server in self._servers

    def _break_all(self, server: servers.Server) -> None:
        running, server.running = server.running, {}
        for break_off in running.values():
            break_off()

    # The entry instances.

    def _watch(self, instance: entry.Instance) -> None:
        if instance.is_lost:
            return
        asked_ms = self.clock.now_ms()
        delay_ms = self.rng.uniform(5.0, WATCH_MS)
        self._after(delay_ms, self._answer_watch, instance, asked_ms)

    def _answer_watch(self, instance: entry.Instance, asked_ms: float) -> None:
        seen_ms = self.clock.now_ms() - instance.list_lag_ms
        instance.listed = next(
            (
                listing
                for at_ms, listing in reversed(self._listings)
                if at_ms <= seen_ms
            ),
            self._listings[0][1],
        )
        orders = rollout_orders.orders_for(
            self._state.rollouts, instance.name, instance.boot, self._ttl_ms
        )
        instance.gate.observe_listed(instance.listed)
        instance.gate.update(
            orders, asked_ms, True, tuple(instance.listed.values())
        )
        self._watch(instance)

    def _report(self, instance: entry.Instance) -> None:
        if instance.is_lost:
            return
        self._tally.put(instance.report(), self.clock.now_ms())
        self._after(REPORT_MS, self._report, instance)

    def _restart_instance(self) -> None:
        position = self.rng.randrange(len(self.instances))
        lost = self.instances[position]
        lost.is_lost = True
        fresh = entry.Instance(
            self.clock, self.rng, lost.name, f"b{next(self._boots)}"
        )
        self.instances[position] = fresh
        self._watch(fresh)
        self._report(fresh)

    # The callers.

    def _arrive(self, route: str) -> None:
        load = self.setup.load
        instance = self.rng.choice(self.instances)
        use = instance.gate.open(load.service, route, load.is_stream)
        self._try(instance, entry.Request(use))
        per_ms = load.per_s_by_route[route] / 1e3
        self._after(self.rng.expovariate(per_ms), self._arrive, route)

    def _try(self, instance: entry.Instance, request: entry.Request) -> None:
        if instance.is_lost or request.tries >= MAX_TRIES:
            return
        if instance.gate.is_barred(request.use):
            return
        server = self._choose(instance, request)
        if server is None:
            request.tries += 0.25
            self._after(RETRY_MS * 5, self._try, instance, request)
            return
        if not server.is_up:
            instance.suspect_until_ms[server.backend.backend_id] = (
                self.clock.now_ms() + SUSPECT_MS
            )
            self._after(RETRY_MS, self._try, instance, request)
            return
        counted = instance.gate.begin_send(
            request.use, server.backend.software
        )
        if counted is None:
            self._after(0.0, self._try, instance, request)
            return
        request.tries += 1
        self._run(instance, request, server, counted)

    def _choose(
        self, instance: entry.Instance, request: entry.Request
    ) -> servers.Server | None:
        now_ms = self.clock.now_ms()
        listed = [
            each
            for each in instance.listed.values()
            if instance.suspect_until_ms.get(each.backend_id, 0.0) <= now_ms
        ]
        for tier in instance.gate.tiers(request.use, listed):
            free = [
                server
                for each in tier
                if len((server := self._by_id[each.backend_id]).running)
                < self.setup.load.slots
            ]
            if free:
                sample = self.rng.sample(free, min(3, len(free)))
                return min(sample, key=lambda each: len(each.running))
        return None

    def _run(
        self,
        instance: entry.Instance,
        request: entry.Request,
        server: servers.Server,
        counted: rollout_counts.CountedSend,
    ) -> None:
        setup, outcome = self.setup, self.outcome
        software = server.backend.software
        sent_ms = self.clock.now_ms()
        if self._order_ms is not None:
            outcome.requests += 1
            if software == servers.NEW:
                outcome.exposed += 1
                outcome.last_target_ms = self._since_order_ms()
            withdrawn = {
                states.RolloutState.COMPLETED: servers.OLD,
                states.RolloutState.ROLLED_BACK: servers.NEW,
            }
            outcome.after_end += software == withdrawn.get(outcome.state)
        outcome.mixed += request.software not in (None, software)
        key = next(self._order)
        answer = servers.plan_answer(
            setup.load,
            server,
            request.use.route,
            setup.fault,
            sent_ms,
            self.rng,
        )

        overdue_ms = stream_timing.OVERDUE_FACTOR * servers.PREFILL_MS
        is_overdue = setup.load.is_stream and answer.first_ms > overdue_ms

        def record_first() -> None:
            if key in server.running and not answer.fails:
                self._count_bad(answer)
                if not is_overdue:
                    counted.record_latency(ANSWER, answer.first_ms)
                if setup.load.is_stream:
                    request.software = software

        def record_overdue() -> None:
            if key in server.running:
                latency_ms = overdue_ms * stream_timing.OVERDUE_COUNTS
                counted.record_latency(ANSWER, latency_ms)

        def record_gap() -> None:
            if key in server.running:
                counted.record_latency(EVENT, answer.event_ms)

        def end() -> None:
            if server.running.pop(key, None) is None:
                return
            counted.end()
            if answer.fails:
                self._count_bad(answer)
                counted.record_failure()
                self._after(RETRY_MS, self._try, instance, request)
                return
            instance.gate.close(request.use)

        def leave() -> None:
            if server.running.pop(key, None) is not None:
                counted.end()
                instance.gate.close(request.use)

        def break_off() -> None:
            counted.end()
            self._after(RESUME_MS, self._try, instance, request)

        server.running[key] = break_off
        self._after(answer.first_ms, record_first)
        if is_overdue:
            self._after(overdue_ms, record_overdue)
        self._after(answer.lasts_ms, end)
        if answer.event_ms and not answer.fails:
            counted_ms = (stream_timing.COUNTED_EVENTS - 1) * answer.event_ms
            self._after(answer.first_ms + counted_ms, record_gap)
        if self.rng.random() < LEAVES_EARLY:
            self._after(self.rng.uniform(0.1, 1.0) * answer.lasts_ms, leave)

    def _count_bad(self, answer: servers.PlannedAnswer) -> None:
        if answer.is_bad:
            self.outcome.bad += 1
            if self.outcome.bad == BAD_ANSWERS:
                self.outcome.bad_50_ms = self._since_order_ms()
