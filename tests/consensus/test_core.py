"""Stateful and scripted tests of the Raft core under faults."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from oriolejunction.bench import raft
from oriolejunction.bench import raft_group
from oriolejunction.consensus import core as cores
from oriolejunction.consensus import core_state
from oriolejunction.consensus import election
from oriolejunction.consensus import log as logs
from oriolejunction.consensus import membership as memberships
from oriolejunction.consensus import types
from oriolejunction.consensus import wire

MIN_STEPS = 300_000
MIN_ELECTIONS = 150
NODES = strategies.sampled_from(raft_group.NODE_NAMES)
POSITIONS = strategies.integers(0, raft_group.MAX_MESSAGES - 1)
DURATIONS_MS = strategies.sampled_from((1.0, 20.0, 150.0, 800.0))
_totals = raft_group.RunCounts()


class GroupMachine(stateful.RuleBasedStateMachine):
    """Each rule is one action; the group checks its invariants after it."""

    @stateful.initialize(seed=strategies.integers(0, 1_000))
    def start(self, seed):
        self.group = raft_group.Group(seed)
        self.group.run(2_000.0)

    def node(self, name):
        return self.group.node_by_name[name]

    @stateful.rule(duration_ms=DURATIONS_MS)
    def advance(self, duration_ms):
        self.group.advance(duration_ms)

    @stateful.rule(
        duration_ms=strategies.sampled_from((60.0, 400.0, 2_000.0)),
        loss=strategies.sampled_from((0.0, 0.1, 0.4)),
    )
    def run_group(self, duration_ms, loss):
        self.group.run(duration_ms, loss)

    @stateful.rule(position=POSITIONS, repeat=strategies.booleans())
    def deliver(self, position, repeat):
        self.group.deliver(position, repeat)

    @stateful.rule(positions=strategies.lists(POSITIONS, max_size=20))
    def deliver_many_in_any_order(self, positions):
        for position in positions:
            self.group.deliver(position)

    @stateful.rule(positions=strategies.lists(POSITIONS, max_size=10))
    def drop_messages(self, positions):
        for position in positions:
            self.group.drop_message(position)

    @stateful.rule(name=NODES)
    def sync(self, name):
        self.group.sync(self.node(name))

    @stateful.rule(name=NODES)
    def propose(self, name):
        self.group.propose(self.node(name))

    @stateful.rule()
    def propose_everywhere(self):
        for node in self.group.nodes():
            self.group.propose(node)

    @stateful.rule(name=NODES)
    def read(self, name):
        self.group.read(self.node(name))

    @stateful.rule(duration_ms=DURATIONS_MS)
    def propose_and_read_at_leaders(self, duration_ms):
        for leader in self.group.leaders():
            self.group.propose(leader)
            self.group.read(leader)
        self.group.run(duration_ms)

    @stateful.rule(batch_survives=strategies.booleans())
    def crash_leaders(self, batch_survives):
        for leader in self.group.leaders():
            self.group.crash(leader, batch_survives)

    @stateful.rule(name=NODES, batch_survives=strategies.booleans())
    def crash(self, name, batch_survives):
        self.group.crash(self.node(name), batch_survives)

    @stateful.rule(name=NODES)
    def restart(self, name):
        self.group.restart(self.node(name))

    @stateful.rule()
    def restart_all(self):
        for node in self.group.nodes():
            self.group.restart(node)

    @stateful.rule(name=NODES)
    def pause(self, name):
        self.group.pause(self.node(name))

    @stateful.rule(name=NODES)
    def partition(self, name):
        self.group.partitioned = {name}

    @stateful.rule()
    def heal_partition(self):
        self.group.partitioned = set()

    @stateful.rule(name=NODES)
    def compact(self, name):
        self.group.compact(self.node(name))

    @stateful.rule(name=NODES, successor=NODES)
    def transfer(self, name, successor):
        self.group.transfer(self.node(name), self.node(successor))

    @stateful.rule(first=NODES, second=NODES)
    def lose_second_disk_right_after_repair(self, first, second):
        group = self.group
        group.partitioned = set()
        self.restart_all()
        group.wipe(self.node(first))
        for _ in range(100):
            group.run(100.0)
            if group.all_voters_present():
                break
        if first != second:
            group.wipe(self.node(second))

    @stateful.invariant()
    def logs_match(self):
        if hasattr(self, "group"):
            self.group.check_log_matching()

    def teardown(self):
        if not hasattr(self, "group"):
            return
        counts = self.group.counts
        _totals.steps += counts.steps
        _totals.elections += counts.elections
        _totals.commits += counts.commits
        _totals.reads += counts.reads
        _totals.wipes += counts.wipes


def test_group_guarantees_hold_under_all_faults():
    stateful.run_state_machine_as_test(
        GroupMachine,
        settings=hypothesis.settings(
            max_examples=100, stateful_step_count=60, deadline=None
        ),
    )
    print(_totals)
    assert _totals.steps >= MIN_STEPS
    assert _totals.elections >= MIN_ELECTIONS
    assert _totals.commits and _totals.reads and _totals.wipes


def test_group_commits_again_after_all_faults_end():
    group = raft_group.Group(7)
    group.run(2_000.0)
    for node in group.nodes():
        group.crash(node, False)
    group.run(1_000.0)
    for node in group.nodes():
        group.restart(node)
    group.run(4_000.0)
    leader = group.leaders()[0]
    commits = group.counts.commits
    group.propose(leader)
    group.read(leader)
    group.run(500.0)
    assert group.counts.commits > commits
    assert group.counts.reads == 1


def test_paused_voter_is_not_replaced():
    group = raft_group.Group(3)
    group.run(2_000.0)
    paused = next(n for n in group.nodes() if n not in group.leaders())
    group.pause(paused)
    group.run(30_000.0)
    group.restart(paused)
    group.run(1_000.0)
    membership = group.leaders()[0].core.state.log.membership
    assert paused.replica in membership.voter_ids()
    assert group.counts.membership_changes == 0


def test_removed_replica_is_notified_and_rejoins():
    group = raft_group.Group(5)
    group.run(2_000.0)
    leader = group.leaders()[0]
    removed = next(n for n in group.nodes() if n is not leader)
    group.pause(removed)
    others = leader.core.state.log.membership
    group.run(5_000.0)
    leader = group.leaders()[0]
    assert leader.core.propose_membership(
        memberships.without_member(others, removed.replica)
    )
    group.run(500.0)
    term = leader.core.state.term
    group.restart(removed)
    assert removed.core.state.is_voter()
    for _ in range(200):
        group.advance(20.0)
        for node in group.running():
            group.sync(node)
        for _ in range(len(group.messages)):
            group.deliver(0)
    assert removed.core.state.removed
    assert leader.core.state.term == term
    group.run(5_000.0)
    membership = group.leaders()[0].core.state.log.membership
    assert removed.replica in membership.voter_ids()


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_in_seeded_run(seed):
    group = raft_group.Group(seed)
    rng = random.Random(seed)
    for _ in range(15_000):
        raft.apply_random_action(group, rng)
    group.check_log_matching()
    assert group.counts.commits > 50


def test_entry_of_earlier_term_is_not_committed_by_majority_alone():
    members = tuple(
        types.Member(types.ReplicaId(name), name, name, name) for name in "abc"
    )
    log = logs.Log(
        types.Membership(members, voter_target=3),
        entries=(types.Entry(1, 1), types.Entry(2, 2)),
    )
    core = cores.Core(
        types.ReplicaId("a"),
        log,
        types.HardState(3, None),
        0,
        0.0,
        random.Random(1),
    )
    election.campaign(core.state)
    core.step(wire.VoteReply("b", "a", 4, True, False))
    assert core.state.is_leader()
    core.take_output()
    core.on_synced(3, 4)
    core.step(wire.AppendReply("b", "a", 4, True, 2, 1))
    assert core.state.commit == 0
    core.step(wire.AppendReply("b", "a", 4, True, 3, 1))
    assert core.state.commit == 3


def test_first_election_timeout_after_start_is_shorter():
    """After a full shutdown nobody leads; a pre-vote disturbs no leader."""
    timing = core_state.Timing(first_election_ms=300.0)
    member = types.Member(types.ReplicaId("a"), "a", "z", "a:1")
    others = [
        types.Member(types.ReplicaId(name), name, "z", f"{name}:1")
        for name in "bc"
    ]
    log = logs.Log(types.Membership((member, *others), voter_target=3))
    for seed in range(20):
        core = cores.Core(
            member.replica,
            log,
            types.HardState(3, None),
            0,
            1_000.0,
            random.Random(seed),
            timing,
        )
        assert 1_100.0 <= core.state.election_due_ms <= 1_300.0
        core.state.leader_contact_ms = 1_050.0
        election.reset_timer(core.state)
        assert core.state.election_due_ms >= 1_700.0
