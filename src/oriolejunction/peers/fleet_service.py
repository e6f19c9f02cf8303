"""What a control replica serves to entry instances and other replicas."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import published_table
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import rpc
from oriolejunction import supervision

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
    """What the service works on.

    `boot` names the incarnation; `caller` returns a method at an address.
    """

    boot: str
    replica: raft_replica.RaftReplica
    clock: clocks.Clock
    hub: fleet_hub.FleetHub
    listing: listing_store.ListingStore
    caller: collections.abc.Callable[[str, rpc.Method], rpc.Handler]


@dataclasses.dataclass
class _Relay:
    """What one other control replica is still to be sent."""

    task: asyncio.Task
    has_news: asyncio.Event
    shares: dict[str, fm.EntryShare] = dataclasses.field(default_factory=dict)


class FleetService:
    """Watches of entry instances, relays between replicas, publishing."""

    def __init__(self, parts: FleetParts) -> None:
        self._parts = parts
        self._replica = parts.replica
        self._replica.on_apply = self._note_applied
        self._changed = asyncio.Event()
        self._has_news = asyncio.Event()
        self._relay_by_address: dict[str, _Relay] = {}

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

    def note_listing(self) -> None:
        """Tell all that the platform's list was read anew."""
        self.note_change()
        for relay in self._relay_by_address.values():
            relay.has_news.set()

    def _note_applied(self) -> None:
        self.note_change()
        self._has_news.set()

    async def run(self) -> None:
        """Hand shares on to the other control replicas."""
        while True:
            self._queue_relays()
            await self._news_or_idle(self._has_news)
            await self._parts.clock.sleep_ms(self._gap_ms())

    async def _news_or_idle(self, has_news: asyncio.Event) -> None:
        """Wait for news; without any, time is up twice a second."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELAY_IDLE_MS / 1e3):
                await has_news.wait()
        has_news.clear()

    def _gap_ms(self) -> float:
        return max(MIN_GAP_MS, GAP_MS_PER_ENTRY * self._parts.hub.entries())

    def _queue_relays(self) -> None:
        """Give each other replica a sender of its own, and its news."""
        own = self._replica.member.address
        addresses = {
            member.address
            for member in self._replica.membership.members()
            if member.address != own
        }
        for address in addresses - set(self._relay_by_address):
            self._relay_by_address[address] = _Relay(
                asyncio.create_task(
                    supervision.keep(
                        functools.partial(self._send_relays, address),
                        self._parts.clock,
                    )
                ),
                asyncio.Event(),
            )
        for address in set(self._relay_by_address) - addresses:
            self._relay_by_address.pop(address).task.cancel()
        news = {s.instance: s for s in self._parts.hub.take_direct()}
        if news:
            for relay in self._relay_by_address.values():
                relay.shares.update(news)
                relay.has_news.set()

    async def _send_relays(self, address: str) -> None:
        """Send what is pending for one replica; a slow one delays no other."""
        call = self._parts.caller(address, fleet_methods.RELAY)
        relay = self._relay_by_address[address]
        digest_sent = ""
        while True:
            await self._news_or_idle(relay.has_news)
            await self._parts.clock.sleep_ms(self._gap_ms())
            shares = tuple(relay.shares.values())
            relay.shares.clear()
            listing = None
            if self._replica.leader_term is not None:
                listing = self._parts.listing.aged(digest_sent)
            if not shares and listing is None:
                continue
            try:
                await call(fm.Relay(shares, listing), timeout=RELAY_TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                # Entry instances tell their shares anew every second.
                _log.debug("relay lost", to=address, code=error.code().name)
                digest_sent = ""
                continue
            if listing is not None:
                digest_sent = listing.digest

    async def close(self) -> None:
        """Stop the senders."""
        tasks = [relay.task for relay in self._relay_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _share(self, request: fm.Share) -> fm.Told:
        if self._parts.hub.put(request.share, direct=True):
            self.note_change()
            self._has_news.set()
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
        while not self._is_news(request):
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

    def _is_news(self, request: fm.Watch) -> bool:
        return (
            self._replica.state.table.version > request.table_version
            or self._parts.listing.digest != request.listing_digest
            or self._parts.hub.change_number != request.seen
            or self._parts.boot != request.boot
        )

    def _sight(self, request: fm.Watch) -> fm.Sight:
        hub = self._parts.hub
        table = self._replica.state.table
        known = table.version <= request.table_version
        same_boot = request.boot == self._parts.boot
        news = hub.news_for(
            request.instance, request.seen if same_boot else fm.UNSEEN
        )
        return fm.Sight(
            fresh=self._replica.is_fresh(FRESH_MS),
            seen=news.seen,
            boot=self._parts.boot,
            table_version=table.version,
            document=None if known else table.document,
            listing=self._parts.listing.aged(request.listing_digest),
            whole=news.whole,
            loads=news.loads,
            suspects=news.suspects,
            crashes=news.crashes,
            speeds=news.speeds,
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
        if published_table.is_done(table, request.version, request.digest):
            return fm.PublishReply(done=True)
        command = commands.PublishTable(
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
        if isinstance(result, commands.TableRefused):
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
