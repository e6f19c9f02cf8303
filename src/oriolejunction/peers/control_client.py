"""Client of the control replicas, used by every instance."""

import grpc
import structlog

from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import methods
from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports

CALL_TIMEOUT_MS = 1_500
PROPOSE_TIMEOUT_MS = 8_000
_log = structlog.get_logger(__name__)


class ControlClient:
    """Call the leader, found by asking the replicas in turn."""

    def __init__(
        self,
        address_by_id: dict[ids.InstanceId, str],
        transport: transports.PeerTransport = transports.PLAIN,
    ) -> None:
        self._transport = transport
        self._addresses = list(address_by_id.values())
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}

    async def propose(
        self, command: messages.Command
    ) -> messages.CommandResult:
        """Commit a command that is idempotent by its own ids.

        Raise `Failure` with `ControlUnavailable` where no replica answered;
        the command may still have been committed.
        """
        reply = await self._ask(
            methods.PROPOSE,
            messages.ProposeRequest(command),
            PROPOSE_TIMEOUT_MS,
        )
        return reply.result

    async def renew(
        self, request: messages.RenewRequest
    ) -> messages.RenewReply:
        """Renew a configuration lease."""
        return await self._ask(methods.RENEW, request)

    async def status(self) -> messages.StatusReply:
        """Return the revision in force on each instance."""
        return await self._ask(methods.STATUS, messages.StatusRequest())

    async def audit(self, start: int = 0) -> messages.AuditReply:
        """Return the trail of changes from `start` on."""
        return await self._ask(methods.AUDIT, messages.AuditRequest(start))

    async def in_force(self) -> messages.InForceReply:
        """Return the configuration in force."""
        return await self._ask(methods.IN_FORCE, messages.InForceRequest())

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            await channel.close()

    async def _ask(self, method, request, timeout_ms=CALL_TIMEOUT_MS):
        for address in list(self._addresses):
            call = rpc.caller(self._channel(address), method)
            try:
                reply = await call(request, timeout=timeout_ms / 1000.0)
            except grpc.aio.AioRpcError as error:
                _log.debug("replica failed", address=address, why=error.code())
                self._try_last(address)
                continue
            if not reply.not_leader:
                return reply
            self._try_last(address)
        raise errors.Failure(
            errors.ControlUnavailable(
                "no control replica answered", retry_after_ms=1_000
            )
        )

    def _try_last(self, address: str) -> None:
        self._addresses.remove(address)
        self._addresses.append(address)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = self._transport.channel(address)
            self._channel_by_address[address] = channel
        return channel
