"""gRPC service that control replicas serve to each other."""

import grpc

from oriolejunction import commands
from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.consensus import wire
from oriolejunction.peers import raft_methods
from oriolejunction.peers import raft_transport
from oriolejunction.peers import rpc

AUDIT_PAGE_ENTRIES = 256


def introduction_of(
    replica: raft_replica.RaftReplica,
) -> raft_messages.Introduction:
    """Return what other replicas are told of one."""
    return raft_messages.Introduction(
        replica.member,
        replica.group,
        replica.identity.initial_voters,
        commands.PROTOCOL,
    )


class RaftService:
    """Passes calls of other replicas to the local one."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        transport: raft_transport.RaftTransport,
    ) -> None:
        self._replica = replica
        self._transport = transport

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                raft_methods.DELIVER: self._deliver,
                raft_methods.HELLO: self._hello,
                raft_methods.FORM: self._form,
                raft_methods.JOIN: self._join,
                raft_methods.LEAVE: self._leave,
                raft_methods.FETCH_AUDIT: self._fetch_audit,
            },
        )

    async def _deliver(
        self, request: raft_messages.Deliver
    ) -> raft_messages.Delivered:
        if request.group == self._replica.group:
            self._transport.record_addresses(request)
            await self._fetch_missing_audit(request)
            self._replica.deliver(request.messages)
        return raft_messages.Delivered()

    async def _fetch_missing_audit(
        self, request: raft_messages.Deliver
    ) -> None:
        """Fetch missing audit log entries before a snapshot is delivered.

        A snapshot does not contain the audit log.
        """
        required_count = max(
            (
                self._replica.audit_entry_count(message.snapshot)
                for message in request.messages
                if isinstance(message, wire.InstallSnapshot)
            ),
            default=0,
        )
        call = self._transport.stub_for(
            request.address, raft_methods.FETCH_AUDIT
        )
        while self._replica.last_audit_number < required_count:
            page = await call(
                raft_messages.FetchAudit(self._replica.last_audit_number),
                timeout=raft_transport.DELIVER_TIMEOUT_S,
            )
            if not page.entries:
                return
            self._replica.append_audit(page.entries)

    async def _hello(
        self, request: raft_messages.Hello
    ) -> raft_messages.Introduction:
        return introduction_of(self._replica)

    async def _form(self, request: raft_messages.Form) -> raft_messages.Formed:
        return raft_messages.Formed(
            self._replica.form_group(request.group, request.membership)
        )

    async def _join(
        self, request: raft_messages.Join
    ) -> raft_messages.JoinReply:
        try:
            accepted = self._replica.group_changes.add_learner(request.member)
        except replicas.NotLeader as error:
            return raft_messages.JoinReply(False, leader_address=error.hint)
        return raft_messages.JoinReply(accepted, self._replica.group)

    async def _leave(
        self, request: raft_messages.Leave
    ) -> raft_messages.LeaveReply:
        try:
            done = self._replica.group_changes.release(request.replica)
        except replicas.NotLeader as error:
            return raft_messages.LeaveReply(False, error.hint)
        return raft_messages.LeaveReply(done)

    async def _fetch_audit(
        self, request: raft_messages.FetchAudit
    ) -> raft_messages.AuditPage:
        entries = await self._replica.audit(request.start, AUDIT_PAGE_ENTRIES)
        return raft_messages.AuditPage(entries)
