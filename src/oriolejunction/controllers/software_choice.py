"""Decides at which software version a stream may run.

Load pattern: engines crash and entry instances are lost during a release, and
many streams go on elsewhere at once. What two versions write doesn't fit
together, and engines don't check it.
"""

import collections.abc

import msgspec

from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import states


class Resumption(msgspec.Struct, frozen=True):
    """The version at which a caller's stream goes on, None if unknown."""

    software: ids.SoftwareVersion | None
    number: int
    source: states.OriginSource


def choose_for_resumption(
    own: fm.StreamOrigin | None,
    reply: fm.OriginReply | None,
    own_versions: collections.abc.Set[ids.SoftwareVersion],
) -> Resumption:
    """Return the version at which a stream goes on that a caller takes up.

    `own` is this instance's record, `reply` that of the control replicas,
    None if none answered. A stream without a record may go on only if no
    release was seen.
    """
    if own is not None:
        return Resumption(own.software, own.number, states.OriginSource.OWN)
    versions = set(own_versions)
    if reply is not None:
        if reply.origin is not None:
            return Resumption(
                reply.origin.software,
                reply.origin.number,
                states.OriginSource.CONTROL,
            )
        versions.update(reply.versions)
    if len(versions) == 1:
        return Resumption(
            versions.pop(), 0, states.OriginSource.SINGLE_VERSION
        )
    return Resumption(None, 0, states.OriginSource.UNKNOWN)


class RecordedSoftware:
    """The version under which a stream is recorded before its first event.

    A change needs the acknowledgement of a majority of the control replicas:
    a caller that comes back must find the version of the first event.
    """

    def __init__(self) -> None:
        self.software: ids.SoftwareVersion | None = None
        self._number = 0
        self._may_change = True

    def preferences(
        self, fixed: ids.SoftwareVersion | None
    ) -> tuple[ids.SoftwareVersion | None, ...]:
        """Return the versions to place the stream at, the best one first.

        None stands for any version. `fixed` is the version of the events
        that the caller has.
        """
        if fixed is not None:
            return (fixed,)
        if self.software is None:
            return (None,)
        return (self.software, None) if self._may_change else (self.software,)

    def is_change(self, software: ids.SoftwareVersion) -> bool:
        """Return whether the stream is recorded under another version."""
        return self.software not in (None, software)

    def next_origin(
        self, request_id: ids.RequestId, software: ids.SoftwareVersion
    ) -> fm.StreamOrigin:
        """Return a record that replaces all earlier ones."""
        self._number += 1
        return fm.StreamOrigin(request_id, software, self._number)

    def keep(self) -> None:
        """Allow no other version after a change was not acknowledged."""
        self._may_change = False
