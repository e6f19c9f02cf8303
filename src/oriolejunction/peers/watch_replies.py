"""Builds the replies of a control replica to watches.

Load pattern: dozens of instances are answered in the same moment, mostly with
the same content. What is the same for all is encoded once; a reply joins it
with the few fields of its receiver.
"""

import collections.abc
import dataclasses
import typing

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import raft_replica
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import listing_store
from oriolejunction.peers import rollout_control

# Five heartbeat intervals of the leader.
LEADER_TIMEOUT_MS = 500.0
# A round is answered within a few ms; the age of the platform's list in a
# reply is that much too low at most.
SHARED_MS = 10.0
# Format codes of MessagePack maps.
_FIXMAP, _FIXMAP_MASK, _MAP16 = 0x80, 0x0F, 0xDE
_encode = msgspec.msgpack.Encoder().encode
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class EncodedFields:
    """Some fields of a message, without the head of their map."""

    count: int
    data: bytes


def encode_fields(fields: dict[str, typing.Any]) -> EncodedFields:
    """Encode a part of a message."""
    data = _encode(fields)
    head = 1 if data[0] & ~_FIXMAP_MASK == _FIXMAP else 3
    return EncodedFields(len(fields), data[head:])


def join(parts: collections.abc.Iterable[EncodedFields]) -> msgspec.Raw:
    """Return the message that consists of all parts."""
    parts = tuple(parts)
    count = sum(part.count for part in parts)
    head = bytes((_MAP16, count >> 8, count & 0xFF))
    return msgspec.Raw(head + b"".join(part.data for part in parts))


@dataclasses.dataclass
class WatchReplies:
    """Replies from the state of one replica, `incarnation`."""

    incarnation: str
    replica: raft_replica.RaftReplica
    clock: clocks.Clock
    hub: fleet_hub.FleetHub
    listing: listing_store.ListingStore
    rollouts: rollout_control.NoRollouts = rollout_control.NoRollouts()
    _shared: dict[tuple, EncodedFields] = dataclasses.field(
        default_factory=dict
    )
    _shared_version: int = -1
    _shared_until_ms: float = float("-inf")

    def reply_to(
        self, request: fm.WatchRequest
    ) -> fm.WatchReply | msgspec.Raw:
        """Return the reply, encoded if the watcher takes sums over all."""
        self._log_table(request)
        if not request.entry_boot:
            return self._reply_without_own(request)
        self._drop_outdated()
        seen = self.seen_by(request)
        parts = [self._shared_fields(request, seen)]
        own: dict[str, typing.Any] = {
            "own_number": self.hub.number_of(
                request.instance, request.entry_boot
            )
        }
        orders = self.rollouts.take_orders(request)
        if orders is not None:
            own["rollouts"] = orders
        if self.hub.has_observations_since(seen):
            own["helpers"] = self.hub.helpers_for(request.instance)
            parts.append(self._observations_for(request))
        else:
            own["has_observations"] = False
        return join((*parts, encode_fields(own)))

    def seen_by(self, request: fm.WatchRequest) -> int:
        """Return the change number that a watcher has seen here."""
        if request.boot != self.incarnation:
            return fm.NO_CHANGE_SEEN
        return request.seen

    def _log_table(self, request: fm.WatchRequest) -> None:
        table = self.replica.state.table
        if table.version > request.table_version:
            _log.info(
                "table sent",
                to=request.instance,
                version=table.version,
                held=request.table_version,
                bytes=len(table.document),
            )

    def _drop_outdated(self) -> None:
        """Drop what was encoded before a change, or too long ago."""
        # Reports that are too old change the version.
        _ = self.hub.change_number
        now_ms = self.clock.now_ms()
        if (
            self._shared_version != self.hub.version
            or now_ms > self._shared_until_ms
        ):
            self._shared.clear()
            self._shared_version = self.hub.version
            self._shared_until_ms = now_ms + SHARED_MS

    def _shared_fields(
        self, request: fm.WatchRequest, seen: int
    ) -> EncodedFields:
        key = (
            seen,
            request.table_version,
            self.replica.state.table.version,
            request.listing_digest,
            self.listing.digest,
        )
        fields = self._shared.get(key)
        if fields is None:
            sums = self.hub.sums(seen)
            fields = encode_fields(
                {
                    **self._state_for(request),
                    "seen": sums.seen,
                    "whole": sums.complete,
                    "loads": sums.loads,
                    "speed_sums": sums.speeds,
                    "uses": sums.uses,
                }
            )
            self._shared[key] = fields
        return fields

    def _observations_for(self, request: fm.WatchRequest) -> EncodedFields:
        if self.hub.has_observations(request.instance):
            return encode_fields(self.hub.observations(request.instance))
        key = ("observations",)
        fields = self._shared.get(key)
        if fields is None:
            fields = encode_fields(self.hub.observations())
            self._shared[key] = fields
        return fields

    def _state_for(self, request: fm.WatchRequest) -> dict[str, typing.Any]:
        """Return the fields that don't come from reports."""
        table = self.replica.state.table
        document_known = table.version <= request.table_version
        return {
            "fresh": self.replica.is_connected(LEADER_TIMEOUT_MS),
            "boot": self.incarnation,
            "table_version": table.version,
            "document": None if document_known else table.document,
            "listing": self.listing.snapshot(request.listing_digest),
            "entries": max(1, self.hub.entry_count()),
            "replicas": tuple(
                (member.address, member.zone)
                for member in self.replica.membership.members()
            ),
        }

    def _reply_without_own(self, request: fm.WatchRequest) -> fm.WatchReply:
        """Return the reply to a watcher of an earlier version."""
        update = self.hub.update_for(request.instance, self.seen_by(request))
        return fm.WatchReply(
            **self._state_for(request),
            seen=update.seen,
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
            speeds=update.speeds,
            uses=self.hub.uses_of_others(request.instance),
        )
