"""Keeps an instance's configuration and its lease up to date."""

import asyncio
import contextlib
import secrets

import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import messages
from oriolejunction.peers import control_client
from oriolejunction import states

LEASE_RENEW_INTERVAL_MS = 400
_LEAVING_STATES = (states.InstanceState.LEAVING, states.InstanceState.DRAINING)
_WRITER = "configuration_watch"
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

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            with contextlib.suppress(errors.Failure):
                while await self.renew():
                    pass
            await self._clock.sleep_ms(LEASE_RENEW_INTERVAL_MS)

    async def renew(self) -> bool:
        """Renew once; return whether a newer revision was applied.

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
            )
        )
        invariants.require_rising_revision(applied, reply.revision)
        if reply.configuration is not None:
            self._write_in_force(
                blackboards.InForce(reply.revision, reply.configuration)
            )
            _log.info("configuration applied", revision=reply.revision)
        self._write_lease(
            blackboards.ConfigurationLease(sent_ms + reply.lease_ms)
        )
        self._write_peers(reply)
        return reply.configuration is not None

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
