"""Configuration leases as the control leader grants them.

A lease counts on the holder from when its request was sent and here from
when the reply was decided, so that the holder's always ends first; clocks
of two instances are never compared.
"""

import dataclasses

from oriolejunction import ids
from oriolejunction import messages

LEASE_MS = 3_000
CLOCK_RATE_MARGIN_MS = 300


@dataclasses.dataclass
class LeaseHolder:
    """One instance with the end of its lease on the leader's clock."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    applied: ids.Revision
    until_ms: float
    leaving: bool


@dataclasses.dataclass
class LeaseTable:
    """All lease-holders; a new leader waits out leases it does not know."""

    unknown_until_ms: float
    holder_by_instance: dict[ids.InstanceId, LeaseHolder] = dataclasses.field(
        default_factory=dict
    )


def new_table(now_ms: float, revision: ids.Revision) -> LeaseTable:
    """Return the table of a leader that starts at `now_ms`.

    Before the first revision no instance serves, so there is no lease of a
    former leader to wait out.
    """
    if revision == ids.NO_REVISION:
        return LeaseTable(now_ms)
    return LeaseTable(now_ms + LEASE_MS + CLOCK_RATE_MARGIN_MS)


def renew(
    table: LeaseTable, request: messages.RenewRequest, now_ms: float
) -> None:
    """Grant or renew a lease from `now_ms` on."""
    table.holder_by_instance[request.instance] = LeaseHolder(
        instance=request.instance,
        zone=request.zone,
        applied=request.applied,
        until_ms=now_ms + LEASE_MS + CLOCK_RATE_MARGIN_MS,
        leaving=request.leaving,
    )


def in_force_everywhere(
    table: LeaseTable, revision: ids.Revision, now_ms: float
) -> bool:
    """Return whether each lease-holder applies `revision` or a later one."""
    if now_ms < table.unknown_until_ms:
        return False
    return all(
        holder.applied >= revision or holder.until_ms <= now_ms
        for holder in table.holder_by_instance.values()
    )


def statuses(
    table: LeaseTable, now_ms: float
) -> tuple[messages.InstanceStatus, ...]:
    """Return each holder for an operator."""
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
