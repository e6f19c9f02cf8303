"""What all processes of a deployment know, of which some may be older.

During an update, replicas of two builds belong to one group. One that gets a
command which it can't decode stops, so that a leader of the newer build asks
all members before it proposes one that the older build does not know. Entry
instances tell in their reports what they know.
"""

import asyncio
import collections.abc

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.controllers import fleet_hub
from oriolejunction.peers import raft_methods
from oriolejunction.peers import rpc

# Members are asked in advance, so that one that is cut off when a command is
# due has answered before.
REFRESH_INTERVAL_MS = 5_000.0
# A member answers within some ms; an order is tried again for longer.
CALL_TIMEOUT_S = 0.3
_log = structlog.get_logger(__name__)


class FleetProtocols:
    """The protocols that the replicas and entry instances stated."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler],
        hub: fleet_hub.FleetHub,
        clock: clocks.Clock,
    ) -> None:
        self._hub = hub
        self._clock = clock
        self._replica = replica
        self._stub_for = stub_for
        self._protocol_by_replica: dict[types.ReplicaId, int] = {}

    async def is_known_to_all(self, protocol: int) -> bool:
        """Return whether all members and entry instances know a protocol.

        A member that does not answer counts with its last answer to this
        replica; without any it does not know it.
        """
        members = await self._ask_all()
        lacking: list[str] = [
            member.instance
            for member in members
            if self._protocol_by_replica.get(member.replica, 0) < protocol
        ]
        lacking += self._hub.instances_before(protocol)
        if lacking:
            _log.warning(
                "instances of an earlier build",
                instances=lacking,
                protocol=protocol,
            )
        return not lacking

    async def run(self) -> None:
        """Ask the members now and then, until cancelled."""
        while True:
            await self._ask_all()
            await self._clock.sleep_ms(REFRESH_INTERVAL_MS)

    async def _ask_all(self) -> tuple[types.Member, ...]:
        members = self._replica.membership.members()
        await asyncio.gather(*map(self._ask, members))
        for replica in {*self._protocol_by_replica} - {
            member.replica for member in members
        }:
            del self._protocol_by_replica[replica]
        return members

    async def _ask(self, member: types.Member) -> None:
        call = self._stub_for(member.address, raft_methods.HELLO)
        try:
            found = await call(raft_messages.Hello(), timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            return
        self._protocol_by_replica[found.member.replica] = found.protocol
