"""The Fleet gRPC service of a control replica.

Entry instances send their reports and watch for changes. Control replicas
relay reports, origins of streams and the platform's list to each other.
"""

import asyncio
import collections.abc
import dataclasses

import grpc
import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import raft_replica
from oriolejunction.controllers import document_pieces
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import stream_origins
from oriolejunction import document_messages
from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import report_relays
from oriolejunction.peers import rollout_control
from oriolejunction.peers import rpc
from oriolejunction.peers import watch_replies
from oriolejunction.peers import watch_rounds
from oriolejunction import routing_table

# The first reply of an instance, which may arrive with those of others.
FIRST_REPLY_MS = 5.0
# Replies with a list or, for earlier builds, a document; smaller ones take one
# to three packets.
COMPRESSED_FROM_BYTES = 4_096
_encode = msgspec.msgpack.Encoder().encode
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
    rollouts: rollout_control.NoRollouts = rollout_control.NoRollouts()


class FleetService:
    """Serves reports, watches, tables and relays between replicas."""

    def __init__(self, deps: FleetDependencies) -> None:
        self._deps = deps
        self._replica = deps.replica
        self._rollouts = deps.rollouts
        self._replica.on_apply = self._on_applied
        self._rounds = watch_rounds.WatchRounds(deps.clock)
        self._replies = watch_replies.WatchReplies(
            deps.incarnation,
            deps.replica,
            deps.clock,
            deps.hub,
            deps.listing,
            deps.rollouts,
        )
        deps.origins.on_change = lambda: self._relays.request(
            report_relays.ORIGIN_RELAY_MS
        )
        self._relays = report_relays.ReportRelays(
            deps.replica,
            deps.clock,
            deps.hub,
            deps.origins,
            deps.listing,
            deps.stub_for,
        )
        self._followed_version = routing_table.NO_TABLE
        self._pieces = document_pieces.DocumentPieces()
        self._listing_told = ""

    def add_to(self, server: grpc.aio.Server) -> None:
        """Serve on a gRPC server."""
        rpc.add_methods(
            server,
            {
                fleet_methods.REPORT: self._report,
                fleet_methods.RELAY: self._relay,
                fleet_methods.WATCH: self._watch,
                fleet_methods.TABLE: self._table,
            },
            {fleet_methods.SESSION: self._serve_session},
        )

    def notify_watches(self) -> None:
        """Tell all watching instances now of a change outside the reports."""
        self._deps.hub.mark_changed()
        self._rounds.request(watch_rounds.Urgency.NOW)

    def notify_listing(self) -> None:
        """Wake watches and relays after a read of the platform's list."""
        self._observe_software()
        self._rollouts.note_listing_read()
        if self._deps.listing.digest != self._listing_told:
            self._tell_listing()
            self._relays.request(report_relays.URGENT_RELAY_MS)
        else:
            self._relays.request(report_relays.LOAD_RELAY_MS)

    def _tell_listing(self) -> None:
        self._listing_told = self._deps.listing.digest
        self._rounds.request(watch_rounds.Urgency.NOW)

    def _observe_software(self) -> None:
        listing = self._deps.listing
        self._deps.origins.history.observe(
            listing.backends, listing.read_at_ms
        )
        self._deps.origins.store_versions()

    def _on_applied(self) -> None:
        if self._replica.state.table.version != self._followed_version:
            self._follow_table()
            self._rounds.request(watch_rounds.Urgency.NOW)
        if self._rollouts.have_orders_changed():
            self._rounds.request(watch_rounds.Urgency.NOW)

    def _follow_table(self) -> None:
        """Offer the table in force, and keep origins as it needs them."""
        published = self._replica.state.table
        if published.version == self._followed_version:
            return
        self._followed_version = published.version
        _log.info(
            "table applied",
            version=published.version,
            bytes=len(published.document),
        )
        self._pieces.add(published.version, published.document)
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
            group.create_task(self._relays.run())

    async def close(self) -> None:
        """Cancel the sender tasks."""
        await self._relays.close()

    async def _report(self, request: fm.ReportRequest) -> fm.Acknowledgement:
        self._take_report(request.share)
        return fm.Acknowledgement()

    def _take_report(self, report: fm.EntryReport) -> None:
        urgency = self._put((report,), direct=True)
        if self._rollouts.observe((report,)):
            self._relays.request(report_relays.LOAD_RELAY_MS)
        if urgency is not None:
            is_urgent = urgency is not watch_rounds.Urgency.LOADS
            self._relays.request(
                report_relays.URGENT_RELAY_MS
                if is_urgent
                else report_relays.LOAD_RELAY_MS
            )

    async def _relay(self, request: fm.RelayRequest) -> fm.Acknowledgement:
        self._put(request.shares, direct=False)
        for origin in request.origins:
            self._deps.origins.put(origin, direct=False)
        listing_changed = self._deps.listing.store_received(request.listing)
        self._rollouts.take_relay(request)
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

    async def _table(
        self, request: document_messages.PieceRequest
    ) -> document_messages.DocumentPiece:
        self._follow_table()
        return self._pieces.next_piece(
            request,
            self._replica.is_connected(watch_replies.LEADER_TIMEOUT_MS),
        )

    async def _serve_session(self, context: grpc.aio.ServicerContext) -> None:
        """Take reports and answer watches on one stream."""
        watches: asyncio.Queue[fm.WatchRequest | None] = asyncio.Queue()
        context.set_compression(grpc.Compression.Gzip)
        reader = asyncio.create_task(self._read_session(context, watches))
        try:
            while (request := await watches.get()) is not None:
                reply = _encode(await self._watch(request))
                if len(reply) < COMPRESSED_FROM_BYTES:
                    context.disable_next_message_compression()
                await context.write(msgspec.Raw(reply))
            await reader
        finally:
            reader.cancel()

    async def _read_session(
        self,
        context: grpc.aio.ServicerContext,
        watches: asyncio.Queue[fm.WatchRequest | None],
    ) -> None:
        try:
            while (message := await context.read()) is not grpc.aio.EOF:
                if message.report is not None:
                    self._take_report(message.report)
                if message.watch is not None:
                    watches.put_nowait(message.watch)
        finally:
            watches.put_nowait(None)

    def _urgency_for(
        self, request: fm.WatchRequest
    ) -> watch_rounds.Urgency | None:
        if (
            self._replica.state.table.version > _known_version(request)
            or self._deps.listing.digest != request.listing_digest
            or self._rollouts.has_changed(request)
        ):
            return watch_rounds.Urgency.NOW
        return self._urgency_since(request.seen)


def _known_version(
    request: fm.WatchRequest,
) -> routing_table.TableVersion:
    """Return the newest version that a watcher knows of."""
    if request.announced_version is None:
        return request.table_version
    return request.announced_version
