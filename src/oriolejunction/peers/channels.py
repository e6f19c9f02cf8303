"""gRPC channels to other instances, one per address."""

import asyncio

import grpc

from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports


class ChannelPool:
    """Opens one channel per address and reuses it."""

    def __init__(
        self, transport: transports.PeerTransport = transports.PLAINTEXT
    ) -> None:
        self._transport = transport
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._stubs: dict[tuple[str, rpc.Method], rpc.Handler] = {}
        self._closing: set[asyncio.Task] = set()

    def stub_for(self, address: str, method: rpc.Method) -> rpc.Handler:
        """Return a stub for `method` at `address`."""
        stub = self._stubs.get((address, method))
        if stub is None:
            stub = rpc.make_stub(self._channel_to(address), method)
            self._stubs[address, method] = stub
        return stub

    def stream_to(
        self, address: str, method: rpc.Method
    ) -> grpc.aio.StreamStreamCall:
        """Open a stream of `method` to `address`."""
        return rpc.open_stream(self._channel_to(address), method)

    def _channel_to(self, address: str) -> grpc.aio.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = self._transport.channel(address)
            self._channel_by_address[address] = channel
        return channel

    def renew(self, address: str) -> None:
        """Have the next call open a new connection to an address.

        Calls and streams on the old one end.
        """
        channel = self._channel_by_address.pop(address, None)
        if channel is None:
            return
        self._stubs = {
            key: stub for key, stub in self._stubs.items() if key[0] != address
        }
        task = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            await channel.close()
