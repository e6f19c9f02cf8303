"""Decides at which software version a stream may run.

Load pattern: engines crash and entry instances are lost during a release, and
many streams go on elsewhere at once. What two versions write doesn't fit
together, and engines don't check it.
"""

import collections.abc
import math

import msgspec

from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import states

NO_VERSION = ids.SoftwareVersion("")
# Records of a request that another instance passed on replace those of that
# instance, which has numbered few changes of the version.
FORWARDED_NUMBER = 1_000


class Resumption(msgspec.Struct, frozen=True):
    """The version at which a caller's stream goes on, None if unknown."""

    software: ids.SoftwareVersion | None
    number: int
    source: states.OriginSource


def choose_for_resumption(
    own: fm.StreamOrigin | None,
    reply: fm.OriginReply | None,
    own_versions: collections.abc.Set[ids.SoftwareVersion],
    own_covered_ms: float,
    return_ms: float,
) -> Resumption:
    """Return the version at which a stream goes on that a caller takes up.

    `own` is this instance's record, `reply` that of the control replicas,
    None if none answered. All else that this instance knows may be out of
    step: engines of a new version may have joined, and begun the stream,
    since it last heard of the list. So only what a majority of the control
    replicas tells is current.

    A stream without a record may go on only if no release was seen by a
    process that has known the list for `return_ms`, the longest time since
    such a stream began, or if all control replicas have only one version on
    their disks; this instance has known the list for `own_covered_ms`.
    """
    unknown = Resumption(None, 0, states.OriginSource.UNKNOWN)
    if own is not None:
        if own.ambiguous:
            return unknown
        return Resumption(own.software, own.number, states.OriginSource.OWN)
    versions, covered_ms = set(own_versions), own_covered_ms
    is_current = False
    if reply is not None:
        versions.update(reply.versions)
        covered_ms = max(covered_ms, reply.covered_ms)
        if reply.lasting:
            covered_ms = math.inf
        is_current = reply.by_majority
        origin = reply.origin
        if origin is not None:
            if origin.ambiguous or not is_current:
                return unknown
            return Resumption(
                origin.software, origin.number, states.OriginSource.CONTROL
            )
    if len(versions) != 1:
        return unknown
    (software,) = versions
    # Servers that state no version are not told apart by any release.
    if software != NO_VERSION:
        if not is_current or covered_ms < return_ms:
            return unknown
    return Resumption(software, 0, states.OriginSource.SINGLE_VERSION)


class RecordedSoftware:
    """The version under which a stream is recorded before its first event.

    A change needs the acknowledgement of a majority of the control replicas:
    a caller that comes back must find the version of the first event.
    """

    def __init__(self, first_number: int = 0) -> None:
        self.software: ids.SoftwareVersion | None = None
        self._number = first_number
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
