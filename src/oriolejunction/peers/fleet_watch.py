"""An entry instance's watch of the control replicas.

It watches one replica at a time, one in its own availability zone where
there is one, and goes on to another as soon as a watch fails or the replica
has lost touch with the leader.
"""

import asyncio
import collections.abc
import dataclasses
import random

import grpc
import structlog

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_sight
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import rpc
from oriolejunction import routing_table

# A replica answers a watch within 400 ms; the rest is for the network.
WATCH_TIMEOUT_S = 0.7
SHARE_TIMEOUT_S = 0.4
SHARE_GAP_MS = 5.0
SHARE_IDLE_MS = 1_000.0
RETRY_PAUSE_MS = 50.0
# A replica that failed is passed over for a while.
AVOID_MS = 3_000.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class WatchParts:
    """What the watch works with.

    `seeds` returns the peer addresses of the control replicas that the
    settings name; `share` returns this instance's own share.
    """

    instance: ids.InstanceId
    zone: ids.ZoneId
    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    listing: listing_store.ListingStore
    seeds: collections.abc.Callable[[], list[str]]
    share: collections.abc.Callable[[], fm.EntryShare]
    read_table: collections.abc.Callable[[bytes], routing_table.RoutingTable]
    caller: collections.abc.Callable[[str, rpc.Method], rpc.Handler]
    rng: random.Random


class FleetWatch:
    """Keeps the table, the backend servers and the others' loads known."""

    def __init__(self, parts: WatchParts) -> None:
        self._parts = parts
        self._zone_by_address: dict[str, str] = {}
        self._failed_at_ms: dict[str, float] = {}
        self._current: str | None = None
        self._seen = fm.UNSEEN
        self._boot = ""
        self._in_touch = False
        self._listed: tuple[backends.Backend, ...] = ()
        self._by_id: dict[ids.BackendId, backends.Backend] = {}
        self._share_changed = asyncio.Event()
        board = parts.blackboard
        self._write_table = board.table.own("fleet_watch")
        self._write_fleet = board.fleet.own("fleet_watch")
        self._write_backends = board.backends.own("fleet_watch")

    def note_share(self) -> None:
        """Tell the others soon that the own share changed."""
        self._share_changed.set()

    def publish_listing(self) -> None:
        """Put the list held on the blackboard."""
        listing = self._parts.listing
        if listing.backends is not self._listed:
            self._listed = listing.backends
            self._by_id = {each.backend_id: each for each in self._listed}
        self._write_backends(
            backends.KnownBackends(self._by_id, listing.read_at_ms)
        )

    async def run(self) -> None:
        """Watch for as long as the instance lives."""
        while True:
            address = self._choose()
            if address is None:
                await self._parts.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            await self._watch(address)

    async def run_shares(self) -> None:
        """Tell the own share when it changes, and once a second."""
        clock = self._parts.clock
        while True:
            try:
                async with asyncio.timeout(SHARE_IDLE_MS / 1e3):
                    await self._share_changed.wait()
            except TimeoutError:
                pass
            self._share_changed.clear()
            if self._current is not None:
                await self._tell_share(self._current)
            await clock.sleep_ms(SHARE_GAP_MS)

    async def _tell_share(self, address: str) -> None:
        call = self._parts.caller(address, fleet_methods.SHARE)
        try:
            await call(fm.Share(self._parts.share()), timeout=SHARE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            _log.debug("share not told", to=address, code=error.code().name)
            self._share_changed.set()

    def _choose(self) -> str | None:
        """Return the replica to watch: sound ones first, then near ones."""
        known = {*self._zone_by_address, *self._parts.seeds()}
        if not known:
            return None
        now_ms = self._parts.clock.now_ms()

        def key(address: str) -> tuple:
            failed_ms = self._failed_at_ms.get(address, float("-inf"))
            avoided = now_ms - failed_ms < AVOID_MS
            zone = self._zone_by_address.get(address)
            return (
                failed_ms if avoided else 0.0,
                zone != self._parts.zone,
                address != self._current,
                self._parts.rng.random(),
            )

        return min(known, key=key)

    async def _watch(self, address: str) -> None:
        if address != self._current:
            self._current = address
            self._share_changed.set()
        table = self._parts.blackboard.table.read()
        request = fm.Watch(
            self._parts.instance,
            routing_table.NO_TABLE if table is None else table.version,
            self._parts.listing.digest,
            self._seen,
            self._boot,
        )
        call = self._parts.caller(address, fleet_methods.WATCH)
        try:
            sight = await call(request, timeout=WATCH_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._leave(address, error.code().name)
            await self._parts.clock.sleep_ms(RETRY_PAUSE_MS)
            return
        self._take(sight)
        if not sight.fresh:
            self._leave(address, "replica has lost touch with the leader")
            await self._parts.clock.sleep_ms(RETRY_PAUSE_MS)
            return
        if not self._in_touch:
            _log.info("control regained", replica=address)
        self._in_touch = True
        self._failed_at_ms.pop(address, None)

    def _leave(self, address: str, why: str) -> None:
        now_ms = self._parts.clock.now_ms()
        if self._in_touch:
            _log.warning("control replica left", replica=address, why=why)
        self._in_touch = False
        self._failed_at_ms[address] = now_ms

    def _take(self, sight: fm.Sight) -> None:
        if sight.replicas:
            self._zone_by_address = dict(sight.replicas)
        if sight.document is not None:
            self._take_table(sight.document)
        if self._parts.listing.put_told(sight.listing):
            _log.info(
                "backend servers changed",
                count=len(self._parts.listing.backends),
                age_ms=clocks.rounded_age(self._parts.listing.age_ms),
            )
        self.publish_listing()
        held = self._parts.blackboard.fleet.read()
        now_ms = self._parts.clock.now_ms()
        if sight.seen == self._seen and sight.boot == self._boot:
            self._write_fleet(
                dataclasses.replace(held, at_ms=now_ms, entries=sight.entries)
            )
            return
        self._seen, self._boot = sight.seen, sight.boot
        self._write_fleet(fleet_sight.updated(held, sight, now_ms))

    def _take_table(self, document: bytes) -> None:
        held = self._parts.blackboard.table.read()
        try:
            table = self._parts.read_table(document)
        except errors.Failure as failure:
            _log.error("table not understood", why=failure.error.message)
            return
        if held is not None:
            if table.version <= held.version:
                return
            invariants.require_rising_revision(held.version, table.version)
        self._write_table(table)
        _log.info(
            "table in force",
            version=table.version,
            routes=len(table.routes),
            workspaces=len(table.workspaces),
        )
