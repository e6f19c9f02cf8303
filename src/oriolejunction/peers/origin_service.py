"""The StreamOrigins gRPC service of a control replica.

Entry instances record under which software version their streams run, and
look up those of streams that began at another instance.
"""

import asyncio
import collections.abc

import grpc
import msgspec
import structlog

from oriolejunction.consensus import raft_replica
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc

# Shorter than the time that an entry instance waits for a lookup.
FORWARD_TIMEOUT_S = 0.12
_log = structlog.get_logger(__name__)


class OriginService:
    """Records origins of streams and answers lookups."""

    def __init__(
        self,
        hub: stream_origins.OriginHub,
        replica: raft_replica.RaftReplica,
        stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler],
    ) -> None:
        self._hub = hub
        self._replica = replica
        self._stub_for = stub_for

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                fleet_methods.ORIGINS: self.record,
                fleet_methods.ORIGIN_CONFIRM: self.confirm,
                fleet_methods.ORIGIN_LOOKUP: self.lookup,
            },
        )

    async def record(self, request: fm.OriginsRequest) -> fm.Acknowledgement:
        """Record the origins that an entry instance sends."""
        for origin in request.origins:
            self._hub.put(origin, direct=True)
        return fm.Acknowledgement()

    async def confirm(
        self, request: fm.OriginProposal
    ) -> fm.OriginConfirmation:
        """Record an origin here and at a majority of the replicas."""
        self._hub.put(request.origin, direct=not request.forwarded)
        if request.forwarded:
            return fm.OriginConfirmation()
        replies = await self._ask_others(
            fleet_methods.ORIGIN_CONFIRM,
            fm.OriginProposal(request.origin, forwarded=True),
            self._is_majority,
        )
        return fm.OriginConfirmation(self._is_majority(replies))

    async def lookup(self, request: fm.OriginLookup) -> fm.OriginReply:
        """Return what is known of a stream by a majority of the replicas.

        All are asked if none of these knows the stream.
        """
        own = self._hub.reply(request.request_id, request.service)
        if request.forwarded:
            return own

        def is_known(replies: list[fm.OriginReply]) -> bool:
            return self._is_majority(replies) and any(
                each.origin is not None for each in (own, *replies)
            )

        replies = await self._ask_others(
            fleet_methods.ORIGIN_LOOKUP,
            fm.OriginLookup(
                request.request_id, request.service, forwarded=True
            ),
            is_known,
        )
        joined = stream_origins.join_replies((own, *replies))
        members = self._replica.membership.members()
        return msgspec.structs.replace(
            joined,
            by_majority=self._is_majority(replies),
            lasting=joined.lasting and len(replies) + 1 >= len(members),
        )

    def _is_majority(self, replies: list) -> bool:
        """Return whether this replica and those that replied are one."""
        members = self._replica.membership.members()
        is_member = self._replica.member.address in (
            each.address for each in members
        )
        return 2 * (len(replies) + is_member) > len(members)

    async def _ask_others(
        self,
        method: rpc.Method,
        request: fm.OriginProposal | fm.OriginLookup,
        is_enough: collections.abc.Callable[[list], bool],
    ) -> list:
        """Ask the other replicas at once until their replies are enough."""
        own = self._replica.member.address
        tasks = [
            asyncio.create_task(self._ask(member.address, method, request))
            for member in self._replica.membership.members()
            if member.address != own
        ]
        replies: list = []
        try:
            for completed in asyncio.as_completed(tasks):
                reply = await completed
                if reply is not None:
                    replies.append(reply)
                if is_enough(replies):
                    break
        finally:
            for task in tasks:
                task.cancel()
        return replies

    async def _ask(
        self,
        address: str,
        method: rpc.Method,
        request: fm.OriginProposal | fm.OriginLookup,
    ):
        call = self._stub_for(address, method)
        try:
            return await call(request, timeout=FORWARD_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            _log.info(
                "origin not forwarded",
                method=method.name,
                to=address,
                code=error.code().name,
            )
            return None
