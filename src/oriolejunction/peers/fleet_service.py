"""The Fleet gRPC service of a control replica.

Entry instances send their reports and watch for changes. Control replicas
relay reports, origins of streams and the platform's list to each other, and
forward documents and reads to the leader.
"""

import asyncio
import collections.abc
import dataclasses
import functools

import grpc
import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import origin_backlog
from oriolejunction.controllers import published_table
from oriolejunction.controllers import stream_origins
from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import pacer as pacers
from oriolejunction.peers import rpc
from oriolejunction.peers import watch_replies
from oriolejunction.peers import watch_rounds
from oriolejunction import routing_table
from oriolejunction import supervision

# The first reply of an instance, which may arrive with those of others.
FIRST_REPLY_MS = 5.0
# Least times between relays to a replica: for what instances must know within
# 100 ms, and for loads and origins, which may be as old as the loads of the
# replica's own watchers.
URGENT_RELAY_MS = 15.0
LOAD_RELAY_MS = 80.0
RELAY_INTERVAL_MS = 500.0
RELAY_TIMEOUT_S = 0.5
PUBLISH_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 0.8
# Origins in one relay.
MAX_ORIGIN_BATCH = 10_000
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class FleetDependencies:
    """Dependencies of the fleet service.

    `incarnation` identifies this start of the replica; `stub_for` returns
    a stub for a method at an address.
    """

    incarnation: str
    replica: raft_replica.RaftReplica
    clock: clocks.Clock
    hub: fleet_hub.FleetHub
    origins: stream_origins.OriginHub
    listing: listing_store.ListingStore
    read_table: collections.abc.Callable[[bytes], routing_table.RoutingTable]
    stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler]


@dataclasses.dataclass
class _Relay:
    """What is still to be sent to one control replica, and its sender."""

    task: asyncio.Task
    pacer: pacers.Pacer
    origins: origin_backlog.OriginBacklog
    reports: dict[str, fm.EntryReport] = dataclasses.field(
        default_factory=dict
    )


