"""Many lease holders in one process, which renew as instances do."""

import asyncio
import dataclasses

import grpc

from oriolejunction import ids
from oriolejunction import local_deployment
from oriolejunction import messages
from oriolejunction.peers import configuration_watch
from oriolejunction.peers import methods
from oriolejunction.peers import rpc

RENEW_TIMEOUT_S = 2.0


@dataclasses.dataclass
class LeaseLoad:
    """Simulated lease holders that share a few channels."""

    address: str
    renewals: int = 0
    failures: int = 0
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    channels: list[grpc.aio.Channel] = dataclasses.field(default_factory=list)

    def start(self, holders: int, channels: int = 8) -> None:
        """Start renewing the leases of `holders` instances."""
        self.channels = [
            grpc.aio.insecure_channel(
                self.address, options=rpc.CHANNEL_OPTIONS
            )
            for _ in range(channels)
        ]
        for number in range(holders):
            channel = self.channels[number % channels]
            self.tasks.append(
                asyncio.create_task(self._renew_lease(number, channel))
            )

    async def stop(self) -> None:
        """Stop all holders and close their channels."""
        for task in self.tasks:
            await configuration_watch.stop_task(task)
        for channel in self.channels:
            await channel.close()

    async def _renew_lease(
        self, number: int, channel: grpc.aio.Channel
    ) -> None:
        renew = rpc.make_stub(channel, methods.RENEW)
        interval_s = configuration_watch.LEASE_RENEW_INTERVAL_MS / 1000.0
        # Spreads the renewals of all holders over the interval.
        await asyncio.sleep(interval_s * (number % 16) / 16)
        applied = ids.NO_REVISION
        known_peers = 0
        while True:
            request = messages.RenewRequest(
                instance=ids.InstanceId(f"holder-{number}"),
                zone=ids.ZoneId(f"zone-{number % 17}"),
                incarnation="bench",
                applied=applied,
                peer_address=f"{local_deployment.HOST}:{number + 1}",
                known_peers=known_peers,
            )
            try:
                reply = await renew(request, timeout=RENEW_TIMEOUT_S)
                applied = reply.revision
                if reply.peers is not None:
                    known_peers = reply.peers_digest
                self.renewals += 1
            except grpc.aio.AioRpcError:
                self.failures += 1
            await asyncio.sleep(interval_s)
