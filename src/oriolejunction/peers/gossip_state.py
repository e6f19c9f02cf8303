"""Gossip about leaving engines and about requests that crash engines."""

import collections

from oriolejunction import clock as clocks
from oriolejunction.controllers import membership as memberships
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction import gossip_wire
from oriolejunction import ids

MAX_ENTRIES = 256


class GossipState:
    """Builds gossip from this instance's state and merges gossip of peers."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        membership: memberships.Membership,
        quarantine: quarantines.Quarantine,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._membership = membership
        self._quarantine = quarantine

    def build_request(self) -> gossip_wire.GossipRequest:
        """Return a message with the latest entries of each kind."""
        now_ms = self._clock.now_ms()
        quarantine = self._quarantine
        leaving = self._membership.leaving()
        isolated = quarantine.isolated()
        return gossip_wire.GossipRequest(
            sender=self._instance_id,
            leaving=tuple(
                gossip_wire.LeavingEngine(engine_id, incarnation)
                for engine_id, incarnation in leaving.items()
            ),
            strikes=tuple(
                _strike_record(strike, now_ms)
                for strike in quarantine.strikes()[-MAX_ENTRIES:]
            ),
            refused=tuple(
                gossip_wire.TimedFingerprint(fingerprint, until_ms - now_ms)
                for fingerprint, until_ms in quarantine.refused().items()
            )[-MAX_ENTRIES:],
            cleared=tuple(
                gossip_wire.TimedFingerprint(fingerprint, now_ms - at_ms)
                for fingerprint, at_ms in quarantine.cleared().items()
            )[-MAX_ENTRIES:],
            isolated=tuple(
                gossip_wire.IsolatedRequest(fingerprint, engine_id)
                for engine_id, fingerprints in isolated.items()
                for fingerprint in sorted(fingerprints)
            )[-MAX_ENTRIES:],
        )

    def merge(self, request: gossip_wire.GossipRequest) -> None:
        """Merge a peer's message into membership and quarantine."""
        now_ms = self._clock.now_ms()
        for leaving in request.leaving[:MAX_ENTRIES]:
            self._membership.observe_leaving(
                leaving.engine_id, leaving.incarnation
            )
        for record in request.strikes[:MAX_ENTRIES]:
            self._quarantine.add_strike(_strike_from_record(record, now_ms))
            if record.age_ms < memberships.SUSPICION_MS:
                self._membership.suspect(
                    record.engine_id,
                    memberships.SUSPICION_MS - record.age_ms,
                )
        isolated = collections.defaultdict(set)
        for entry in request.isolated[:MAX_ENTRIES]:
            isolated[entry.engine_id].add(entry.fingerprint)
        self._quarantine.observe_peer(
            request.sender,
            {
                engine: frozenset(fingerprints)
                for engine, fingerprints in isolated.items()
            },
            {
                entry.fingerprint: now_ms
                + min(entry.duration_ms, quarantines.QUARANTINE_MS)
                for entry in request.refused[:MAX_ENTRIES]
            },
            {
                entry.fingerprint: now_ms - entry.duration_ms
                for entry in request.cleared[:MAX_ENTRIES]
            },
        )


def is_empty(request: gossip_wire.GossipRequest) -> bool:
    """Return whether a message has no entries."""
    return not (
        request.leaving
        or request.strikes
        or request.refused
        or request.cleared
        or request.isolated
    )


def _strike_record(
    strike: quarantines.Strike, now_ms: float
) -> gossip_wire.StrikeRecord:
    return gossip_wire.StrikeRecord(
        fingerprint=strike.fingerprint,
        engine_id=strike.engine_id,
        zone=strike.zone,
        age_ms=now_ms - strike.at_ms,
        dispatched_age_ms=now_ms - strike.dispatched_at_ms,
        offset=strike.offset,
        suspect=strike.suspect,
    )


def _strike_from_record(
    record: gossip_wire.StrikeRecord, now_ms: float
) -> quarantines.Strike:
    return quarantines.Strike(
        fingerprint=record.fingerprint,
        engine_id=record.engine_id,
        zone=record.zone,
        at_ms=now_ms - record.age_ms,
        dispatched_at_ms=now_ms - record.dispatched_age_ms,
        offset=record.offset,
        suspect=record.suspect,
    )
