"""Membership of a control group, as one replica sees and changes it."""

import collections.abc

import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import core as cores
from oriolejunction.consensus import membership as memberships
from oriolejunction.consensus import repair
from oriolejunction.consensus import replica as replicas
from oriolejunction.consensus import storage as storages
from oriolejunction.consensus import types
from oriolejunction import ids
from oriolejunction import messages

TRANSFER_POLL_MS = 20
TRANSFER_TIMEOUT_MS = 2_000
# A replica that leaves asks again more often than this.
LEAVING_KEPT_MS = 2_000.0
_log = structlog.get_logger(__name__)


class GroupChanges:
    """Members, learners, repair and transfer of leadership.

    `core` returns the replica's core, None while it has none; `wake` makes
    the replica write and send what was proposed.
    """

    def __init__(
        self,
        core: collections.abc.Callable[[], cores.Core | None],
        wake: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._core = core
        self._wake = wake
        self._clock = clock
        # Replicas whose processes are about to stop, as the leader knows.
        self._leaving_until_ms: dict[types.ReplicaId, float] = {}

    @property
    def membership(self) -> types.Membership:
        """Return the latest membership known here."""
        core = self._core()
        if core is None:
            return storages.EMPTY_MEMBERSHIP
        return core.state.log.membership

    def leader_address(self) -> str | None:
        """Return the leader's address, None while it is unknown."""
        core = self._core()
        if core is None or core.state.leader is None:
            return None
        member = self.membership.member(core.state.leader)
        return member.address if member else None

    def members(self) -> tuple[messages.ReplicaStatus, ...]:
        """Return the replicas of the group as known here."""
        latest = self.membership
        return tuple(
            messages.ReplicaStatus(
                instance=ids.InstanceId(member.instance),
                zone=ids.ZoneId(member.zone),
                replica=member.replica,
                votes=member in latest.voters,
            )
            for member in latest.members()
        )

    def initial_membership(self) -> types.Membership | None:
        """Return the initial membership, None once it was compacted."""
        core = self._core()
        if core is None or core.state.log.base_index > 0:
            return None
        log = core.state.log
        return log.entry(1).membership if log.last_index else None

    def has_committed_nothing(self) -> bool:
        """Return whether the log has at most the entry that forms a group."""
        core = self._core()
        if core is None:
            return False
        return core.state.commit == 0 and core.state.log.last_index <= 1

    def needs_rejoin(self, silence_ms: float) -> bool:
        """Return whether the replica should ask to be added as a learner.

        It should while no leader contacts it, and it has no vote or its group
        has committed nothing: another group may have been formed.
        """
        core = self._core()
        if core is None:
            return True
        state = core.state
        has_vote = state.is_voter() and not state.removed
        if has_vote and not self.has_committed_nothing():
            return False
        return self._clock.now_ms() - state.leader_contact_ms > silence_ms

    def add_learner(self, member: types.Member) -> bool:
        """As the leader, add a learner; return whether it is committed."""
        core = self._leader_core()
        if core is None:
            raise replicas.NotLeader(self.leader_address())
        state = core.state
        _, committed = state.log.membership_at(state.commit)
        if committed.member(member.replica) is not None:
            return True
        latest = state.log.membership
        known = latest.member(member.replica) is not None
        if not known and len(latest.learners) < repair.MAX_LEARNERS:
            core.propose_membership(memberships.with_learner(latest, member))
            self._wake()
        return False

    def repair(self) -> None:
        """As the leader, propose the membership change that is due."""
        core = self._leader_core()
        if core is None:
            return
        change = repair.next_change(core.state, self._leaving())
        if change is not None and core.propose_membership(change):
            _log.warning(
                "membership changes",
                voters=[member.instance for member in change.voters],
                learners=[member.instance for member in change.learners],
            )
            self._wake()

    def release(self, replica: types.ReplicaId) -> bool:
        """As the leader, replace a voter whose process is about to stop.

        Return whether that is committed, or there is no learner to replace
        it with: then it keeps its vote, which it needs after a restart.
        """
        core = self._leader_core()
        if core is None:
            raise replicas.NotLeader(self.leader_address())
        state = core.state
        _, committed = state.log.membership_at(state.commit)
        if replica not in committed.voter_ids():
            return True
        now_ms = self._clock.now_ms()
        self._leaving_until_ms[replica] = now_ms + LEAVING_KEPT_MS
        latest = state.log.membership
        has_successor = len(latest.voters) > latest.voter_target or any(
            learner.replica not in self._leaving()
            for learner in latest.learners
        )
        if replica in latest.voter_ids() and not has_successor:
            return True
        self.repair()
        return False

    def _leaving(self) -> frozenset[types.ReplicaId]:
        now_ms = self._clock.now_ms()
        self._leaving_until_ms = {
            replica: until_ms
            for replica, until_ms in self._leaving_until_ms.items()
            if until_ms > now_ms
        }
        return frozenset(self._leaving_until_ms)

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the most caught-up voter."""
        deadline_ms = self._clock.now_ms() + TRANSFER_TIMEOUT_MS
        while (core := self._leader_core()) is not None:
            target = _best_follower(core)
            if target is None or self._clock.now_ms() > deadline_ms:
                return
            if core.state.transfer_to is None:
                core.request_transfer(target)
                self._wake()
            await self._clock.sleep_ms(TRANSFER_POLL_MS)

    def _leader_core(self) -> cores.Core | None:
        core = self._core()
        if core is None or not core.state.is_leader():
            return None
        return core


def _best_follower(core: cores.Core) -> types.ReplicaId | None:
    state = core.state
    others = state.log.membership.voter_ids() - {state.self_id}
    return max(
        sorted(others),
        key=lambda replica: state.progress_by_id[replica].match,
        default=None,
    )
