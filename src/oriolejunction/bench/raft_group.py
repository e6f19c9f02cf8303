"""A Raft group on fake disks and a fake network, checked at each step."""

import dataclasses
import random

from oriolejunction.bench import raft_node
from oriolejunction.consensus import membership as memberships
from oriolejunction.consensus import repair
from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction import invariants

NODE_NAMES = ("fukuoka", "kumamoto", "kagoshima")
ROUND_MS = 20.0
MAX_MESSAGES = 400


@dataclasses.dataclass
class RunCounts:
    """Counts of what happened in a run."""

    steps: int = 0
    elections: int = 0
    commits: int = 0
    reads: int = 0
    crashes: int = 0
    wipes: int = 0
    membership_changes: int = 0


class Group:
    """Nodes, messages in flight and the entries known to be committed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.counts = RunCounts()
        self.messages: list[wire.Message] = []
        self.partitioned: set[str] = set()
        self.node_by_name = {
            name: raft_node.Node(name, random.Random(f"{seed}-{name}"))
            for name in NODE_NAMES
        }
        self._leader_by_term: dict[int, types.ReplicaId] = {}
        self._committed_by_index: dict[int, types.Entry] = {}
        self._commit_term_by_index: dict[int, int] = {}
        self._max_commit = 1
        self._last_value = 0
        self._last_read_id = 0
        self._bootstrap()

    def _bootstrap(self) -> None:
        voters = tuple(node.member for node in self.nodes())
        first = types.Entry(
            1, 1, membership=types.Membership(voters, voter_target=len(voters))
        )
        self._committed_by_index[1] = first
        self._commit_term_by_index[1] = 1
        for node in self.nodes():
            node.disk.synced += [
                types.HardState(1, None),
                types.AppendEntries((first,)),
            ]
            node.start(self.now_ms)

    def nodes(self) -> list[raft_node.Node]:
        """Return all nodes, running or not."""
        return list(self.node_by_name.values())

    def running(self) -> list[raft_node.Node]:
        """Return the nodes that run and are not paused."""
        return [node for node in self.nodes() if node.is_running]

    def leaders(self) -> list[raft_node.Node]:
        """Return the running nodes that consider themselves leader."""
        return [n for n in self.running() if n.core.state.is_leader()]

    # Actions and faults.

    def advance(self, duration_ms: float) -> None:
        """Advance the clock of all running nodes."""
        self.now_ms += duration_ms
        for node in self.running():
            node.core.tick(self.now_ms)
            self._finish_step(node)

    def deliver(self, position: int, repeat: bool = False) -> None:
        """Deliver one message in flight; with `repeat` it stays in flight.

        A message to or from a partitioned node is lost.
        """
        if not self.messages:
            return
        position %= len(self.messages)
        message = self.messages[position]
        if not repeat:
            del self.messages[position]
        node = self._node_by_replica(message.to)
        if node is None or not node.is_running:
            return
        if {node.name, message.sender.split(".")[0]} & self.partitioned:
            return
        node.core.step(message)
        self._finish_step(node)

    def drop_message(self, position: int) -> None:
        """Lose one message in flight."""
        if self.messages:
            del self.messages[position % len(self.messages)]

    def sync(self, node: raft_node.Node) -> None:
        """Complete a node's write."""
        if node.is_running:
            node.sync()
            self._finish_step(node)

    def propose(self, node: raft_node.Node) -> None:
        """Propose a new value at a node."""
        if node.is_running:
            self._last_value += 1
            node.core.propose(self._last_value.to_bytes(4, "big"))
            self._finish_step(node)

    def read(self, node: raft_node.Node) -> None:
        """Request a linearizable read at a node."""
        if node.is_running:
            self._last_read_id += 1
            node.reads[self._last_read_id] = raft_node.PendingRead(
                self._last_read_id, self._max_commit
            )
            node.core.request_read(self._last_read_id)
            self._finish_step(node)

    def crash(self, node: raft_node.Node, batch_survives: bool) -> None:
        """Crash a process; its unsynced batch may be lost."""
        if node.core is not None:
            self.counts.crashes += 1
            node.crash(batch_survives)

    def restart(self, node: raft_node.Node) -> None:
        """Start a crashed process, or resume a paused one."""
        if node.core is None:
            node.start(self.now_ms)
        node.is_paused = False

    def pause(self, node: raft_node.Node) -> None:
        """Pause a process."""
        node.is_paused = node.core is not None

    def wipe(self, node: raft_node.Node) -> None:
        """Lose a node's disk, unless a voter is already lost.

        A group survives the loss of a minority. Another disk may be lost as
        soon as the committed membership contains no lost replica.
        """
        if self.all_voters_present():
            self.counts.wipes += 1
            node.crash(False)
            node.wipe()
            node.start(self.now_ms)

    def all_voters_present(self) -> bool:
        """Return whether the committed membership has all its voters."""
        membership = max(
            (e for e in self._committed_by_index.values() if e.membership),
            key=lambda entry: entry.index,
        ).membership
        return len(membership.voters) == len(NODE_NAMES) and all(
            self._node_by_replica(replica)
            for replica in membership.voter_ids()
        )

    def transfer(self, node: raft_node.Node, target: raft_node.Node) -> None:
        """Ask a node to transfer its leadership to another."""
        if node.is_running and node is not target:
            node.core.request_transfer(target.replica)
            self._finish_step(node)

    def compact(self, node: raft_node.Node) -> None:
        """Have a node write a snapshot."""
        if node.is_running:
            node.compact()

    def repair_membership(self) -> None:
        """Let the leaders repair the membership and add missing replicas."""
        for leader in self.leaders():
            state = leader.core.state
            change = repair.next_change(state)
            for node in self.running():
                if state.log.membership.member(node.replica) is None:
                    change = change or memberships.with_learner(
                        state.log.membership, node.member
                    )
            if change is not None and leader.core.propose_membership(change):
                self.counts.membership_changes += 1
            self._finish_step(leader)

    def run(self, duration_ms: float, loss: float = 0.0) -> None:
        """Run the group for a while, losing messages at the rate `loss`."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.advance(ROUND_MS)
            for node in self.running():
                self.sync(node)
            for _ in range(len(self.messages)):
                if self.rng.random() < loss:
                    self.drop_message(0)
                self.deliver(0)
            for node in self.running():
                self.sync(node)
            self.repair_membership()

    # Checks after each step.

    def _node_by_replica(
        self, replica: types.ReplicaId
    ) -> raft_node.Node | None:
        node = self.node_by_name[replica.split(".")[0]]
        return node if node.replica == replica else None

    def _finish_step(self, node: raft_node.Node) -> None:
        self.counts.steps += 1
        self._check_leader(node)
        node.process_output()
        self.messages += node.outgoing
        node.outgoing = []
        del self.messages[:-MAX_MESSAGES]
        self._check_reads(node)
        self._check_commits(node)

    def _check_leader(self, node: raft_node.Node) -> None:
        state = node.core.state
        if not state.is_leader():
            return
        known = self._leader_by_term.get(state.term)
        if known is None:
            self.counts.elections += 1
            self._leader_by_term[state.term] = node.replica
            self._check_completeness(node)
        else:
            invariants.require(
                "one_leader_per_term",
                known == node.replica,
                term=state.term,
                leaders=(known, node.replica),
            )

    def _check_completeness(self, node: raft_node.Node) -> None:
        state = node.core.state
        for index, entry in self._committed_by_index.items():
            if self._commit_term_by_index[index] >= state.term:
                continue
            invariants.require(
                "leader_has_all_committed_entries",
                index <= state.log.base_index
                or state.log.term_at(index) == entry.term,
                term=state.term,
                index=index,
            )

    def _check_reads(self, node: raft_node.Node) -> None:
        for pending, index in node.read_results:
            if index is not None:
                self.counts.reads += 1
                invariants.require(
                    "reads_are_linearizable",
                    index >= pending.min_index,
                    floor=pending.min_index,
                    index=index,
                )
        node.read_results.clear()

    def _check_commits(self, node: raft_node.Node) -> None:
        state = node.core.state
        if node.applied < state.log.base_index <= state.commit:
            node.applied = state.log.base_index
        while node.applied < state.commit:
            node.applied += 1
            entry = state.log.entry(node.applied)
            known = self._committed_by_index.get(entry.index)
            if known is None:
                self.counts.commits += 1
                self._committed_by_index[entry.index] = entry
                self._commit_term_by_index[entry.index] = state.term
                self._max_commit = max(self._max_commit, entry.index)
            invariants.require(
                "committed_entry_never_lost",
                known is None or known == entry,
                index=entry.index,
                known=known,
                entry=entry,
            )

    def check_log_matching(self) -> None:
        """Require that logs that match at an index match before it."""
        logs = [n.core.state.log for n in self.nodes() if n.core is not None]
        for position, log in enumerate(logs):
            for other in logs[position + 1 :]:
                _check_matching(log, other)


def _check_matching(log, other) -> None:
    index = min(log.last_index, other.last_index)
    start = max(log.base_index, other.base_index)
    while index > start and log.term_at(index) != other.term_at(index):
        index -= 1
    while index > start:
        invariants.require(
            "logs_match",
            log.entry(index) == other.entry(index),
            index=index,
        )
        index -= 1
