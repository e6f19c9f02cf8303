"""gRPC service of a control replica."""

import grpc

from oriolejunction import clock as clocks
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import lease_table
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import methods
from oriolejunction.peers import rpc

APPLIED_POLL_MS = 20


class ControlService:
    """Answer the other processes from one replica."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        replica: replicas.Replica,
        clock: clocks.Clock,
    ) -> None:
        self._instance_id = instance_id
        self._replica = replica
        self._clock = clock
        self._leases = lease_table.new_table(
            clock.now_ms(), replica.state.history.revision
        )

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                methods.PROPOSE: self._propose,
                methods.RENEW: self._renew,
                methods.STATUS: self._status,
                methods.AUDIT: self._audit,
                methods.IN_FORCE: self._in_force,
            },
        )

    async def _propose(
        self, request: messages.ProposeRequest
    ) -> messages.ProposeReply:
        try:
            result = await self._replica.propose(request.command)
        except replicas.NotLeader as error:
            return messages.ProposeReply(
                not_leader=True, leader_hint=error.hint
            )
        if isinstance(result, messages.ChangeAccepted):
            await self._wait_in_force(result.revision)
        return messages.ProposeReply(result=result)

    async def _wait_in_force(self, revision: ids.Revision) -> None:
        while not lease_table.in_force_everywhere(
            self._leases, revision, self._clock.now_ms()
        ):
            await self._clock.sleep_ms(APPLIED_POLL_MS)

    async def _renew(
        self, request: messages.RenewRequest
    ) -> messages.RenewReply:
        try:
            await self._replica.confirm()
        except replicas.NotLeader:
            return messages.RenewReply(
                ids.NO_REVISION, None, lease_ms=0, not_leader=True
            )
        history = self._replica.state.history
        now_ms = self._clock.now_ms()
        lease_table.renew(self._leases, request, now_ms)
        peers = lease_table.live_peers(self._leases, now_ms)
        known = request.known_peers == peers.digest
        behind = request.applied < history.revision
        return messages.RenewReply(
            revision=history.revision,
            configuration=history.content if behind else None,
            lease_ms=lease_table.LEASE_MS,
            peers=None if known else peers.instances,
            peers_digest=peers.digest,
        )

    async def _status(
        self, request: messages.StatusRequest
    ) -> messages.StatusReply:
        try:
            await self._replica.confirm()
        except replicas.NotLeader:
            return messages.StatusReply(
                ids.NO_REVISION, self._instance_id, (), not_leader=True
            )
        return messages.StatusReply(
            revision=self._replica.state.history.revision,
            leader=self._instance_id,
            instances=lease_table.statuses(self._leases, self._clock.now_ms()),
        )

    async def _audit(
        self, request: messages.AuditRequest
    ) -> messages.AuditReply:
        try:
            await self._replica.confirm()
        except replicas.NotLeader:
            return messages.AuditReply((), not_leader=True)
        trail = self._replica.state.history.audit
        return messages.AuditReply(tuple(trail[request.start :]))

    async def _in_force(
        self, request: messages.InForceRequest
    ) -> messages.InForceReply:
        try:
            await self._replica.confirm()
        except replicas.NotLeader:
            return messages.InForceReply(
                ids.NO_REVISION, None, not_leader=True
            )
        history = self._replica.state.history
        return messages.InForceReply(history.revision, history.content)
