"""Which software version runs each stream.

Load pattern: when an entry instance is lost during a release, the callers of
all its streams come to other instances at once, each with the id of the
request that brought the first event. Control replicas hold the origins of all
streams; entry instances ask for single ones, so that the traffic grows with
the streams that begin.
"""

import collections.abc
import sys

import msgspec

from oriolejunction import clock as clocks
from oriolejunction.consensus import version_file
from oriolejunction.controllers import aged_records
from oriolejunction.controllers import drop_log
from oriolejunction.controllers import origin_retention
from oriolejunction.controllers import software_history
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners

# Memory of one table. Streams that ended are dropped first.
MAX_BYTES = 64 << 20


class _Record(msgspec.Struct, frozen=True, gc=False):
    software: ids.SoftwareVersion
    number: int
    ambiguous: bool = False


class OriginTable:
    """The newest origin of each stream, for a limited time.

    A stream that has ended is taken up again only if its last events were
    lost on their way to the caller.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        retention: origin_retention.OriginRetention,
    ) -> None:
        self._begun: aged_records.AgedRecords[_Record]
        self._begun = aged_records.AgedRecords(
            clock, lambda: retention.kept_ms
        )
        self._ended: aged_records.AgedRecords[_Record]
        self._ended = aged_records.AgedRecords(
            clock, lambda: retention.return_ms
        )
        self._drops = drop_log.DropLog(clock, "origins dropped")

    def put(self, origin: fm.StreamOrigin) -> bool:
        """Record or renew an origin; return whether other replicas need it.

        They don't if the same origin was recorded a short time ago. One with
        a lower number than that recorded is ignored. Two versions under the
        same number come from two instances; which of them began the answer is
        not known.
        """
        request_id = origin.request_id
        previous = self.get(request_id)
        if previous is not None and origin.number < previous.number:
            return False
        if previous is not None and _is_conflict(previous, origin):
            origin = msgspec.structs.replace(origin, ambiguous=True)
        records, others = self._begun, self._ended
        if origin.ended:
            records, others = others, records
        others.remove(request_id)
        # Each message that is read has a text of its own.
        software = ids.SoftwareVersion(sys.intern(origin.software))
        record = _Record(software, origin.number, origin.ambiguous)
        renewed = records.put(request_id, record)
        self._drop_excess()
        return renewed or origin != previous

    def get(self, request_id: ids.RequestId) -> fm.StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        for records in (self._begun, self._ended):
            record = records.get(request_id)
            if record is not None:
                return fm.StreamOrigin(
                    request_id,
                    record.software,
                    record.number,
                    records is self._ended,
                    record.ambiguous,
                )
        return None

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove the origin of a stream that has no event."""
        self._begun.remove(request_id)
        self._ended.remove(request_id)

    def all(self) -> tuple[fm.StreamOrigin, ...]:
        """Return all origins that have not expired."""
        return tuple(
            fm.StreamOrigin(
                ids.RequestId(request_id),
                record.software,
                record.number,
                records is self._ended,
                record.ambiguous,
            )
            for records in (self._begun, self._ended)
            for request_id, record in records.items()
        )

    def _drop_excess(self) -> None:
        while self._begun.size_bytes + self._ended.size_bytes > MAX_BYTES:
            if self._ended.remove_oldest():
                self._drops.count("ended")
            else:
                self._begun.remove_oldest()
                self._drops.count("not_ended")
        self._drops.flush(max_bytes=MAX_BYTES)


def _is_conflict(one: fm.StreamOrigin, other: fm.StreamOrigin) -> bool:
    return one.number == other.number and (
        one.software != other.software or one.ambiguous or other.ambiguous
    )


class OriginHub:
    """The origins and software versions that one control replica knows."""

    def __init__(
        self,
        clock: clocks.Clock,
        stored: version_file.VersionFile | None = None,
    ) -> None:
        self.retention = origin_retention.OriginRetention(clock)
        self._stored = stored
        self._table = OriginTable(clock, self.retention)
        self._unforwarded: dict[ids.RequestId, fm.StreamOrigin] = {}
        self.history = software_history.SoftwareHistory(clock, self.retention)
        self.on_change = listeners.no_op

    def put(self, origin: fm.StreamOrigin, direct: bool) -> None:
        """Record an origin.

        `direct` ones come from the entry instance itself and are forwarded
        to the other control replicas.
        """
        if self._table.put(origin) and direct:
            self._unforwarded[origin.request_id] = origin
            self.on_change()

    def take_unforwarded(self) -> dict[ids.RequestId, fm.StreamOrigin]:
        """Remove and return the origins to forward to other replicas."""
        unforwarded, self._unforwarded = self._unforwarded, {}
        return unforwarded

    def store_versions(self) -> None:
        """Store the versions of the list, so that a restart keeps them."""
        if self._stored is not None:
            self._stored.store(
                self.history.versions_by_service(),
                self.history.covered_ms >= self.retention.kept_ms,
            )

    def reply(
        self, request_id: ids.RequestId, service: ids.ServiceName
    ) -> fm.OriginReply:
        """Return what this replica knows of a stream."""
        versions = self.history.versions(service)
        stored = self._stored.versions if self._stored is not None else None
        if stored is not None:
            versions |= frozenset(stored.get(service, ()))
        return fm.OriginReply(
            self._table.get(request_id),
            tuple(sorted(versions)),
            covered_ms=self.history.covered_ms,
            lasting=stored is not None,
        )


def join_replies(
    replies: collections.abc.Iterable[fm.OriginReply],
) -> fm.OriginReply:
    """Return the newest origin and all versions of some replies."""
    replies = tuple(replies)
    newest: fm.StreamOrigin | None = None
    for each in replies:
        if each.origin is None:
            continue
        if newest is None or each.origin.number > newest.number:
            newest = each.origin
        elif _is_conflict(newest, each.origin):
            newest = msgspec.structs.replace(newest, ambiguous=True)
    return fm.OriginReply(
        newest,
        tuple(sorted({v for each in replies for v in each.versions})),
        any(each.by_majority for each in replies),
        max((each.covered_ms for each in replies), default=0.0),
        all(each.lasting for each in replies),
    )
