"""gRPC service of a control replica."""

import grpc
import msgspec

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import document_pieces
from oriolejunction.controllers import lease_table
from oriolejunction import document_messages
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import methods
from oriolejunction.peers import rpc

IN_FORCE_POLL_MS = 20
IN_FORCE_TIMEOUT_MS = 1_000
AUDIT_PAGE_ENTRIES = 500


class ControlService:
    """Serves the other processes from one control replica."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        replica: replicas.Replica,
        clock: clocks.Clock,
    ) -> None:
        self._instance_id = instance_id
        self._replica = replica
        self._clock = clock
        self._leases_term: int | None = None
        self._leases = lease_table.new_table(0.0, ids.NO_REVISION)
        self._pieces = document_pieces.DocumentPieces()
        self._offered = ids.NO_REVISION

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                methods.PROPOSE: self._propose,
                methods.RENEW: self._renew,
                methods.CONTENT: self._content,
                methods.STATUS: self._status,
                methods.AUDIT: self._audit,
                methods.IN_FORCE: self._in_force,
                methods.AWAIT_IN_FORCE: self._await_in_force,
            },
        )

    async def _confirm_leadership(self) -> None:
        """Confirm leadership; in a new term, start a new lease table.

        Only a confirmed leader knows whether an earlier leader may have
        granted leases.
        """
        await self._replica.read_barrier()
        term = self._replica.leader_term
        if term is not None and term != self._leases_term:
            self._leases_term = term
            self._leases = lease_table.new_table(
                self._clock.now_ms(), self._replica.state.history.revision
            )

    async def _propose(
        self, request: messages.ProposeRequest
    ) -> messages.ProposeReply:
        try:
            if self._replica.leader_term != self._leases_term:
                await self._confirm_leadership()
            result = await self._replica.propose(request.command)
        except replicas.NotLeader as error:
            return messages.ProposeReply(
                not_leader=True, leader_hint=error.hint
            )
        except replicas.OutcomeUnknown:
            return messages.ProposeReply(unknown=True)
        is_accepted = isinstance(result, commands.ChangeAccepted)
        is_draft = isinstance(request.command, commands.SubmitDraft)
        if is_draft or not is_accepted:
            return messages.ProposeReply(result=result)
        in_force = await self._wait_in_force(result.revision)
        return messages.ProposeReply(result=result, in_force=in_force)

    async def _await_in_force(
        self, request: messages.AwaitInForceRequest
    ) -> messages.AwaitInForceReply:
        try:
            await self._confirm_leadership()
        except replicas.NotLeader as error:
            return messages.AwaitInForceReply(
                False, not_leader=True, leader_hint=error.hint
            )
        return messages.AwaitInForceReply(
            await self._wait_in_force(request.revision)
        )

    async def _wait_in_force(self, revision: ids.Revision) -> bool:
        term = self._leases_term
        deadline_ms = self._clock.now_ms() + IN_FORCE_TIMEOUT_MS
        while self._replica.leader_term == term:
            now_ms = self._clock.now_ms()
            if lease_table.in_force_everywhere(self._leases, revision, now_ms):
                return True
            if now_ms >= deadline_ms:
                return False
            await self._clock.sleep_ms(IN_FORCE_POLL_MS)
        return False

    async def _renew(
        self, request: messages.RenewRequest
    ) -> messages.RenewReply:
        try:
            await self._confirm_leadership()
        except replicas.NotLeader as error:
            return messages.RenewReply(
                ids.NO_REVISION,
                None,
                lease_ms=0,
                not_leader=True,
                leader_hint=error.hint,
            )
        history = self._replica.state.history
        now_ms = self._clock.now_ms()
        lease_table.renew(self._leases, request, now_ms)
        peers = lease_table.live_peers(self._leases, now_ms)
        peers_known = peers is None or request.known_peers == peers.digest
        takes_content = (
            request.applied < history.revision and not request.fetches_content
        )
        return messages.RenewReply(
            revision=history.revision,
            configuration=history.content if takes_content else None,
            lease_ms=lease_table.LEASE_MS,
            peers=None if peers_known else peers.instances,
            peers_digest=request.known_peers if peers_known else peers.digest,
        )

    async def _content(
        self, request: document_messages.PieceRequest
    ) -> messages.ContentReply:
        try:
            await self._confirm_leadership()
        except replicas.NotLeader as error:
            return messages.ContentReply(
                None, not_leader=True, leader_hint=error.hint
            )
        history = self._replica.state.history
        if history.revision > self._offered:
            self._offered = history.revision
            self._pieces.add(
                history.revision, msgspec.msgpack.encode(history.content)
            )
        return messages.ContentReply(
            self._pieces.next_piece(request, is_fresh=True)
        )

    async def _status(
        self, request: messages.StatusRequest
    ) -> messages.StatusReply:
        try:
            await self._confirm_leadership()
        except replicas.NotLeader as error:
            return messages.StatusReply(
                ids.NO_REVISION,
                self._instance_id,
                (),
                not_leader=True,
                leader_hint=error.hint,
            )
        return messages.StatusReply(
            revision=self._replica.state.history.revision,
            leader=self._instance_id,
            instances=lease_table.statuses(self._leases, self._clock.now_ms()),
            replicas=self._replica.group_changes.members(),
        )

    async def _audit(
        self, request: messages.AuditRequest
    ) -> messages.AuditReply:
        try:
            await self._confirm_leadership()
        except replicas.NotLeader as error:
            return messages.AuditReply(
                (), not_leader=True, leader_hint=error.hint
            )
        return messages.AuditReply(
            await self._replica.audit(request.start, AUDIT_PAGE_ENTRIES)
        )

    async def _in_force(
        self, request: messages.InForceRequest
    ) -> messages.InForceReply:
        try:
            await self._confirm_leadership()
        except replicas.NotLeader as error:
            return messages.InForceReply(
                ids.NO_REVISION,
                None,
                not_leader=True,
                leader_hint=error.hint,
            )
        history = self._replica.state.history
        return messages.InForceReply(history.revision, history.content)
