"""Where requests may go during a rollout, as one instance decides it."""

import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import rollout_gate
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import states

LLM = ids.ServiceName("llm")
OLD, NEW, OTHER = map(ids.SoftwareVersion, ("v1", "v2", "v3"))
PHASE = states.RolloutPhase
TTL_MS = 1_000.0


def servers(*versions, first=0):
    """Return a server of each version."""
    return [
        backends.Backend(
            ids.BackendId(f"{each}-{index}"),
            LLM,
            f"10.0.0.{index}:80",
            ids.ZoneId("z0"),
            software=each,
        )
        for index, each in enumerate(versions, start=first)
    ]


def order(phase=PHASE.OBSERVING, allowance=0, number=1, target=NEW):
    """Return an order as a control replica relays it."""
    state = states.RolloutState.IN_PROGRESS
    return fm.RolloutOrder(
        LLM, number, target, state, phase, allowance, TTL_MS
    )


class Instance:
    """A gate and what it was told."""

    def __init__(self, *versions, share=0.1):
        self.clock = clocks.ManualClock(1_000.0)
        self.gate = rollout_gate.RolloutGate(self.clock, share)
        self.list(*versions)
        self.hear()

    def list(self, *versions):
        """Put servers of these versions on the list."""
        self.servers = servers(*versions)
        self.gate.observe_listed({s.backend_id: s for s in self.servers})

    def hear(self, *orders, current=True, asked_ms_ago=0.0):
        """Receive a watch reply."""
        sent_ms = self.clock.now_ms() - asked_ms_ago
        self.gate.update(orders, sent_ms, current)

    def open(self, begun_at=None, route="chat", is_stream=False, **kwargs):
        """Return a request; `begun_at` is the version of its stream."""
        use = self.gate.open(LLM, route, is_stream, **kwargs)
        use.begun_at = lambda: begun_at
        return use

    def versions(self, use=None, **kwargs):
        """Return the versions that a request may go to, by preference."""
        tiers = self.gate.tiers(use or self.open(**kwargs), self.servers)
        return [{each.software for each in tier} for tier in tiers if tier]

    def send(self, use=None, to=NEW, **kwargs):
        """Return whether a request may be sent."""
        return self.gate.begin_send(use or self.open(**kwargs), to) is not None


def test_nothing_reaches_the_target_without_a_valid_allowance():
    """Fails if an instance that hears nothing goes on with its allowance."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=5))
    assert instance.send()
    instance.clock.advance(TTL_MS)
    assert instance.versions() == [{OLD}]
    assert not instance.send()


def test_the_allowance_is_a_total_since_the_order():
    """Fails if a repeated grant adds to what was used already."""
    instance = Instance(OLD, NEW)
    for _ in range(3):
        instance.hear(order(allowance=2))
    assert [instance.send() for _ in range(3)] == [True, True, False]


def test_an_allowance_is_valid_from_when_it_was_asked_for():
    """Fails if a reply that was under way for long extends the allowance."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=5), asked_ms_ago=TTL_MS)
    assert not instance.send()


def test_a_frozen_instance_sends_nothing_on_an_allowance_chosen_before():
    """Fails if the allowance is checked at the choice only."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=5))
    use = instance.open()
    assert instance.versions(use)[0] == {NEW}
    instance.clock.advance(30_000.0)
    assert not instance.send(use)


@pytest.mark.parametrize("phase", [PHASE.OBSERVING, PHASE.MOVING])
def test_a_woken_instance_waits_for_news_before_it_uses_old_servers(phase):
    """Fails if requests go to servers that were withdrawn in its pause."""
    instance = Instance(OLD, NEW)
    instance.hear(order(phase))
    stream = instance.open(begun_at=OLD)
    instance.clock.advance(30_000.0)
    assert instance.versions() == []
    assert not instance.send(stream, to=OLD)
    instance.clock.advance(rollout_gate.WAKE_HOLD_MS)
    assert instance.send(stream, to=OLD)
    instance.hear(order(PHASE.DONE))
    assert instance.versions() == [{NEW}]
    assert not instance.send(stream, to=OLD)


def test_moved_work_stops_without_word_of_the_control_replicas():
    """Fails if a cut-off instance goes on at a target taken back."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.MOVING))
    assert instance.send()
    instance.clock.advance(TTL_MS)
    assert instance.versions() == []
    assert not instance.send()
    instance.hear(order(PHASE.MOVING))
    assert instance.send()


