"""Client of the control replicas, used by every instance."""

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import document_messages
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import methods
from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports

ATTEMPT_TIMEOUT_MS = 1_000
PROPOSE_ATTEMPT_TIMEOUT_MS = 2_500
CALL_TIMEOUT_MS = 1_500
PROPOSE_TIMEOUT_MS = 10_000
RETRY_DELAY_MS = 100
_log = structlog.get_logger(__name__)


class ControlClient:
    """Calls the leader, found by hints or by trying each replica in turn.

    A call without an answer is retried, also at another replica. That is
    safe: reads have no side effects, and the ids that commands carry make
    them idempotent.
    """

    def __init__(
        self,
        address_by_id: dict[ids.InstanceId, str],
        transport: transports.PeerTransport = transports.PLAINTEXT,
        clock: clocks.Clock = clocks.SystemClock(),
    ) -> None:
        self._transport = transport
        self._addresses = list(address_by_id.values())
        self._clock = clock
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}

    async def propose(
        self, command: commands.Command
    ) -> commands.CommandResult:
        """Commit a command; its ids make it idempotent.

        Return an accepted change once it is in force on every instance
        with a lease. Raise `Failure` with `ControlUnavailable` if that is
        not confirmed in time; the command may still have been committed.
        """
        deadline_ms = self._clock.now_ms() + PROPOSE_TIMEOUT_MS
        reply = await self._call(
            methods.PROPOSE,
            messages.ProposeRequest(command),
            deadline_ms,
            PROPOSE_ATTEMPT_TIMEOUT_MS,
        )
        if not reply.in_force:
            await self._wait_in_force(reply.result.revision, deadline_ms)
        return reply.result

    async def _wait_in_force(
        self, revision: ids.Revision, deadline_ms: float
    ) -> None:
        request = messages.AwaitInForceRequest(revision)
        while self._clock.now_ms() < deadline_ms:
            reply = await self._call(
                methods.AWAIT_IN_FORCE,
                request,
                deadline_ms,
                PROPOSE_ATTEMPT_TIMEOUT_MS,
            )
            if reply.in_force:
                return
        raise errors.Failure(
            errors.ControlUnavailable(
                f"revision {revision} is committed, but not yet known"
                " to be in force on every instance; send the command again",
                retry_after_ms=1_000,
            )
        )

    async def renew(
        self, request: messages.RenewRequest
    ) -> messages.RenewReply:
        """Renew a configuration lease."""
        return await self._call(methods.RENEW, request)

    async def content(
        self, request: document_messages.PieceRequest, timeout_ms: float
    ) -> document_messages.DocumentPiece:
        """Return the next piece of a newer configuration."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        reply = await self._call(
            methods.CONTENT, request, deadline_ms, timeout_ms
        )
        return reply.piece

    async def status(self) -> messages.StatusReply:
        """Return the revision in force on each instance."""
        return await self._call(methods.STATUS, messages.StatusRequest())

    async def audit(self, start: int = 0) -> messages.AuditReply:
        """Return all audit log entries after number `start`."""
        entries: list[messages.AuditEntry] = []
        while True:
            request = messages.AuditRequest(start + len(entries))
            page = await self._call(methods.AUDIT, request)
            if not page.entries:
                return messages.AuditReply(tuple(entries))
            entries.extend(page.entries)

    async def in_force(self) -> messages.InForceReply:
        """Return the configuration in force."""
        return await self._call(methods.IN_FORCE, messages.InForceRequest())

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            await channel.close()

    async def _call(
        self,
        method,
        request,
        deadline_ms=None,
        attempt_timeout_ms=ATTEMPT_TIMEOUT_MS,
    ):
        if deadline_ms is None:
            deadline_ms = self._clock.now_ms() + CALL_TIMEOUT_MS
        while True:
            reply = await self._try_each(
                method, request, deadline_ms, attempt_timeout_ms
            )
            if reply is not None:
                return reply
            if self._clock.now_ms() >= deadline_ms:
                break
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        raise errors.Failure(
            errors.ControlUnavailable(
                "no control replica answered", retry_after_ms=1_000
            )
        )

    async def _try_each(
        self, method, request, deadline_ms, attempt_timeout_ms
    ):
        """Call each replica once; try the leader that a hint names next."""
        untried = list(self._addresses)
        tried = set()
        while untried:
            address = untried.pop(0)
            if address in tried or self._clock.now_ms() >= deadline_ms:
                continue
            tried.add(address)
            reply = await self._try_one(
                address, method, request, attempt_timeout_ms
            )
            if reply is None:
                continue
            if not reply.not_leader:
                self._prefer(address)
                return reply
            if reply.leader_hint is not None:
                untried.insert(0, reply.leader_hint)
        return None

    async def _try_one(self, address, method, request, timeout_ms):
        call = rpc.make_stub(self._channel(address), method)
        try:
            reply = await call(request, timeout=timeout_ms / 1000.0)
        except grpc.aio.AioRpcError as error:
            _log.debug("replica failed", address=address, why=error.code())
            self._deprioritize(address)
            return None
        if getattr(reply, "unknown", False):
            return None
        return reply

    def _prefer(self, address: str) -> None:
        if address in self._addresses:
            self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _deprioritize(self, address: str) -> None:
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = self._transport.channel(address)
            self._channel_by_address[address] = channel
        return channel
