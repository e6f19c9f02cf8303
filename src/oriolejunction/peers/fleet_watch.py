"""Watches the control replicas for an entry instance.

One replica is watched at a time, preferably one in the instance's own
availability zone. The watch moves to another as soon as a call fails or the
replica is no longer connected to the leader.
"""

import collections.abc
import dataclasses
import random

import structlog

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_sums
from oriolejunction import ids
from oriolejunction import listeners
from oriolejunction.peers import fleet_session
from oriolejunction.peers import listing_store
from oriolejunction.peers import pacer as pacers
from oriolejunction.peers import table_follower

# Least times between reports: of what the others must know within 100 ms, and
# of loads, which reach them with the replica's next load round.
URGENT_REPORT_MS = 20.0
LOAD_REPORT_MS = 40.0
REPORT_INTERVAL_MS = 1_000.0
RETRY_DELAY_MS = 50.0
# A replica that failed is the last choice for this long.
AVOID_FAILED_MS = 3_000.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class WatchDependencies:
    """Dependencies of the fleet watch.

    `seeds` returns the peer addresses of the control replicas that the
    settings name; `report` returns this instance's current report. `on_move`
    is called once another replica, or another incarnation, has answered.
    `on_reply` is called with each reply, once its list is in use, and with
    when it was asked for. `boot` is this incarnation of the instance.
    """

    instance: ids.InstanceId
    boot: str
    zone: ids.ZoneId
    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    listing: listing_store.ListingStore
    seeds: collections.abc.Callable[[], list[str]]
    report: collections.abc.Callable[[], fm.EntryReport]
    tables: table_follower.TableFollower
    session: fleet_session.FleetSession
    rng: random.Random
    on_move: listeners.OnChange
    on_reply: collections.abc.Callable[[fm.WatchReply, float], None] = (
        lambda reply, sent_ms: None
    )


class FleetWatch:
    """Keeps the routing table, backend servers and fleet view current."""

    def __init__(self, deps: WatchDependencies) -> None:
        self._deps = deps
        self._zone_by_address: dict[str, str] = {}
        self._failed_at_ms: dict[str, float] = {}
        self._current: str | None = None
        self._seen = fm.NO_CHANGE_SEEN
        self._replica_incarnation = ""
        self._connected = False
        # Watches in a row that got no reply.
        self._failures = 0
        self._published_backends: tuple[backends.Backend, ...] = ()
        self._report_pacer = pacers.Pacer(deps.clock, REPORT_INTERVAL_MS)
        self._others = fleet_sums.OthersSums(deps.clock)
        board = deps.blackboard
        self._write_fleet = board.fleet.claim_writer("fleet_watch")
        self._write_backends = board.backends.claim_writer("fleet_watch")

    def notify_report(self) -> None:
        """Send this instance's report, which the others need at once."""
        self._report_pacer.act_after(URGENT_REPORT_MS)

    def notify_loads(self) -> None:
        """Send this instance's report soon, since its loads changed."""
        self._report_pacer.act_after(LOAD_REPORT_MS)

    def publish_listing(self) -> None:
        """Write a changed list of backend servers to the blackboard."""
        listing = self._deps.listing
        if listing.backends is self._published_backends:
            return
        self._published_backends = listing.backends
        self._write_backends(
            backends.BackendSnapshot(
                {each.backend_id: each for each in listing.backends},
                listing.read_at_ms,
            )
        )

    async def run(self) -> None:
        """Watch the control replicas until cancelled."""
        while True:
            address = self._choose_replica()
            if address is None:
                await self._deps.clock.sleep_ms(RETRY_DELAY_MS)
                continue
            await self._watch(address)

    async def run_reports(self) -> None:
        """Send the report when it changes, and at least once a second."""
        while True:
            await self._report_pacer.wait()
            if self._current is not None:
                await self._send_report(self._current)

    async def _send_report(self, address: str) -> None:
        report = self._deps.report()
        self._others.record_report(report)
        try:
            await self._deps.session.report(address, report)
        except fleet_session.ReplicaLost as error:
            _log.debug("report not sent", to=address, why=str(error))
            self.notify_report()

    def _choose_replica(self) -> str | None:
        """Return the replica to watch, None if no replica is known."""
        return next(iter(self.replicas()), None)

    def replicas(self) -> list[str]:
        """Return the addresses of all known replicas, the best one first.

        Replicas without a recent failure come first, then replicas in the
        instance's own availability zone, then the one watched now.
        """
        candidates = {*self._zone_by_address, *self._deps.seeds()}
        now_ms = self._deps.clock.now_ms()

        def rank(address: str) -> tuple:
            failed_ms = self._failed_at_ms.get(address, float("-inf"))
            avoided = now_ms - failed_ms < AVOID_FAILED_MS
            zone = self._zone_by_address.get(address)
            return (
                failed_ms if avoided else 0.0,
                zone != self._deps.zone,
                address != self._current,
                self._deps.rng.random(),
            )

        return sorted(candidates, key=rank)

    async def _watch(self, address: str) -> None:
        if address != self._current:
            self._current = address
            self.notify_report()
        request = fm.WatchRequest(
            self._deps.instance,
            fm.NO_DOCUMENTS,
            self._deps.listing.digest,
            self._seen,
            self._replica_incarnation,
            self._deps.boot,
            self._deps.tables.announced,
        )
        sent_ms = self._deps.clock.now_ms()
        try:
            reply = await self._deps.session.watch(address, request)
        except fleet_session.ReplicaLost as error:
            self._log_failure(address, sent_ms, str(error))
            self._mark_failed(address, str(error))
            # Reports that were on their way may be lost, too.
            self.notify_report()
            await self._deps.clock.sleep_ms(RETRY_DELAY_MS)
            return
        self._apply_reply(reply, sent_ms)
        self._failures = 0
        if not reply.fresh:
            self._mark_failed(
                address, "replica has lost touch with the leader"
            )
            await self._deps.clock.sleep_ms(RETRY_DELAY_MS)
            return
        if not self._connected:
            _log.info("control regained", replica=address)
        self._connected = True
        self._failed_at_ms.pop(address, None)

    def _log_failure(self, address: str, sent_ms: float, why: str) -> None:
        self._failures += 1
        _log.warning(
            "watch got no reply",
            replica=address,
            why=why,
            attempt=self._failures,
            waited_ms=round(self._deps.clock.now_ms() - sent_ms),
            table_version=self._deps.tables.held,
            announced=self._deps.tables.announced,
        )

    def _mark_failed(self, address: str, why: str) -> None:
        now_ms = self._deps.clock.now_ms()
        if self._connected:
            _log.warning("control replica left", replica=address, why=why)
        self._connected = False
        self._failed_at_ms[address] = now_ms

    def _apply_reply(self, reply: fm.WatchReply, sent_ms: float) -> None:
        if reply.replicas:
            self._zone_by_address = dict(reply.replicas)
        self._deps.tables.observe(reply)
        if self._deps.listing.store_received(reply.listing):
            _log.info(
                "backend servers changed",
                count=len(self._deps.listing.backends),
                age_ms=clocks.round_age_ms(self._deps.listing.age_ms),
            )
        self.publish_listing()
        self._deps.on_reply(reply, sent_ms)
        current = self._deps.blackboard.fleet.read()
        if reply.boot != self._replica_incarnation:
            self._deps.on_move()
        view = self._others.apply(
            current,
            reply,
            has_changes=reply.seen != self._seen
            or reply.boot != self._replica_incarnation,
        )
        self._seen, self._replica_incarnation = reply.seen, reply.boot
        self._write_fleet(view)