def test_a_stream_begun_at_the_target_holds_a_send_in_reserve():
    """Fails if a broken canary stream has no send left to go on with."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=3))
    stream = instance.open(is_stream=True)
    assert instance.send(stream)
    assert instance.send()
    assert not instance.send()
    instance.clock.advance(TTL_MS)
    stream.begun_at = lambda: NEW
    assert instance.versions(stream) == [{NEW}]
    assert instance.send(stream)
    assert not instance.send(stream)


def test_a_stream_that_ends_gives_its_reserve_back():
    """Fails if the allowance is lost to streams that were never broken."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=2))
    stream = instance.open(is_stream=True)
    assert instance.send(stream)
    assert not instance.send()
    instance.gate.close(stream)
    assert instance.send()


@pytest.mark.parametrize(
    ("phase", "new_work", "begun_old", "begun_new"),
    [
        (PHASE.OBSERVING, [{OLD}], [{OLD}], []),
        (PHASE.MOVING, [{NEW}], [{OLD}], [{NEW}]),
        (PHASE.DONE, [{NEW}], [], [{NEW}]),
        (PHASE.REVERTED, [{OLD}], [{OLD}], []),
    ],
)
def test_versions_by_phase(phase, new_work, begun_old, begun_new):
    """Fails if work goes to a version that its phase does not allow."""
    instance = Instance(OLD, NEW)
    instance.hear(order(phase))
    assert instance.versions() == new_work
    assert instance.versions(begun_at=OLD) == begun_old
    assert instance.versions(begun_at=NEW) == begun_new
    assert instance.send(to=OLD) == ({OLD} in new_work)
    assert instance.send(to=NEW) == ({NEW} in new_work)


@pytest.mark.parametrize(
    "late",
    [
        order(PHASE.OBSERVING, allowance=9, number=2),
        order(PHASE.MOVING, number=2),
        order(PHASE.REVERTED, number=2),
        order(PHASE.MOVING, number=1, target=OLD),
    ],
)
def test_a_lagging_replica_takes_nothing_back(late):
    """Fails if an instance that moves to another replica goes back."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.DONE, number=2))
    instance.hear(late)
    assert instance.versions() == [{NEW}]


def test_a_replica_out_of_touch_renews_nothing():
    """Fails if an order taken back by the leader stays in use."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.OBSERVING, allowance=9), current=False)
    assert not instance.send()
    instance.hear(order(PHASE.MOVING))
    instance.clock.advance(TTL_MS)
    instance.hear(order(PHASE.MOVING), current=False)
    assert not instance.send()
    instance.hear(order(PHASE.REVERTED), current=False)
    assert instance.versions() == [{OLD}]


def test_a_version_waits_until_orders_are_heard():
    """Fails if the target gets requests before its order is known."""
    instance = Instance(OLD)
    instance.list(OLD, NEW)
    assert instance.versions() == [{OLD}]
    assert not instance.send()
    instance.hear(current=False)
    assert instance.versions() == [{OLD}]
    instance.clock.advance(1.0)
    instance.hear(asked_ms_ago=2.0)
    assert instance.versions() == [{OLD}]
    instance.hear()
    assert instance.versions() == [{OLD, NEW}]


def test_a_restarted_instance_uses_the_only_version_before_any_order():
    """Fails if instances beside older control replicas serve nothing."""
    instance = Instance(OLD)
    restarted = rollout_gate.RolloutGate(instance.clock, 0.1)
    instance.gate = restarted
    instance.list(OLD)
    assert instance.versions() == [{OLD}]
    instance.list(OLD, NEW)
    assert instance.versions() == []


