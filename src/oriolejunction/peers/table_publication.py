"""Publishes routing tables, and reads the newest one.

Any control replica takes the operator's calls and forwards them to the leader.
"""

import asyncio
import collections.abc

import grpc
import structlog

from oriolejunction import commands
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import published_table
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc

PUBLISH_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 0.8
_log = structlog.get_logger(__name__)


class TablePublication:
    """Publishes and reads documents at the leader."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler],
    ) -> None:
        self._replica = replica
        self._stub_for = stub_for

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                fleet_methods.PUBLISH: self._publish,
                fleet_methods.READ: self._read,
            },
        )

    async def _publish(self, request: fm.PublishRequest) -> fm.PublishReply:
        return await self.publish(request, forward=False)

    async def _read(self, request: fm.ReadRequest) -> fm.ReadReply:
        reply = await self.read(forward=False)
        if reply.document is None or reply.version > request.held_version:
            return reply
        return fm.ReadReply(reply.version, None, confirmed=True)

    async def publish(
        self, request: fm.PublishRequest, forward: bool = True
    ) -> fm.PublishReply:
        """Commit a document here or forward it to the leader.

        A document that is already committed is acknowledged without another
        log entry.
        """
        table = self._replica.state.table
        if published_table.is_already_published(
            table, request.version, request.digest
        ):
            return fm.PublishReply(done=True)
        command = commands.PublishTable(
            request.version, request.document, request.digest
        )
        try:
            result = await self._replica.propose(command)
        except replicas.OutcomeUnknown:
            return fm.PublishReply(unknown=True)
        except replicas.NotLeader as error:
            if not forward or error.hint is None:
                return fm.PublishReply(unknown=True)
            return await self._call_leader(
                error.hint,
                fleet_methods.PUBLISH,
                request,
                rpc.transfer_timeout_s(
                    PUBLISH_TIMEOUT_S, len(request.document)
                ),
                fm.PublishReply(unknown=True),
            )
        if isinstance(result, commands.TableRefused):
            return fm.PublishReply(refusal=result.reason)
        _log.info("table published", version=request.version)
        return fm.PublishReply(done=True)

    async def read(self, forward: bool = True) -> fm.ReadReply:
        """Return the newest document, confirmed by a majority.

        Without that confirmation the reply contains no document.
        """
        unconfirmed = fm.ReadReply(self._replica.state.table.version, None)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._replica.read_barrier()
        except TimeoutError:
            return unconfirmed
        except replicas.NotLeader as error:
            if not forward or error.hint is None:
                return unconfirmed
            return await self._read_at_leader(error.hint, unconfirmed)
        table = self._replica.state.table
        return fm.ReadReply(table.version, table.document)

    async def _read_at_leader(
        self, address: str, unconfirmed: fm.ReadReply
    ) -> fm.ReadReply:
        """Have the leader confirm the newest table, which this may have."""
        reply = await self._call_leader(
            address,
            fleet_methods.READ,
            fm.ReadRequest(self._replica.state.table.version),
            READ_TIMEOUT_S,
            unconfirmed,
        )
        table = self._replica.state.table
        if not reply.confirmed or table.version < reply.version:
            return reply
        return fm.ReadReply(table.version, table.document)

    async def _call_leader(
        self, address, method, request, timeout_s, fallback
    ):
        call = self._stub_for(address, method)
        try:
            return await call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            _log.warning(
                "control leader did not answer",
                method=method.name,
                address=address,
                code=error.code().name,
            )
            return fallback
