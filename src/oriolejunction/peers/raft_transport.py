"""Sends Raft messages to other replicas over gRPC, in batches."""

import asyncio
import collections

import grpc
import structlog

from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction.peers import channels
from oriolejunction.peers import raft_methods
from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports

QUEUE_LIMIT = 512
# Of a small batch.
DELIVER_TIMEOUT_S = 1.0
# gRPC may end a call late, or never if its connection has gone silent.
OWN_LIMIT_MARGIN_S = 0.2
# A batch ends with the message that reaches this size.
MAX_BATCH_BYTES = 1 << 20
_log = structlog.get_logger(__name__)


class RaftTransport:
    """Queues messages for each address; a full queue drops its oldest."""

    def __init__(
        self,
        address: str,
        transport: transports.PeerTransport = transports.PLAINTEXT,
    ) -> None:
        self._address = address
        self._channels = channels.ChannelPool(transport)
        # Replacing one of these must not cancel other calls.
        self._log_channels = channels.ChannelPool(transport)
        self._address_by_replica: dict[types.ReplicaId, str] = {}
        self._queue_by_address: dict[str, _SendQueue] = {}

    def record_addresses(self, received: raft_messages.Deliver) -> None:
        """Record the current addresses of the senders of messages."""
        for message in received.messages:
            self._address_by_replica[message.sender] = received.address

    def send(
        self, group: types.GroupId, message: wire.Message, address: str | None
    ) -> None:
        """Queue a message to the last known address of its receiver.

        `address` is used while no message of the receiver has arrived.
        """
        address = self._address_by_replica.get(message.to, address)
        if address is None:
            return
        queue = self._queue_by_address.get(address)
        if queue is None:
            queue = _SendQueue(self, address)
            self._queue_by_address[address] = queue
        queue.put(group, message)

    def stub_for(self, address: str, method: rpc.Method):
        """Return a stub for `method` at `address`."""
        return self._channels.stub_for(address, method)

    async def deliver(
        self, address: str, group: types.GroupId, batch: list[wire.Message]
    ) -> None:
        """Send one batch; if that fails, its messages are lost.

        A connection on which a call does not end in time is replaced: it may
        stay silent for good while new ones work.
        """
        call = self._log_channels.stub_for(address, raft_methods.DELIVER)
        limit_s = rpc.transfer_timeout_s(
            DELIVER_TIMEOUT_S, sum(map(_content_bytes, batch))
        )
        try:
            async with asyncio.timeout(limit_s + OWN_LIMIT_MARGIN_S):
                await call(
                    raft_messages.Deliver(group, self._address, tuple(batch)),
                    timeout=limit_s,
                )
            return
        except grpc.aio.AioRpcError as error:
            if error.code() is not grpc.StatusCode.DEADLINE_EXCEEDED:
                return
            why = error.code().name
        except TimeoutError:
            why = "the call did not end"
        _log.warning("connection to replica replaced", to=address, why=why)
        self._log_channels.renew(address)

    async def close(self) -> None:
        """Stop the senders and close the channels."""
        for queue in self._queue_by_address.values():
            await queue.close()
        await self._channels.close()
        await self._log_channels.close()


class _SendQueue:
    """Messages for one address and the task that sends them."""

    def __init__(self, transport: RaftTransport, address: str) -> None:
        self._transport = transport
        self._address = address
        self._pending = collections.deque(maxlen=QUEUE_LIMIT)
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def put(self, group: types.GroupId, message: wire.Message) -> None:
        self._pending.append((group, message))
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                group = self._pending[0][0]
                await self._transport.deliver(
                    self._address, group, self._next_batch()
                )

    def _next_batch(self) -> list[wire.Message]:
        batch: list[wire.Message] = []
        batch_bytes = 0
        while self._pending and batch_bytes < MAX_BATCH_BYTES:
            _, message = self._pending.popleft()
            batch.append(message)
            batch_bytes += _content_bytes(message)
        return batch

    async def close(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


def _content_bytes(message: wire.Message) -> int:
    """Return the size of the entries or the snapshot in a message."""
    match message:
        case wire.AppendRequest():
            return sum(len(each.command or b"") for each in message.entries)
        case wire.InstallSnapshot():
            return len(message.snapshot.body)
    return 0
