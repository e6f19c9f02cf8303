"""The StreamOrigins gRPC service of a control replica.

Entry instances record under which software version their streams run, and
look up those of streams that began at another instance.
"""

import asyncio
import collections.abc

import grpc
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
                fleet_methods.ORIGIN_LOOKUP: self.lookup,
            },
        )

    async def record(self, request: fm.OriginsRequest) -> fm.Acknowledgement:
        """Record the origins that an entry instance sends."""
        for origin in request.origins:
            self._hub.put(origin, direct=True)
        return fm.Acknowledgement()

    async def lookup(self, request: fm.OriginLookup) -> fm.OriginReply:
        """Return what is known of a stream, here or at another replica."""
        reply = self._hub.reply(request.request_id, request.service)
        if reply.origin is not None or request.forwarded:
            return reply
        forwarded = fm.OriginLookup(
            request.request_id, request.service, forwarded=True
        )
        own = self._replica.member.address
        others = await asyncio.gather(
            *(
                self._ask(member.address, forwarded)
                for member in self._replica.membership.members()
                if member.address != own
            )
        )
        return _joined([reply, *others])

    async def _ask(
        self, address: str, request: fm.OriginLookup
    ) -> fm.OriginReply:
        call = self._stub_for(address, fleet_methods.ORIGIN_LOOKUP)
        try:
            return await call(request, timeout=FORWARD_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            _log.info(
                "origin not looked up", at=address, code=error.code().name
            )
            return fm.OriginReply()


def _joined(replies: list[fm.OriginReply]) -> fm.OriginReply:
    """Return the newest origin and all versions of some replies."""
    return fm.OriginReply(
        max(
            (each.origin for each in replies if each.origin is not None),
            key=lambda origin: origin.number,
            default=None,
        ),
        tuple(sorted({v for each in replies for v in each.versions})),
    )
