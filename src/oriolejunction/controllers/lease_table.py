"""Configuration leases granted by the control leader.

The holder counts its lease from when it sent the request, the leader from
when it decided the reply, so that the lease always ends first on the holder.
Clocks of two instances are never compared.
"""

import dataclasses
import math

import msgspec
import xxhash

from oriolejunction import ids
from oriolejunction import messages

LEASE_MS = 3_000
CLOCK_RATE_MARGIN_MS = 300


@dataclasses.dataclass
class LeaseHolder:
    """One instance and the end of its lease on the leader's clock."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    applied: ids.Revision
    until_ms: float
    leaving: bool
    incarnation: str = ""
    peer_address: str = ""


@dataclasses.dataclass(frozen=True)
class Peers:
    """The lease holders as reported to each other.

    Valid until `until_ms`, when the first of their leases may end.
    """

    instances: tuple[messages.PeerInstance, ...] = ()
    digest: int = 0
    until_ms: float = -math.inf


@dataclasses.dataclass
class LeaseTable:
    """All lease holders.

    A new leader waits out the leases of its predecessor, which it does not
    know.
    """

    former_leases_until_ms: float
    holder_by_instance: dict[ids.InstanceId, LeaseHolder] = dataclasses.field(
        default_factory=dict
    )
    peers: Peers = Peers()


def new_table(now_ms: float, revision: ids.Revision) -> LeaseTable:
    """Return the table of a leader that starts at `now_ms`.

    Before the first revision no instance serves, so a former leader granted
    no lease that has to be waited out.
    """
    if revision == ids.NO_REVISION:
        return LeaseTable(now_ms)
    return LeaseTable(now_ms + LEASE_MS + CLOCK_RATE_MARGIN_MS)


def renew(
    table: LeaseTable, request: messages.RenewRequest, now_ms: float
) -> None:
    """Grant or renew a lease from `now_ms` on."""
    previous = table.holder_by_instance.get(request.instance)
    holder = LeaseHolder(
        instance=request.instance,
        zone=request.zone,
        applied=request.applied,
        until_ms=now_ms + LEASE_MS + CLOCK_RATE_MARGIN_MS,
        leaving=request.leaving,
        incarnation=request.incarnation,
        peer_address=request.peer_address,
    )
    if previous is None or _peer(previous) != _peer(holder):
        table.peers = Peers()
    table.holder_by_instance[request.instance] = holder


def live_peers(table: LeaseTable, now_ms: float) -> Peers | None:
    """Return the lease holders, recomputed only after a change.

    Return None while a former leader's leases may still be valid: live
    instances that have not renewed with this leader yet would be missing.
    """
    if now_ms < table.former_leases_until_ms:
        return None
    if now_ms < table.peers.until_ms:
        return table.peers
    live = [
        holder
        for holder in table.holder_by_instance.values()
        if holder.until_ms > now_ms and holder.peer_address
    ]
    instances = tuple(
        _peer(holder)
        for holder in sorted(live, key=lambda holder: holder.instance)
    )
    table.peers = Peers(
        instances,
        xxhash.xxh64_intdigest(msgspec.msgpack.encode(instances)),
        min((holder.until_ms for holder in live), default=-math.inf),
    )
    return table.peers


def _peer(holder: LeaseHolder) -> messages.PeerInstance:
    return messages.PeerInstance(
        instance=holder.instance,
        zone=holder.zone,
        incarnation=holder.incarnation,
        peer_address=holder.peer_address,
        leaving=holder.leaving,
    )


def in_force_everywhere(
    table: LeaseTable, revision: ids.Revision, now_ms: float
) -> bool:
    """Return whether each lease holder applies `revision` or a later one."""
    if now_ms < table.former_leases_until_ms:
        return False
    return all(
        holder.applied >= revision or holder.until_ms <= now_ms
        for holder in table.holder_by_instance.values()
    )


def statuses(
    table: LeaseTable, now_ms: float
) -> tuple[messages.InstanceStatus, ...]:
    """Return the status of each lease holder, for operators."""
    return tuple(
        messages.InstanceStatus(
            instance=holder.instance,
            zone=holder.zone,
            applied=holder.applied,
            lease_left_ms=max(0, int(holder.until_ms - now_ms)),
            leaving=holder.leaving,
        )
        for holder in table.holder_by_instance.values()
    )
