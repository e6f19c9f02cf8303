"""Backend servers as the platform lists them."""

import msgspec

from oriolejunction import ids


class Backend(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a backend server; `address` is ``IP:PORT``.

    Servers that state no software version share the empty one. `born` is the
    Unix time in ms at which the incarnation started, 0 if it is not known.
    """

    backend_id: ids.BackendId
    service: ids.ServiceName
    address: str
    zone: ids.ZoneId
    slots: int = 0
    leaving: bool = False
    cold_ms: float = 0.0
    software: ids.SoftwareVersion = ids.SoftwareVersion("")
    born: int = 0


class BackendSnapshot(msgspec.Struct, frozen=True):
    """Listed backend servers, and when in ms the list was read."""

    by_id: dict[ids.BackendId, Backend]
    read_at_ms: float

    def available_for(self, service: ids.ServiceName) -> list[Backend]:
        """Return the backend servers of a service that accept new work."""
        return [
            each
            for each in self.by_id.values()
            if each.service == service and not each.leaving
        ]
