"""Keeps the routing table of an entry instance up to date.

Watch replies announce a version; its document is fetched apart from them, in
pieces, so that neither outlasts the time in which a silent replica must be
noticed. Control replicas of earlier builds have no pieces and are asked for
the whole document.
"""

import asyncio
import collections.abc
import dataclasses

import grpc
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import document_transfer
from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc
from oriolejunction import routing_table

# Until then, the replicas elect a leader after all of them started again, and
# the instance asks each of them.
OLD_TABLE_WAIT_MS = 2_000.0
RETRY_DELAY_MS = 50.0
MAX_RETRY_DELAY_MS = 800.0
# 1.2 MB on a link of 3.75 Mbit/s that is three quarters full.
WHOLE_TIMEOUT_S = 10.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class FollowerDependencies:
    """Dependencies of the follower.

    `replicas` returns the addresses of the control replicas, the best first.
    """

    instance: ids.InstanceId
    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    read_table: collections.abc.Callable[[bytes], routing_table.RoutingTable]
    replicas: collections.abc.Callable[[], list[str]]
    stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler]


@dataclasses.dataclass(frozen=True)
class _HeldBack:
    """A document of a replica without a leader, and since when."""

    document: bytes
    version: routing_table.TableVersion
    since_ms: float


class TableFollower:
    """Fetches announced tables and puts them in force."""

    def __init__(self, deps: FollowerDependencies) -> None:
        self._deps = deps
        self._transfer = document_transfer.DocumentTransfer()
        # The newest version that a replica has.
        self.announced = routing_table.NO_TABLE
        self._is_behind = asyncio.Event()
        self._held_back: _HeldBack | None = None
        # The newest version whose document can't be read here.
        self._unreadable = routing_table.NO_TABLE
        self._begun_ms: float | None = None
        # Failed requests since the transfer began, and in a row.
        self._failures = 0
        self._failures_in_row = 0
        # Since when the table in force is, and a newer one is announced.
        self._in_force_since_ms = deps.clock.now_ms()
        self._behind_since_ms: float | None = None
        self._last_failure = ""
        # Replicas that were asked in vain since the last piece.
        self._failed: set[str] = set()
        self._write_table = deps.blackboard.table.claim_writer(
            "table_follower"
        )

    @property
    def held(self) -> routing_table.TableVersion:
        """Return the version in force here."""
        table = self._deps.blackboard.table.read()
        return routing_table.NO_TABLE if table is None else table.version

    def status(self) -> dict[str, object]:
        """Return what operators may ask about the table, by name."""
        now_ms = self._deps.clock.now_ms()
        behind_since_ms = self._behind_since_ms
        is_behind = self._needs_document() and behind_since_ms is not None
        return {
            "table_version": (
                None if self.held == routing_table.NO_TABLE else self.held
            ),
            "table_age_ms": round(now_ms - self._in_force_since_ms),
            "table_announced": self.announced,
            "table_behind_ms": (
                round(now_ms - behind_since_ms) if is_behind else 0
            ),
            "table_bytes_left": (
                self._transfer.size - self._transfer.received_bytes
            ),
            "table_failure": self._last_failure if is_behind else "",
        }

    def observe(self, reply: fm.WatchReply) -> None:
        """Take note of the version that a control replica has."""
        if reply.table_version > self.announced:
            if not self._needs_document():
                self._behind_since_ms = self._deps.clock.now_ms()
            self.announced = reply.table_version
            self._failed.clear()
            self._failures_in_row = 0
            self._is_behind.set()
        held_back = self._held_back
        if held_back is not None:
            is_newest = reply.table_version <= held_back.version
            self._offer(
                held_back.version,
                held_back.document,
                reply.fresh and is_newest,
            )

    async def run(self) -> None:
        """Fetch announced tables until cancelled."""
        while True:
            await self._is_behind.wait()
            if not self._needs_document():
                self._is_behind.clear()
                self._begun_ms = None
                self._failures = 0
                continue
            if self._begun_ms is None:
                self._begun_ms = self._deps.clock.now_ms()
            address = self._choose_replica()
            if address is None or not await self._fetch_from(address):
                delay_ms = RETRY_DELAY_MS * 2.0**self._failures_in_row
                self._failures_in_row += 1
                await self._deps.clock.sleep_ms(
                    min(MAX_RETRY_DELAY_MS, delay_ms)
                )

    def _needs_document(self) -> bool:
        available = max(self.held, self._unreadable)
        if self._held_back is not None:
            available = max(available, self._held_back.version)
        return self.announced > available

    def _choose_replica(self) -> str | None:
        """Return the best replica that has not failed since the last piece."""
        candidates = self._deps.replicas()
        untried = [each for each in candidates if each not in self._failed]
        if not untried:
            self._failed.clear()
        return next(iter(untried or candidates), None)

    async def _fetch_from(self, address: str) -> bool:
        """Ask a replica for what is missing; return whether it had some."""
        call = self._deps.stub_for(address, fleet_methods.TABLE)
        try:
            piece = await call(
                self._transfer.next_request(self.held),
                timeout=self._transfer.timeout_ms / 1e3,
            )
            if piece.version <= self.held:
                self._record_failure(address, "no newer table")
                return False
            received = self._transfer.add(piece)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.UNIMPLEMENTED:
                return await self._fetch_whole_from(address)
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._transfer.record_timeout()
            self._record_failure(address, error.code().name)
            return False
        except document_transfer.PieceRejected as error:
            self._record_failure(address, str(error))
            return False
        self._record_progress()
        if received is not None:
            self._log_received(
                address,
                received.version,
                bytes=len(received.content),
                compressed_bytes=received.compressed_bytes,
                pieces=received.pieces,
            )
            self._offer(received.version, received.content, piece.fresh)
        return True

    async def _fetch_whole_from(self, address: str) -> bool:
        """Ask a replica of an earlier build for its whole document."""
        call = self._deps.stub_for(address, fleet_methods.WATCH)
        request = fm.WatchRequest(
            self._deps.instance, self.held, "", fm.NO_CHANGE_SEEN
        )
        try:
            reply = await call(request, timeout=WHOLE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._record_failure(address, error.code().name)
            return False
        if reply.document is None:
            self._record_failure(address, "no newer table")
            return False
        self._record_progress()
        self._log_received(
            address, reply.table_version, bytes=len(reply.document)
        )
        self._offer(reply.table_version, reply.document, reply.fresh)
        return True

    def _record_failure(self, address: str, why: str) -> None:
        self._failed.add(address)
        self._failures += 1
        self._last_failure = f"{address}: {why}"
        _log.warning(
            "table not received",
            replica=address,
            why=why,
            attempt=self._failures,
            version=self.announced,
            before=self.held,
            received_bytes=self._transfer.received_bytes,
            bytes=self._transfer.size,
        )

    def _record_progress(self) -> None:
        self._failed.clear()
        self._failures_in_row = 0

    def _log_received(
        self,
        address: str,
        version: routing_table.TableVersion,
        **sizes: int,
    ) -> None:
        now_ms = self._deps.clock.now_ms()
        _log.info(
            "table received",
            replica=address,
            version=version,
            before=self.held,
            failures=self._failures,
            took_ms=round(now_ms - (self._begun_ms or now_ms)),
            **sizes,
        )
        # The next transfer, if a newer version was announced meanwhile.
        self._begun_ms = now_ms
        self._failures = 0

    def _offer(
        self,
        version: routing_table.TableVersion,
        document: bytes,
        is_fresh: bool,
    ) -> None:
        """Put a table in force, or hold it back.

        A replica that has lost touch with the leader may hold a table whose
        keys were withdrawn since. Without any other, it is used late.
        """
        now_ms = self._deps.clock.now_ms()
        if is_fresh or self._deps.blackboard.table.read() is not None:
            self._apply(version, document)
            return
        if self._held_back is None:
            self._held_back = _HeldBack(document, version, now_ms)
        elif version > self._held_back.version:
            self._held_back = dataclasses.replace(
                self._held_back, document=document, version=version
            )
        waited_ms = now_ms - self._held_back.since_ms
        _log.info(
            "table of a replica without a leader",
            version=version,
            waited_ms=round(waited_ms),
            in_force=waited_ms >= OLD_TABLE_WAIT_MS,
        )
        if waited_ms >= OLD_TABLE_WAIT_MS:
            self._apply(version, document)

    def _apply(
        self, version: routing_table.TableVersion, document: bytes
    ) -> None:
        self._held_back = None
        began_ms = self._deps.clock.now_ms()
        current = self._deps.blackboard.table.read()
        try:
            table = self._deps.read_table(document)
        except errors.Failure as failure:
            self._unreadable = version
            _log.error(
                "table not understood",
                version=version,
                why=failure.error.message,
            )
            return
        if current is not None:
            if table.version <= current.version:
                return
            invariants.require_rising_revision(current.version, table.version)
        self._write_table(table)
        self._in_force_since_ms = self._deps.clock.now_ms()
        _log.info(
            "table in force",
            version=table.version,
            before=current and current.version,
            routes=len(table.routes),
            workspaces=len(table.workspaces),
            read_ms=round(self._deps.clock.now_ms() - began_ms),
        )
