"""The Rollouts gRPC service of a control replica, for operators.

Any control replica takes an order or a read and forwards it to the leader.
Both can be repeated, so they are tried again for a while when the leader
changes; an operator has only some seconds to get an order acknowledged.
"""

import asyncio
import collections.abc
import dataclasses

import grpc
import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import rollout_book
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc
from oriolejunction import rollout_messages as rm
from oriolejunction import routing_table

# Half of the shortest time in which an order must be acknowledged (4 s), so
# that an operator's second attempt at another replica can still succeed.
ANSWER_WITHIN_MS = 2_000.0
# A commit or a read barrier takes some 10 ms while the group has a leader.
ATTEMPT_TIMEOUT_S = 0.9
RETRY_DELAY_MS = 100.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class RolloutDependencies:
    """Dependencies of the service; `progress` is known on the leader.

    `is_known_to_all` returns whether all members of the group and all entry
    instances know a protocol.
    """

    replica: raft_replica.RaftReplica
    clock: clocks.Clock
    read_table: collections.abc.Callable[[bytes], routing_table.RoutingTable]
    stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler]
    progress: collections.abc.Callable[
        [rollout_book.Rollout], rm.Progress | None
    ]
    is_known_to_all: collections.abc.Callable[
        [int], collections.abc.Awaitable[bool]
    ]


class RolloutService:
    """Takes orders and answers reads of rollouts."""

    def __init__(self, deps: RolloutDependencies) -> None:
        self._deps = deps
        self._services_version = routing_table.NO_TABLE
        self._services: frozenset[ids.ServiceName] = frozenset()

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                fleet_methods.ROLLOUT_BEGIN: self._serve_begin,
                fleet_methods.ROLLOUT_READ: self._serve_read,
            },
        )

    async def _serve_begin(self, request: rm.BeginRequest) -> rm.BeginReply:
        if not request.forwarded:
            return await self.begin(request)
        return await self._begin_here(request) or rm.BeginReply()

    async def _serve_read(self, request: rm.ReadRequest) -> rm.ReadReply:
        if not request.forwarded:
            return await self.read(request)
        return await self._read_here(request) or rm.ReadReply(confirmed=False)

    async def begin(self, request: rm.BeginRequest) -> rm.BeginReply:
        """Commit an order here or at the leader.

        A copy of an order is acknowledged again.
        """
        return await self._try_until_final(
            request,
            self._begin_here,
            fleet_methods.ROLLOUT_BEGIN,
            rm.BeginReply(),
            lambda reply: reply.is_final,
        )

    async def read(self, request: rm.ReadRequest) -> rm.ReadReply:
        """Return the newest rollout, confirmed by a majority."""
        return await self._try_until_final(
            request,
            self._read_here,
            fleet_methods.ROLLOUT_READ,
            rm.ReadReply(confirmed=False),
            lambda reply: reply.confirmed,
        )

    async def _try_until_final(
        self, request, serve_here, method, unconfirmed, is_final
    ):
        """Serve a request here or at the leader, until one confirms it."""
        clock = self._deps.clock
        give_up_ms = clock.now_ms() + ANSWER_WITHIN_MS
        while True:
            reply = await serve_here(request)
            leader = self._deps.replica.leader_address()
            own = self._deps.replica.member.address
            if reply is None and leader not in (None, own):
                reply = await self._call_leader(leader, method, request)
            if reply is not None and is_final(reply):
                return reply
            if clock.now_ms() + RETRY_DELAY_MS >= give_up_ms:
                _log.warning(
                    "rollout call not confirmed",
                    method=method.name,
                    service=request.service,
                    leader=leader,
                )
                return unconfirmed
            await clock.sleep_ms(RETRY_DELAY_MS)

    async def _call_leader(self, address, method, request):
        call = self._deps.stub_for(address, method)
        request = msgspec.structs.replace(request, forwarded=True)
        try:
            return await call(request, timeout=ATTEMPT_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            _log.warning(
                "control leader did not answer",
                method=method.name,
                address=address,
                code=error.code().name,
            )
            return None

    async def _confirm(self) -> bool:
        """Return whether the state here is at least as new as this call."""
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await self._deps.replica.read_barrier()
        except (TimeoutError, replicas.NotLeader):
            return False
        return True

    async def _begin_here(
        self, request: rm.BeginRequest
    ) -> rm.BeginReply | None:
        """Commit an order if this replica leads, else return None."""
        replica = self._deps.replica
        if replica.leader_term is None or not await self._confirm():
            return None
        command = commands.BeginRollout(
            request.service,
            request.target,
            request.duration_ms,
            self._deps.clock.wall_ms(),
        )
        # The table may have dropped the service since the order.
        if not rollout_book.is_copy(replica.state.rollouts, command):
            if request.service not in self._known_services():
                return rm.BeginReply(unknown_service=True)
            if not await self._deps.is_known_to_all(commands.ROLLOUT_PROTOCOL):
                return None
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                result = await replica.propose(command)
        except (
            TimeoutError,
            replicas.OutcomeUnknown,
            replicas.NotLeader,
        ) as error:
            _log.warning("rollout order not confirmed", why=repr(error))
            return None
        if isinstance(result, commands.RolloutRefused):
            _log.info(
                "rollout refused",
                service=request.service,
                target=request.target,
                why=result.message,
            )
            return rm.BeginReply(refusal=result.message)
        _log.info(
            "rollout ordered",
            service=request.service,
            number=result.number,
            target=request.target,
            duration_ms=round(request.duration_ms),
            at_ms=command.at_ms,
        )
        return rm.BeginReply(result.number)

    def _known_services(self) -> frozenset[ids.ServiceName]:
        """Return the services of the table in force."""
        published = self._deps.replica.state.table
        if published.version != self._services_version:
            try:
                table = self._deps.read_table(published.document)
            except errors.Failure as failure:
                _log.error("table not understood", why=failure.error.message)
                return frozenset()
            self._services = frozenset(table.service_by_name)
            self._services_version = published.version
        return self._services

    async def _read_here(self, request: rm.ReadRequest) -> rm.ReadReply | None:
        """Return the newest rollout if this replica leads, else None."""
        replica = self._deps.replica
        if replica.leader_term is None or not await self._confirm():
            return None
        book = replica.state.rollouts
        rollout = book.newest_by_service.get(request.service)
        if rollout is None:
            return rm.ReadReply(confirmed=True)
        return rm.ReadReply(
            confirmed=True,
            rollout=rm.RolloutStatus(
                rollout.service,
                rollout.number,
                rollout.target,
                rollout.state,
                rollout.phase,
                self._deps.clock.wall_ms() - rollout.at_ms,
                rollout.duration_ms,
                rollout.reason,
                rollout.evidence,
                self._deps.progress(rollout),
            ),
        )
