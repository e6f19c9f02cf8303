"""Which commands the members of the control group can apply.

During an update, replicas of two builds belong to one group. One that gets a
command which it can't decode stops, so that a leader of the newer build asks
all members before it proposes one that the older build does not know.
"""

import asyncio
import collections.abc

import grpc
import structlog

from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.peers import raft_methods
from oriolejunction.peers import rpc

# A member answers within some ms; an order is tried again for longer.
CALL_TIMEOUT_S = 0.3
_log = structlog.get_logger(__name__)


class MemberProtocols:
    """The protocols that the members stated, by replica."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler],
    ) -> None:
        self._replica = replica
        self._stub_for = stub_for
        self._protocol_by_replica: dict[types.ReplicaId, int] = {}

    async def can_apply(self, protocol: int) -> bool:
        """Return whether all members can apply commands of a protocol.

        A member that does not answer counts with its last answer to this
        replica; without any it can't.
        """
        members = self._replica.membership.members()
        await asyncio.gather(*map(self._ask, members))
        lacking = [
            member.instance
            for member in members
            if self._protocol_by_replica.get(member.replica, 0) < protocol
        ]
        if lacking:
            _log.warning(
                "members of an earlier build",
                instances=lacking,
                protocol=protocol,
            )
        return not lacking

    async def _ask(self, member: types.Member) -> None:
        call = self._stub_for(member.address, raft_methods.HELLO)
        try:
            found = await call(raft_messages.Hello(), timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            return
        self._protocol_by_replica[found.member.replica] = found.protocol