class FleetService:
    """Serves reports, watches, relays between replicas and publishing."""

    def __init__(self, deps: FleetDependencies) -> None:
        self._deps = deps
        self._replica = deps.replica
        self._replica.on_apply = self._on_applied
        self._rounds = watch_rounds.WatchRounds(deps.clock)
        self._replies = watch_replies.WatchReplies(
            deps.incarnation,
            deps.replica,
            deps.clock,
            deps.hub,
            deps.listing,
        )
        deps.origins.on_change = lambda: self._request_relay(LOAD_RELAY_MS)
        self._relay_by_address: dict[str, _Relay] = {}
        self._followed_version = routing_table.NO_TABLE
        self._listing_told = ""

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                fleet_methods.REPORT: self._report,
                fleet_methods.RELAY: self._relay,
                fleet_methods.WATCH: self._watch,
                fleet_methods.PUBLISH: self._publish,
                fleet_methods.READ: self._read,
            },
        )

    def notify_watches(self) -> None:
        """Tell all watching instances now of a change outside the reports."""
        self._deps.hub.mark_changed()
        self._rounds.request(watch_rounds.Urgency.NOW)

    def notify_listing(self) -> None:
        """Wake watches and relays after a read of the platform's list."""
        self._observe_software()
        if self._deps.listing.digest != self._listing_told:
            self._tell_listing()
            self._request_relay(URGENT_RELAY_MS)
        else:
            self._request_relay(LOAD_RELAY_MS)

    def _tell_listing(self) -> None:
        self._listing_told = self._deps.listing.digest
        self._rounds.request(watch_rounds.Urgency.NOW)

    def _request_relay(self, interval_ms: float) -> None:
        for relay in self._relay_by_address.values():
            relay.pacer.act_after(interval_ms)

    def _observe_software(self) -> None:
        listing = self._deps.listing
        self._deps.origins.history.observe(
            listing.backends, listing.read_at_ms
        )

    def _on_applied(self) -> None:
        if self._replica.state.table.version != self._followed_version:
            self._follow_table()
            self._rounds.request(watch_rounds.Urgency.NOW)

    def _follow_table(self) -> None:
        """Keep origins for as long as the table in force needs them."""
        published = self._replica.state.table
        if published.version == self._followed_version:
            return
        self._followed_version = published.version
        try:
            table = self._deps.read_table(published.document)
        except errors.Failure as failure:
            _log.error("table not understood", why=failure.error.message)
            return
        self._deps.origins.retention.follow(table)

    async def run(self) -> None:
        """Answer watches, and relay reports to the other replicas."""
        self._follow_table()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._rounds.run())
            group.create_task(self._run_relays())

    async def _run_relays(self) -> None:
        while True:
            self._queue_relays()
            await self._deps.clock.sleep_ms(RELAY_INTERVAL_MS)

    def _queue_relays(self) -> None:
        """Queue new reports for each other replica's own sender task."""
        own = self._replica.member.address
        addresses = {
            member.address
            for member in self._replica.membership.members()
            if member.address != own
        }
        for address in addresses - set(self._relay_by_address):
            self._relay_by_address[address] = _Relay(
                asyncio.create_task(
                    supervision.run_supervised(
                        functools.partial(self._send_relays, address),
                        self._deps.clock,
                    )
                ),
                pacers.Pacer(self._deps.clock, RELAY_INTERVAL_MS),
                origin_backlog.OriginBacklog(self._deps.clock),
            )
        for address in set(self._relay_by_address) - addresses:
            self._relay_by_address.pop(address).task.cancel()
        reports = {
            report.instance: report
            for report in self._deps.hub.take_unforwarded()
        }
        origins = self._deps.origins.take_unforwarded()
        if reports or origins:
            for relay in self._relay_by_address.values():
                relay.reports.update(reports)
                relay.origins.add(origins.values())

    async def _send_relays(self, address: str) -> None:
        """Send pending reports to one replica; a slow one delays no other."""
        call = self._deps.stub_for(address, fleet_methods.RELAY)
        relay = self._relay_by_address[address]
        digest_sent = ""
        while True:
            await relay.pacer.wait()
            self._queue_relays()
            reports = tuple(relay.reports.values())
            relay.reports.clear()
            origins = relay.origins.take(MAX_ORIGIN_BATCH)
            listing = None
            if self._replica.leader_term is not None:
                listing = self._deps.listing.snapshot(digest_sent)
            if not reports and not origins and listing is None:
                continue
            try:
                await call(
                    fm.RelayRequest(reports, listing, origins),
                    timeout=RELAY_TIMEOUT_S,
                )
            except grpc.aio.AioRpcError as error:
                # Entry instances resend their reports every second.
                _log.debug(
                    "relay not sent", to=address, code=error.code().name
                )
                digest_sent = ""
                relay.origins.put_back(origins)
                continue
            if relay.origins:
                relay.pacer.act_after(URGENT_RELAY_MS)
            if listing is not None:
                digest_sent = listing.digest

    async def close(self) -> None:
        """Cancel the sender tasks."""
        tasks = [relay.task for relay in self._relay_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _report(self, request: fm.ReportRequest) -> fm.Acknowledgement:
        urgency = self._put((request.share,), direct=True)
        if urgency is not None:
            is_urgent = urgency is not watch_rounds.Urgency.LOADS
            self._request_relay(
                URGENT_RELAY_MS if is_urgent else LOAD_RELAY_MS
            )
        return fm.Acknowledgement()

    async def _relay(self, request: fm.RelayRequest) -> fm.Acknowledgement:
        self._put(request.shares, direct=False)
        for origin in request.origins:
            self._deps.origins.put(origin, direct=False)
        listing_changed = self._deps.listing.store_received(request.listing)
        if request.listing is not None:
            self._observe_software()
        if listing_changed:
            self._tell_listing()
        return fm.Acknowledgement()

    def _put(
        self, reports: tuple[fm.EntryReport, ...], direct: bool
    ) -> watch_rounds.Urgency | None:
        """Store reports; return how soon the others must know of them."""
        hub = self._deps.hub
        before = hub.change_number
        for report in reports:
            hub.put(report, direct)
        urgency = self._urgency_since(before)
        if urgency is not None:
            self._rounds.request(urgency)
        return urgency

    def _urgency_since(self, seen: int) -> watch_rounds.Urgency | None:
        """Return how soon a watcher must be told; None without a change."""
        hub = self._deps.hub
        if hub.change_number == seen:
            return None
        if hub.has_observations_since(seen):
            return watch_rounds.Urgency.NOW
        if hub.has_resends_since(seen):
            return watch_rounds.Urgency.RESENDS
        return watch_rounds.Urgency.LOADS

    async def _watch(
        self, request: fm.WatchRequest
    ) -> fm.WatchReply | msgspec.Raw:
        clock = self._deps.clock
        if request.boot != self._deps.incarnation:
            await clock.sleep_ms(FIRST_REPLY_MS)
            return self._replies.reply_to(request)
        until_ms = clock.now_ms() + watch_rounds.LONG_POLL_MS
        early_ms = until_ms - watch_rounds.EARLY_REPLY_MS
        while True:
            urgency = self._urgency_for(request)
            if urgency is not None:
                self._rounds.request(urgency)
            await self._rounds.wait(until_ms)
            if (
                self._urgency_for(request) is not None
                or clock.now_ms() >= early_ms
            ):
                return self._replies.reply_to(request)

    def _urgency_for(
        self, request: fm.WatchRequest
    ) -> watch_rounds.Urgency | None:
        if (
            self._replica.state.table.version > request.table_version
            or self._deps.listing.digest != request.listing_digest
        ):
            return watch_rounds.Urgency.NOW
        return self._urgency_since(request.seen)

    async def _publish(self, request: fm.PublishRequest) -> fm.PublishReply:
        return await self.publish(request, forward=False)

    async def _read(self, request: fm.ReadRequest) -> fm.ReadReply:
        return await self.read(forward=False)

    async def publish(
        self, request: fm.PublishRequest, forward: bool = True
    ) -> fm.PublishReply:
        """Commit a document here or forward it to the leader.

        A document that is already committed is acknowledged without another
        log entry.
        """
        table = self._replica.state.table
        if published_table.is_already_published(
            table, request.version, request.digest
        ):
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
            return await self._call_leader(
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
        """Return the newest document, confirmed by a majority.

        Without that confirmation the reply contains no document.
        """
        unconfirmed = fm.ReadReply(self._replica.state.table.version, None)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._replica.read_barrier()
        except TimeoutError:
            return unconfirmed
        except replicas.NotLeader as error:
            if not forward or error.hint is None:
                return unconfirmed
            return await self._call_leader(
                error.hint,
                fleet_methods.READ,
                fm.ReadRequest(),
                READ_TIMEOUT_S,
                unconfirmed,
            )
        table = self._replica.state.table
        return fm.ReadReply(table.version, table.document)

    async def _call_leader(
        self, address, method, request, timeout_s, fallback
    ):
        call = self._deps.stub_for(address, method)
        try:
            return await call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            _log.warning(
                "control leader did not answer",
                method=method.name,
                address=address,
                code=error.code().name,
            )
            return fallback
