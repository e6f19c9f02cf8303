"""A workspace far above its share must not delay the others' starts."""

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction.http import admission_gate

SLOTS = 8
ANSWER_TOKENS = 40
ANSWER_MS = 1_600
TICK_MS = 20


def _request(name):
    workspace = configuration.Workspace(name, "digest")
    return admissions.AdmissionRequest(workspace, 8, ANSWER_TOKENS, 30_000.0)


class _Dispatcher:
    waiting_continuations = 0


class _Instance:
    """An instance whose requests all run equally long."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        capacity = admissions.Capacity(
            SLOTS * ANSWER_TOKENS * 1_000.0 / ANSWER_MS, 1, 1_000
        )
        self._admission = admissions.Admission(self.clock, lambda: capacity)
        self._gate = admission_gate.AdmissionGate(
            admission_gate.GateDependencies(
                clock=self.clock,
                admission=self._admission,
                dispatcher=_Dispatcher(),
                free_slots=lambda: SLOTS - self._admission.running,
                end_generation=lambda generation: None,
                policy=admissions.AdmissionPolicy.FAIR,
            )
        )
        self._queued = []
        self._running = []

    def tick(self):
        """Let a tick pass and return the tickets that it starts."""
        self.clock.advance(TICK_MS)
        now_ms = self.clock.now_ms()
        while self._running and self._running[0][0] <= now_ms:
            self._admission.end(self._running.pop(0)[1], ANSWER_TOKENS)
        self._gate.admit_waiting()
        state_running = admissions.TicketState.RUNNING
        started = [t for t in self._queued if t.state is state_running]
        self._running += [(now_ms + ANSWER_MS, each) for each in started]
        self._queued = [
            t for t in self._queued if t.state is admissions.TicketState.QUEUED
        ]
        return started

    def queue(self, name):
        """Queue a request; return its ticket, None if it is refused."""
        result = self._admission.submit(_request(name))
        if result.is_error():
            return None
        self._queued.append(result.ok)
        return result.ok

    def fill_queue(self, name):
        """Queue requests of a workspace until one is refused."""
        while self.queue(name) is not None:
            pass


def test_others_wait_for_a_whole_answer_of_a_greedy_workspace():
    """All slots ended together: others waited for up to a whole answer."""
    instance = _Instance()
    waiting, waits_ms = [], []
    for number in range(1_500):
        instance.fill_queue("greedy")
        if number % 41 == 0:
            waiting.append(instance.queue("modest"))
        for ticket in instance.tick():
            if ticket in waiting:
                waiting.remove(ticket)
                waits_ms.append(instance.clock.now_ms() - ticket.queued_at_ms)
    assert len(waits_ms) >= 36
    waits_ms.sort()
    assert waits_ms[int(0.95 * len(waits_ms))] < ANSWER_MS / 2


def test_workspace_alone_is_held_back():
    """A slot kept free served nobody where no other workspace is active."""
    instance = _Instance()
    instance.fill_queue("alone")
    assert len(instance.tick()) == SLOTS


def test_slots_stay_idle_beside_a_workspace_that_needs_few():
    """Slots kept free for good would waste the engines' capacity."""
    instance = _Instance()
    served = 0
    for number in range(1_500):
        instance.fill_queue("greedy")
        if number % 400 == 0:
            instance.queue("modest")
        served += len(instance.tick())
    possible = 1_500 * TICK_MS / ANSWER_MS * SLOTS
    assert served >= 0.9 * possible
