"""Relays entry reports, origins and the list between control replicas.

Load pattern: reports of dozens of entry instances arrive within a tenth of a
second. They go out together, at once only if one of them is urgent.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import itertools

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import raft_replica
from oriolejunction.controllers import batch_limit
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import origin_backlog
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import listing_store
from oriolejunction.peers import pacer as pacers
from oriolejunction.peers import rpc
from oriolejunction import supervision

# Least times between relays to a replica: for what instances must know within
# 100 ms, for origins, and for loads, which may be as old as the loads of the
# replica's own watchers. An origin that is not relayed yet is lost if its
# entry instance and one replica are, and its stream can't be taken up.
URGENT_RELAY_MS = 15.0
ORIGIN_RELAY_MS = 30.0
LOAD_RELAY_MS = 40.0
RELAY_INTERVAL_MS = 500.0
RELAY_TIMEOUT_S = 0.5
# Reports or origins in one relay.
MAX_BATCH = 10_000
_log = structlog.get_logger(__name__)


@dataclasses.dataclass
class _Relay:
    """What is still to be sent to one control replica, and its sender."""

    task: asyncio.Task
    pacer: pacers.Pacer
    origins: origin_backlog.OriginBacklog
    reports: dict[str, fm.EntryReport] = dataclasses.field(
        default_factory=dict
    )
    limit: batch_limit.BatchLimit = dataclasses.field(
        default_factory=lambda: batch_limit.BatchLimit(MAX_BATCH)
    )

    def take_reports(self) -> tuple[fm.EntryReport, ...]:
        """Remove and return the oldest reports, up to the limit."""
        taken = tuple(
            itertools.islice(self.reports.values(), self.limit.current)
        )
        for report in taken:
            del self.reports[report.instance]
        return taken


class ReportRelays:
    """Sends what entry instances report here to all other replicas."""

    def __init__(
        self,
        replica: raft_replica.RaftReplica,
        clock: clocks.Clock,
        hub: fleet_hub.FleetHub,
        origins: stream_origins.OriginHub,
        listing: listing_store.ListingStore,
        stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler],
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._hub = hub
        self._origins = origins
        self._listing = listing
        self._stub_for = stub_for
        self._relay_by_address: dict[str, _Relay] = {}

    def request(self, interval_ms: float) -> None:
        """Relay once `interval_ms` have passed since the relay before."""
        if not self._relay_by_address:
            # The group may have formed since the last look at its members.
            self._queue_relays()
        for relay in self._relay_by_address.values():
            relay.pacer.act_after(interval_ms)

    async def run(self) -> None:
        """Keep a sender for each other replica until cancelled."""
        while True:
            self._queue_relays()
            await self._clock.sleep_ms(RELAY_INTERVAL_MS)

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
                        self._clock,
                    )
                ),
                pacers.Pacer(self._clock, RELAY_INTERVAL_MS),
                origin_backlog.OriginBacklog(self._clock),
            )
        for address in set(self._relay_by_address) - addresses:
            self._relay_by_address.pop(address).task.cancel()
        reports = {
            report.instance: report for report in self._hub.take_unforwarded()
        }
        origins = self._origins.take_unforwarded()
        if reports or origins:
            for relay in self._relay_by_address.values():
                relay.reports.update(reports)
                relay.origins.add(origins.values())

    async def _send_relays(self, address: str) -> None:
        """Send pending reports to one replica; a slow one delays no other."""
        call = self._stub_for(address, fleet_methods.RELAY)
        relay = self._relay_by_address[address]
        digest_sent = ""
        while True:
            await relay.pacer.wait()
            self._queue_relays()
            reports = relay.take_reports()
            origins = relay.origins.take(relay.limit.current)
            count = max(len(reports), len(origins))
            listing = None
            if self._replica.leader_term is not None:
                listing = self._listing.snapshot(digest_sent)
            if not reports and not origins and listing is None:
                continue
            try:
                await call(
                    fm.RelayRequest(
                        reports, listing, origins, self._replica.last_index
                    ),
                    timeout=RELAY_TIMEOUT_S,
                )
            except grpc.aio.AioRpcError as error:
                _log.debug(
                    "relay not sent", to=address, code=error.code().name
                )
                digest_sent = ""
                relay.limit.record(count, False)
                relay.origins.put_back(origins)
                self._put_back(relay, reports)
                continue
            relay.limit.record(count, True)
            if relay.origins or relay.reports:
                relay.pacer.act_after(URGENT_RELAY_MS)
            if listing is not None:
                digest_sent = listing.digest

    def _put_back(
        self, relay: _Relay, reports: tuple[fm.EntryReport, ...]
    ) -> None:
        """Relay again what is still the newest report of its instance."""
        for report in reports:
            if self._hub.is_newest(report):
                relay.reports.setdefault(report.instance, report)
        relay.pacer.act_after(LOAD_RELAY_MS)

    async def close(self) -> None:
        """Cancel the sender tasks."""
        tasks = [relay.task for relay in self._relay_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
