"""Keeps an instance's configuration and its lease up to date.

Renewals of the lease announce a revision. Its content is fetched apart from
them, in pieces, so that a large one on a thin link ends no lease. Leaders of
earlier builds send the whole content with a renewal.
"""

import asyncio
import contextlib
import secrets

import msgspec
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import document_transfer
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import messages
from oriolejunction.peers import control_client
from oriolejunction.peers import pacer as pacers
from oriolejunction import states

LEASE_RENEW_INTERVAL_MS = 400
RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 1_600.0
_LEAVING_STATES = (states.InstanceState.LEAVING, states.InstanceState.DRAINING)
_WRITER = "configuration_watch"
_decode = msgspec.msgpack.Decoder(configuration.Configuration).decode
_log = structlog.get_logger(__name__)


class ConfigurationWatch:
    """Renews the lease and publishes the configuration in force."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        zone: ids.ZoneId,
        clock: clocks.Clock,
        blackboard: blackboards.Blackboard,
        control: control_client.ControlClient,
        peer_address: str = "",
    ) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._clock = clock
        self._blackboard = blackboard
        self._control = control
        self._peer_address = peer_address
        self._peers_digest = 0
        self._write_instances = blackboard.instance_by_id.claim_writer(_WRITER)
        self._incarnation = secrets.token_hex(8)
        self._write_in_force = blackboard.in_force.claim_writer(_WRITER)
        self._write_lease = blackboard.lease.claim_writer(_WRITER)
        self._announced = ids.NO_REVISION
        self._is_behind = asyncio.Event()
        self._transfer = document_transfer.DocumentTransfer()
        self._renewals = pacers.Pacer(clock, LEASE_RENEW_INTERVAL_MS)

    async def run(self) -> None:
        """Renew the lease and follow the configuration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_renewals())
            group.create_task(self._run_transfers())

    async def _run_renewals(self) -> None:
        while True:
            with contextlib.suppress(errors.Failure):
                await self.renew()
            await self._renewals.wait()

    async def renew(self) -> None:
        """Renew once.

        The duration of the lease is counted from when the request was sent.
        Raise `Failure` with `ControlUnavailable`.
        """
        sent_ms = self._clock.now_ms()
        applied = self._applied_revision()
        reply = await self._control.renew(
            messages.RenewRequest(
                instance=self._instance_id,
                zone=self._zone,
                incarnation=self._incarnation,
                applied=applied,
                leaving=self._blackboard.instance_state.read()
                in _LEAVING_STATES,
                peer_address=self._peer_address,
                known_peers=self._peers_digest,
                fetches_content=True,
            )
        )
        invariants.require_rising_revision(applied, reply.revision)
        self._announced = reply.revision
        if reply.configuration is not None:
            self._apply(reply.revision, reply.configuration)
        elif reply.revision > applied:
            self._is_behind.set()
        self._write_lease(
            blackboards.ConfigurationLease(sent_ms + reply.lease_ms)
        )
        self._write_peers(reply)

    async def _run_transfers(self) -> None:
        """Fetch the content of announced revisions."""
        delay_ms = RETRY_DELAY_MS
        while True:
            await self._is_behind.wait()
            if self._announced <= self._applied_revision():
                self._is_behind.clear()
                continue
            try:
                await self._fetch_piece()
            except errors.Failure as failure:
                self._transfer.record_timeout()
                self._log_failure(failure.error.message)
            except (document_transfer.PieceRejected, ValueError) as error:
                self._log_failure(str(error))
            else:
                delay_ms = RETRY_DELAY_MS
                continue
            await self._clock.sleep_ms(delay_ms)
            delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * delay_ms)

    async def _fetch_piece(self) -> None:
        applied = self._applied_revision()
        piece = await self._control.content(
            self._transfer.next_request(applied), self._transfer.timeout_ms
        )
        if piece.version <= applied:
            raise document_transfer.PieceRejected("no newer configuration")
        received = self._transfer.add(piece)
        if received is not None and received.version > applied:
            self._apply(
                ids.Revision(received.version), _decode(received.content)
            )

    def _log_failure(self, why: str) -> None:
        _log.warning(
            "configuration not received",
            why=why,
            revision=self._announced,
            received_bytes=self._transfer.received_bytes,
            bytes=self._transfer.size,
        )

    def _apply(
        self, revision: ids.Revision, content: configuration.Configuration
    ) -> None:
        invariants.require_rising_revision(self._applied_revision(), revision)
        self._write_in_force(blackboards.InForce(revision, content))
        _log.info("configuration applied", revision=revision)
        # Orders are acknowledged once all instances have told it.
        self._renewals.act_after(0.0)

    def _write_peers(self, reply: messages.RenewReply) -> None:
        if reply.peers is None:
            return
        self._peers_digest = reply.peers_digest
        self._write_instances({peer.instance: peer for peer in reply.peers})

    def _applied_revision(self) -> ids.Revision:
        current = self._blackboard.in_force.read()
        return current.revision if current else ids.NO_REVISION


async def stop_task(task: asyncio.Task) -> None:
    """Cancel a background task and wait until it has ended."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
