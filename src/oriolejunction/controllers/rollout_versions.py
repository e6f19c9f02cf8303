"""The software versions of each service that are safe to send to.

Load pattern: the platform starts the servers of a rollout right after its
order, and an instance may see them on the list before it hears of the order.
Servers that a rollout has withdrawn stay on the list for up to a second.
"""

import collections.abc

import structlog

from oriolejunction import backends
from oriolejunction import ids

# A withdrawn version that is on the list no more is forgotten after this
# time; lists lag by less than a second.
WITHDRAWN_MS = 10_000.0
_Version = tuple[ids.ServiceName, ids.SoftwareVersion]
_log = structlog.get_logger(__name__)


class RolloutVersions:
    """Versions on the list, and those vouched for by control replicas."""

    def __init__(self) -> None:
        self._listed: frozenset[_Version] = frozenset()
        self._first_seen_ms: dict[_Version, float] = {}
        self._known: set[_Version] = set()
        self._withdrawn_ms: dict[_Version, float] = {}
        self._has_heard = False

    def observe(
        self,
        listed: collections.abc.Iterable[backends.Backend],
        now_ms: float,
    ) -> set[_Version]:
        """Take note of the current list; return the versions new on it."""
        self._listed = frozenset(
            (each.service, each.software) for each in listed
        )
        new = self._listed - self._first_seen_ms.keys()
        for service, software in new:
            self._first_seen_ms[service, software] = now_ms
            _log.info(
                "software version listed", service=service, software=software
            )
        for version, since_ms in list(self._withdrawn_ms.items()):
            if version in self._listed:
                continue
            if now_ms - since_ms > WITHDRAWN_MS:
                del self._withdrawn_ms[version]
        return new

    def vouch(
        self,
        sent_ms: float,
        received: collections.abc.Iterable[backends.Backend],
    ) -> None:
        """Trust what was listed when orders were asked for at `sent_ms`.

        The orders are at least as new as the list `received` with them.
        """
        self._has_heard = True
        self._known.update(
            version
            for version, seen_ms in self._first_seen_ms.items()
            if seen_ms <= sent_ms
        )
        self._known.update((each.service, each.software) for each in received)

    def is_known(self, version: _Version) -> bool:
        """Return whether orders were heard since a version was listed.

        An instance that has never heard any, because its control replicas
        know no rollouts, uses a service's only version.
        """
        if version in self._known:
            return True
        return not self._has_heard and all(
            name != version[0] or software == version[1]
            for name, software in self._first_seen_ms
        )

    def is_listed(self, version: _Version) -> bool:
        """Return whether a server of the version is on the list."""
        return version in self._listed

    def of_service(self, service: ids.ServiceName) -> list[_Version]:
        """Return all versions of a service that were seen."""
        return [each for each in self._first_seen_ms if each[0] == service]

    def withdraw(
        self, versions: collections.abc.Iterable[_Version], now_ms: float
    ) -> None:
        """Use versions no more, until they have left the list."""
        self._withdrawn_ms.update(dict.fromkeys(versions, now_ms))

    def restore(self, version: _Version) -> None:
        """Use a version again, which has been ordered."""
        self._withdrawn_ms.pop(version, None)

    def is_withdrawn(self, version: _Version) -> bool:
        """Return whether a rollout has withdrawn a version."""
        return version in self._withdrawn_ms
