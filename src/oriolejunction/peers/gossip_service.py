"""Sends and receives gossip over gRPC, at a bounded rate."""

import asyncio
import random

import grpc
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import gossip_wire
from oriolejunction import ids
from oriolejunction.peers import gossip_state
from oriolejunction.peers import methods
from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports

INTERVAL_MS = 200
FANOUT = 8
CALL_TIMEOUT_S = 0.5
_log = structlog.get_logger(__name__)


class GossipService:
    """Sends gossip to a few random peers, which pass it on in turn."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        blackboard: blackboards.Blackboard,
        gossip: gossip_state.GossipState,
        transport: transports.PeerTransport,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._blackboard = blackboard
        self._gossip = gossip
        self._transport = transport
        self._rng = random.Random(instance_id)
        self._channel_by_address: dict[str, grpc.aio.Channel] = {}
        self._sent_entries = False

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(server, {methods.GOSSIP: self._receive})

    async def run(self) -> None:
        """Send gossip at a fixed interval until cancelled."""
        while True:
            await self.send_once()
            await self._clock.sleep_ms(INTERVAL_MS)

    async def send_once(self) -> None:
        """Send gossip to a random sample of peers once.

        The first empty message after others is sent too: it ends the
        isolation of requests that they listed.
        """
        request = self._gossip.build_request()
        empty = gossip_state.is_empty(request)
        if empty and not self._sent_entries:
            return
        self._sent_entries = not empty
        peers = [
            peer.peer_address
            for peer in self._blackboard.instance_by_id.read().values()
            if peer.instance != self._instance_id
        ]
        self._drop_channels(frozenset(peers))
        chosen = self._rng.sample(peers, min(FANOUT, len(peers)))
        await asyncio.gather(
            *(self._send_to(address, request) for address in chosen)
        )

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            await channel.close()

    async def _send_to(
        self, address: str, request: gossip_wire.GossipRequest
    ) -> None:
        call = rpc.make_stub(self._channel(address), methods.GOSSIP)
        try:
            await call(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            _log.debug("gossip not sent", address=address, why=error.code())

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = self._transport.channel(address)
            self._channel_by_address[address] = channel
        return channel

    def _drop_channels(self, peers: frozenset[str]) -> None:
        for address in self._channel_by_address.keys() - peers:
            del self._channel_by_address[address]

    async def _receive(
        self, request: gossip_wire.GossipRequest
    ) -> gossip_wire.GossipReply:
        self._gossip.merge(request)
        return gossip_wire.GossipReply()
