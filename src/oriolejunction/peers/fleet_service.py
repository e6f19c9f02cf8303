"""The Fleet gRPC service of a control replica.

Entry instances send their reports and watch for changes. Control replicas
relay reports, origins of streams and the platform's list to each other, and
forward documents and reads to the leader.
"""

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
from oriolejunction.controllers import origin_backlog
from oriolejunction.controllers import published_table
from oriolejunction.controllers import stream_origins
from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import rpc
from oriolejunction import routing_table
from oriolejunction import supervision

# A watch is answered at least this often, so that a missing answer means
# that the replica or the connection is lost.
LONG_POLL_MS = 400.0
# Changes within this delay are sent together. The delay grows with the
# number of entry instances, which bounds a replica's message rate.
MIN_BATCH_MS = 5.0
BATCH_MS_PER_ENTRY = 0.5
RELAY_INTERVAL_MS = 500.0
RELAY_TIMEOUT_S = 0.5
# Five heartbeat intervals of the leader.
LEADER_TIMEOUT_MS = 500.0
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
    has_updates: asyncio.Event
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
        self._changed = asyncio.Event()
        self._has_updates = asyncio.Event()
        deps.origins.on_change = self._has_updates.set
        self._relay_by_address: dict[str, _Relay] = {}
        self._followed_version = routing_table.NO_TABLE

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
        """Wake the watches that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def notify_listing(self) -> None:
        """Wake watches and relays after a read of the platform's list."""
        self._observe_software()
        self.notify_watches()
        for relay in self._relay_by_address.values():
            relay.has_updates.set()

    def _observe_software(self) -> None:
        listing = self._deps.listing
        self._deps.origins.history.observe(
            listing.backends, listing.read_at_ms
        )

    def _on_applied(self) -> None:
        self._follow_table()
        self.notify_watches()
        self._has_updates.set()

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
        """Relay entry reports to the other control replicas."""
        self._follow_table()
        while True:
            self._queue_relays()
            await self._wait_for_update(self._has_updates)
            await self._deps.clock.sleep_ms(self._batch_delay_ms())

    async def _wait_for_update(self, has_updates: asyncio.Event) -> None:
        """Wait for an update, for at most RELAY_INTERVAL_MS."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELAY_INTERVAL_MS / 1e3):
                await has_updates.wait()
        has_updates.clear()

    def _batch_delay_ms(self) -> float:
        return max(
            MIN_BATCH_MS, BATCH_MS_PER_ENTRY * self._deps.hub.entry_count()
        )

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
                asyncio.Event(),
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
                relay.has_updates.set()

    async def _send_relays(self, address: str) -> None:
        """Send pending reports to one replica; a slow one delays no other."""
        call = self._deps.stub_for(address, fleet_methods.RELAY)
        relay = self._relay_by_address[address]
        digest_sent = ""
        while True:
            await self._wait_for_update(relay.has_updates)
            await self._deps.clock.sleep_ms(self._batch_delay_ms())
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
                relay.has_updates.set()
            if listing is not None:
                digest_sent = listing.digest

    async def close(self) -> None:
        """Cancel the sender tasks."""
        tasks = [relay.task for relay in self._relay_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _report(self, request: fm.ReportRequest) -> fm.Acknowledgement:
        if self._deps.hub.put(request.share, direct=True):
            self.notify_watches()
            self._has_updates.set()
        return fm.Acknowledgement()

    async def _relay(self, request: fm.RelayRequest) -> fm.Acknowledgement:
        hub = self._deps.hub
        changed = [hub.put(report, direct=False) for report in request.shares]
        for origin in request.origins:
            self._deps.origins.put(origin, direct=False)
        listing_changed = self._deps.listing.store_received(request.listing)
        if request.listing is not None:
            self._observe_software()
        if listing_changed or any(changed):
            self.notify_watches()
        return fm.Acknowledgement()

    async def _watch(self, request: fm.WatchRequest) -> fm.WatchReply:
        clock = self._deps.clock
        deadline_ms = clock.now_ms() + LONG_POLL_MS
        await clock.sleep_ms(self._batch_delay_ms())
        while not self._has_changed(request):
            remaining_ms = deadline_ms - clock.now_ms()
            if remaining_ms <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_ms / 1e3):
                    await changed.wait()
            except TimeoutError:
                break
        return self._watch_reply(request)

    def _has_changed(self, request: fm.WatchRequest) -> bool:
        return (
            self._replica.state.table.version > request.table_version
            or self._deps.listing.digest != request.listing_digest
            or self._deps.hub.change_number != request.seen
            or self._deps.incarnation != request.boot
        )

    def _watch_reply(self, request: fm.WatchRequest) -> fm.WatchReply:
        hub = self._deps.hub
        table = self._replica.state.table
        document_known = table.version <= request.table_version
        same_incarnation = request.boot == self._deps.incarnation
        update = hub.update_for(
            request.instance,
            request.seen if same_incarnation else fm.NO_CHANGE_SEEN,
        )
        return fm.WatchReply(
            fresh=self._replica.is_connected(LEADER_TIMEOUT_MS),
            seen=update.seen,
            boot=self._deps.incarnation,
            table_version=table.version,
            document=None if document_known else table.document,
            listing=self._deps.listing.snapshot(request.listing_digest),
            whole=update.complete,
            loads=update.loads,
            suspects=update.suspects,
            crashes=update.crashes,
            answered=update.answered,
            part_crashes=update.part_crashes,
            cleared_parts=update.cleared_parts,
            blocked_parts=update.blocked_parts,
            limits=update.limits,
            helpers=update.helpers,
            leaving=update.leaving,
            speeds=update.speeds,
            entries=max(1, hub.entry_count()),
            uses=hub.uses_of_others(request.instance),
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
