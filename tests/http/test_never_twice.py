"""Retries, crashes and lost commits never run a call twice.

A state machine delays, loses and repeats proposals and dispatches.
"""

import asyncio
import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.controllers import control_state
from oriolejunction import errors
from oriolejunction.http import call_messages
from oriolejunction.http import never_twice_calls
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

INSTANCES = 3
START_MS = 500_000 * 3_600_000
KEYS = ("h500000-0123456789abcdef", "plain-1", "plain-2")
SERVICE = configuration.Service(
    ids.ServiceName("s"),
    ("http://10.0.0.1:1",),
    (configuration.CallPattern("POST", "/orders"),),
    lookup_path="/orders/{key}",
)
WORKSPACE = ids.WorkspaceId("w")


@dataclasses.dataclass
class CallerRequest:
    """One request of a caller; `number` is its position in the event order."""

    number: int
    key: str
    body: bytes
    void: bool
    task: asyncio.Task
    outcome: states.Outcome | None = None
    code: str = ""


@dataclasses.dataclass
class InFlight:
    """A proposal or a dispatch in flight; a rule answers it."""

    item: object
    future: asyncio.Future
    number: int


class NeverTwiceMachine(stateful.RuleBasedStateMachine):
    """Instances, the control state and a service, driven by rules."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clocks.ManualClock(START_MS)
        self.state = control_state.ControlState()
        self.proposals: list[InFlight] = []
        self.late_commands: list[commands.Command] = []
        self.dispatches: list[InFlight] = []
        self.lost_dispatches: list[InFlight] = []
        self.runs: dict[str, list[InFlight]] = collections.defaultdict(list)
        self.requests: list[CallerRequest] = []
        self.sequence = 0
        self.instances = [self._new_instance(i) for i in range(INSTANCES)]

    def _new_instance(self, number):
        return never_twice_calls.NeverTwiceCalls(
            ids.InstanceId(f"i-{number}"),
            self.clock,
            self._send,
            self._propose,
        )

    def _next_number(self):
        self.sequence += 1
        return self.sequence

    async def _propose(self, command):
        in_flight = InFlight(
            command, self.loop.create_future(), self._next_number()
        )
        self.proposals.append(in_flight)
        try:
            return await in_flight.future
        except asyncio.CancelledError:
            self.late_commands.append(command)
            raise
        finally:
            if in_flight in self.proposals:
                self.proposals.remove(in_flight)

    async def _send(self, service, call):
        if call.method == "GET":
            key = call.path.rpartition("/")[2]
            status = 200 if self.runs[key] else 404
            return commands.StoredAnswer(status, "text/plain", b"found")
        in_flight = InFlight(
            call, self.loop.create_future(), self._next_number()
        )
        self.dispatches.append(in_flight)
        try:
            return await in_flight.future
        finally:
            if in_flight in self.dispatches:
                self.dispatches.remove(in_flight)
                self.lost_dispatches.append(in_flight)

    def _settle(self):
        async def run_callbacks():
            for _ in range(12):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_callbacks())
        for request in self.requests:
            self._record_result(request)

    def _record_result(self, request):
        if request.code or not request.task.done():
            return
        if request.task.cancelled():
            request.code = "cancelled"
            return
        error = request.task.exception()
        if error is None:
            request.code = "answered"
            assert self.runs[request.key]
            return
        assert isinstance(error, errors.Failure), error
        request.code = error.error.code
        request.outcome = error.error.outcome

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        body=strategies.sampled_from((b"a", b"a", b"b")),
        instance=strategies.integers(0, INSTANCES - 1),
        void=strategies.sampled_from((False, False, False, True)),
    )
    def send(self, key, body, instance, void):
        call = call_messages.ServiceCall(
            "POST", "/orders", "/orders", "text/plain", key, body, void
        )
        calls = self.instances[instance]
        coroutine = (calls.void if void else calls.run)(
            SERVICE, WORKSPACE, call
        )
        self.requests.append(
            CallerRequest(
                self._next_number(),
                key,
                body,
                void,
                self.loop.create_task(coroutine),
            )
        )
        self._settle()

    @stateful.precondition(lambda self: self.proposals)
    @stateful.rule(
        data=strategies.data(),
        fate=strategies.sampled_from(
            ("commit", "commit", "commit", "lose_reply", "drop", "late")
        ),
    )
    def answer_proposal(self, data, fate):
        in_flight = data.draw(strategies.sampled_from(self.proposals))
        self.proposals.remove(in_flight)
        result = None
        if fate in ("commit", "lose_reply"):
            result = control_state.apply(self.state, in_flight.item)
        if fate == "late":
            self.late_commands.append(in_flight.item)
        if fate == "commit":
            in_flight.future.set_result(result)
        else:
            in_flight.future.set_exception(
                errors.Failure(errors.ControlUnavailable("disconnected"))
            )
        self._settle()

    @stateful.precondition(lambda self: self.late_commands)
    @stateful.rule(data=strategies.data(), again=strategies.booleans())
    def commit_late(self, data, again):
        command = data.draw(strategies.sampled_from(self.late_commands))
        if not again:
            self.late_commands.remove(command)
        control_state.apply(self.state, command)

    @stateful.precondition(lambda self: self.dispatches)
    @stateful.rule(
        data=strategies.data(),
        fate=strategies.sampled_from(
            ("run", "run", "run_lose_answer", "lose", "not_connected")
        ),
    )
    def answer_dispatch(self, data, fate):
        in_flight = data.draw(strategies.sampled_from(self.dispatches))
        self.dispatches.remove(in_flight)
        if fate in ("run", "run_lose_answer"):
            self.runs[in_flight.item.key].append(in_flight)
        answer = commands.StoredAnswer(200, "text/plain", in_flight.item.body)
        match fate:
            case "run":
                in_flight.future.set_result(answer)
            case "not_connected":
                in_flight.future.set_exception(
                    errors.Failure(errors.NoEngine("refused"))
                )
            case _:
                in_flight.future.set_exception(
                    errors.Failure(errors.ServiceFailed("reset"))
                )
        self._settle()

    @stateful.precondition(lambda self: self.lost_dispatches)
    @stateful.rule(data=strategies.data())
    def run_lost_dispatch(self, data):
        in_flight = data.draw(strategies.sampled_from(self.lost_dispatches))
        self.lost_dispatches.remove(in_flight)
        self.runs[in_flight.item.key].append(in_flight)

    @stateful.rule(instance=strategies.integers(0, INSTANCES - 1))
    def crash(self, instance):
        self.loop.run_until_complete(self.instances[instance].close())
        self.instances[instance] = self._new_instance(instance)
        self._settle()

    @stateful.rule(
        hours=strategies.sampled_from((0, 0, 0, 1, 13, 26)),
        duration_ms=strategies.sampled_from((500, 1_000, 4_000, 70_000)),
    )
    def advance(self, hours, duration_ms):
        self.clock.advance(hours * 3_600_000 + duration_ms)
        self._settle()

    @stateful.rule()
    def restart_replica(self):
        data = control_state.dump(self.state)
        self.state = control_state.load(data)

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(len(runs) <= 1 for runs in self.runs.values())

    @stateful.invariant()
    def not_run_is_true(self):
        for request in self.requests:
            if request.outcome is not states.Outcome.NOT_RUN:
                continue
            for run in self.runs[request.key]:
                same_request = run.item.body == request.body or request.void
                voided = request.code == errors.KeyVoided.code
                assert not (same_request and voided)
                assert not (same_request and run.number < request.number)

    def teardown(self):
        for instance in self.instances:
            self.loop.run_until_complete(instance.close())
        for request in self.requests:
            request.task.cancel()
        self._settle()
        self.loop.close()
        assert invariants.violations_by_name == {}


NeverTwiceMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50
)
TestNeverTwice = NeverTwiceMachine.TestCase
