"""What a control replica serves to entry instances and other replicas."""

import asyncio
import collections.abc
import dataclasses

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction import messages
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import rpc

# A watch is answered at least this often, so that silence means a loss.
WATCH_HOLD_MS = 400.0
# Changes that come close together are told together: the more watch, the
# longer the gap, so that the messages of a replica stay bounded.
MIN_GAP_MS = 5.0
GAP_MS_PER_ENTRY = 0.5
RELAY_IDLE_MS = 500.0
RELAY_TIMEOUT_S = 0.5
# Five heartbeats of the leader.
FRESH_MS = 500.0
PUBLISH_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 0.8
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class FleetParts:
    """What the service works on; `caller` returns a method at an address."""

    replica: raft_replica.RaftReplica
    clock: clocks.Clock
    hub: fleet_hub.FleetHub
    listing: listing_store.ListingStore
    caller: collections.abc.Callable[[str, rpc.Method], rpc.Handler]


class FleetService:
    """Watches of entry instances, relays between replicas, publishing."""

    def __init__(self, parts: FleetParts) -> None:
        self._parts = parts
        self._replica = parts.replica
        self._changed = asyncio.Event()
        self._relays: dict[str, asyncio.Task] = {}
        self._pending: dict[str, dict[str, fm.EntryShare]] = {}

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                fleet_methods.SHARE: self._share,
                fleet_methods.RELAY: self._relay,
                fleet_methods.WATCH: self._watch,
                fleet_methods.PUBLISH: self._publish,
                fleet_methods.READ: self._read,
            },
        )

    def note_change(self) -> None:
        """Answer the watches that wait for news."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def run(self) -> None:
        """Hand shares and the list on to the other control replicas."""
        known_version = None
        while True:
            await self._parts.clock.sleep_ms(self._gap_ms())
            version = self._replica.state.table.version
            if version != known_version:
                known_version = version
                self.note_change()
            self._queue_relays()

    def _gap_ms(self) -> float:
        return max(MIN_GAP_MS, GAP_MS_PER_ENTRY * self._parts.hub.entries())

    def _queue_relays(self) -> None:
        """Give each other replica a sender of its own, and its news."""
        news = {s.instance: s for s in self._parts.hub.take_direct()}
        own = self._replica.member.address
        addresses = {
            member.address
            for member in self._replica.membership.members()
            if member.address != own
        }
        for address in addresses - set(self._relays):
            self._pending[address] = {}
            self._relays[address] = asyncio.create_task(
                self._send_relays(address)
            )
        for address in set(self._relays) - addresses:
            self._relays.pop(address).cancel()
            self._pending.pop(address)
        for pending in self._pending.values():
            pending.update(news)

    async def _send_relays(self, address: str) -> None:
        """Send what is pending for one replica; a slow one delays no other."""
        call = self._parts.caller(address, fleet_methods.RELAY)
        clock = self._parts.clock
        digest_sent, idle_since_ms = "", clock.now_ms()
        while True:
            await clock.sleep_ms(self._gap_ms())
            pending = self._pending[address]
            is_reader = self._replica.leader_term is not None
            listing = self._parts.listing.aged(digest_sent)
            urgent = bool(pending) or (
                is_reader and listing and listing.digest != digest_sent
            )
            if not urgent and clock.now_ms() - idle_since_ms < RELAY_IDLE_MS:
                continue
            idle_since_ms = clock.now_ms()
            shares = tuple(pending.values())
            pending.clear()
            relay = fm.Relay(shares, listing if is_reader else None)
            try:
                await call(relay, timeout=RELAY_TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                # Entry instances tell their shares anew every second.
                _log.debug("relay lost", to=address, code=error.code().name)
                digest_sent = ""
                continue
            if relay.listing is not None:
                digest_sent = relay.listing.digest

    async def close(self) -> None:
        """Stop the senders."""
        for task in self._relays.values():
            task.cancel()
        await asyncio.gather(*self._relays.values(), return_exceptions=True)

    async def _share(self, request: fm.Share) -> fm.Told:
        if self._parts.hub.put(request.share, direct=True):
            self.note_change()
        return fm.Told()

    async def _relay(self, request: fm.Relay) -> fm.Told:
        hub = self._parts.hub
        news = [hub.put(share, direct=False) for share in request.shares]
        listed = self._parts.listing.put_told(request.listing)
        if listed or any(news):
            self.note_change()
        return fm.Told()

    async def _watch(self, request: fm.Watch) -> fm.Sight:
        clock = self._parts.clock
        until_ms = clock.now_ms() + WATCH_HOLD_MS
        await clock.sleep_ms(self._gap_ms())
        while not self._has_news(request):
            left_ms = until_ms - clock.now_ms()
            if left_ms <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left_ms / 1e3):
                    await changed.wait()
            except TimeoutError:
                break
        return self._sight(request)

    def _has_news(self, request: fm.Watch) -> bool:
        return (
            self._replica.state.table.version > request.table_version
            or self._parts.listing.digest != request.listing_digest
            or self._parts.hub.change_number != request.seen
        )

    def _sight(self, request: fm.Watch) -> fm.Sight:
        hub = self._parts.hub
        table = self._replica.state.table
        known = table.version <= request.table_version
        told = hub.change_number == request.seen
        asker = request.instance
        return fm.Sight(
            fresh=self._replica.is_fresh(FRESH_MS),
            seen=hub.change_number,
            table_version=table.version,
            document=None if known else table.document,
            listing=self._parts.listing.aged(request.listing_digest),
            loads=() if told else hub.loads_without(asker),
            suspects=() if told else hub.suspects_without(asker),
            crashes=() if told else hub.crashes_without(asker),
            speeds=() if told else hub.speeds_without(asker),
            entries=max(1, hub.entries()),
            replicas=tuple(
                (member.address, member.zone)
                for member in self._replica.membership.members()
            ),
        )

    async def _publish(self, request: fm.PublishRequest) -> fm.PublishReply:
        return await self.publish(request, forward=False)

    async def _read(self, request: fm.ReadRequest) -> fm.ReadReply:
        return await self.read(forward=False)

    async def publish(
        self, request: fm.PublishRequest, forward: bool = True
    ) -> fm.PublishReply:
        """Commit a document here or at the leader.

        What is committed already is acknowledged without another entry.
        """
        table = self._replica.state.table
        if request.version < table.version or (
            request.version == table.version and request.digest == table.digest
        ):
            return fm.PublishReply(done=True)
        command = messages.PublishTable(
            request.version, request.document, request.digest
        )
        try:
            result = await self._replica.propose(command)
        except replicas.OutcomeUnknown:
            return fm.PublishReply(unknown=True)
        except replicas.NotLeader as error:
            if not forward or error.hint is None:
                return fm.PublishReply(unknown=True)
            return await self._ask(
                error.hint,
                fleet_methods.PUBLISH,
                request,
                PUBLISH_TIMEOUT_S,
                fm.PublishReply(unknown=True),
            )
        if isinstance(result, messages.TableRefused):
            return fm.PublishReply(refusal=result.reason)
        _log.info("table published", version=request.version)
        return fm.PublishReply(done=True)

    async def read(self, forward: bool = True) -> fm.ReadReply:
        """Return the newest document, confirmed by a majority."""
        unsure = fm.ReadReply(self._replica.state.table.version, None)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._replica.confirm()
        except TimeoutError:
            return unsure
        except replicas.NotLeader as error:
            if not forward or error.hint is None:
                return unsure
            return await self._ask(
                error.hint,
                fleet_methods.READ,
                fm.ReadRequest(),
                READ_TIMEOUT_S,
                unsure,
            )
        table = self._replica.state.table
        return fm.ReadReply(table.version, table.document)

    async def _ask(self, address, method, request, timeout_s, otherwise):
        call = self._parts.caller(address, method)
        try:
            return await call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            _log.warning(
                "control leader did not answer",
                method=method.name,
                address=address,
                code=error.code().name,
            )
            return otherwise