def test_a_completed_rollout_leaves_out_old_servers_in_the_next_one():
    """Fails if a lagging list brings the withdrawn version back to use."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.DONE))
    instance.list(OLD, NEW, OTHER)
    instance.hear(order(number=2, target=OTHER))
    assert instance.versions() == [{NEW}]


def test_a_later_release_replaces_a_completed_target():
    """Fails if a service is down after a release without a rollout."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.DONE))
    instance.list(NEW, OTHER)
    instance.clock.advance(1.0)
    instance.hear(order(PHASE.DONE))
    assert instance.versions() == [{NEW, OTHER}]


def test_a_broken_stream_of_a_withdrawn_version_is_barred():
    """Fails if such a stream waits for an engine in vain."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.MOVING))
    stream = instance.open(begun_at=OLD, is_stream=True)
    assert not instance.gate.is_barred(stream)
    instance.hear(order(PHASE.DONE))
    assert instance.gate.is_barred(stream)
    assert not instance.gate.is_barred(instance.open())


def test_resends_and_probes_leave_the_allowance_to_first_attempts():
    """Fails if hedged calls and probes use the allowance up."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=9))
    call = instance.open()
    assert instance.versions(call) == [{NEW}, {NEW}, {OLD}]
    assert instance.send(call)
    assert instance.versions(call) == [{OLD}]
    assert instance.versions(may_try=False) == [{OLD}]


def test_without_old_servers_the_allowance_still_bounds():
    """Fails if the loss of the old servers lifts the bound."""
    instance = Instance(NEW, NEW)
    instance.hear(order(allowance=1))
    assert instance.versions(may_try=False) == [{NEW}]
    assert instance.send()
    assert instance.versions(may_try=False) == []


def test_each_route_gets_its_turn():
    """Fails if a route that is asked for often gets all canary sends."""
    instance = Instance(OLD, NEW)
    instance.hear(order(allowance=20))
    sends = {"chat": 0, "rare": 0}
    for number in range(200):
        route = "rare" if number % 10 == 0 else "chat"
        use = instance.open(route=route)
        to = NEW if {NEW} == instance.versions(use)[0] else OLD
        if instance.send(use, to=to) and to == NEW:
            sends[route] += 1
    assert sum(sends.values()) == 20
    # By demand alone it would be two.
    assert sends["rare"] >= 4


def test_instances_agree_on_few_canary_servers():
    """Fails if the target's servers see less load than after the rollout."""
    versions = [OLD] * 40 + [NEW] * 40
    chosen = set()
    for _ in range(20):
        instance = Instance(*versions)
        instance.hear(order(allowance=1))
        first = instance.gate.tiers(instance.open(), instance.servers)[0]
        chosen.update(each.backend_id for each in first)
    assert len(chosen) == 2


def test_counts_are_cumulative_and_tell_what_runs():
    """Fails if the leader cannot see work on old servers."""
    instance = Instance(OLD, NEW)
    before = instance.gate.begin_send(instance.open(), OLD)
    instance.hear(order(PHASE.OBSERVING, allowance=5))
    failed = instance.gate.begin_send(instance.open(), NEW)
    failed.record_failure()
    failed.record_latency(states.RolloutMeasure.ANSWER, 3.0)
    failed.end()
    failed.end()
    by_software = {
        each.software: each for each in instance.gate.counts.messages()
    }
    assert by_software[OLD].sent - by_software[OLD].ended == 1
    row = by_software[NEW]
    assert (row.sent, row.ended, row.failed) == (1, 1, 1)
    assert sum(row.latencies) == 1
    before.end()
    assert {
        each.sent - each.ended for each in instance.gate.counts.messages()
    } == {0}


def test_thousands_of_routes_keep_reports_small():
    """Fails if a report grows with the routes of the configuration."""
    instance = Instance(OLD, NEW)
    instance.hear(order(PHASE.MOVING))
    for number in range(3_000):
        instance.send(route=f"route-{number}")
    rows = instance.gate.counts.messages()
    assert len(rows) == 17
    assert sum(each.sent for each in rows) == 3_000
