"""A caller's request that was matched with its route."""

import functools
import hashlib

from aiohttp import web
import msgspec

from oriolejunction import gateway_messages
from oriolejunction import ids
from oriolejunction import routing_table


class AdmittedRequest(msgspec.Struct, frozen=True, dict=True):
    """A request with its route, service and, if any, workspace.

    `deadline_ms` is the earlier of the caller's deadline and the end of the
    route's timeout, on this process's clock. A probe goes to one server
    although its prompt has a blocked part. One `from_peer` came to another
    instance, which passed it on. `service_ranks` are the ranks of all
    requests to the service, the most urgent first.
    """

    request: gateway_messages.CallerRequest
    route: routing_table.Route
    service: routing_table.Service
    workspace: ids.WorkspaceId | None
    rank: int
    deadline_ms: float
    web_request: web.Request
    service_ranks: tuple[int, ...] = ()
    is_probe: bool = False
    from_peer: bool = False

    @property
    def began_ms(self) -> float:
        """Return the time of the caller's first try, as far as known.

        A caller that comes back states the rest of its time as its deadline.
        """
        if self.request.deadline_ms is None:
            return self.request.received_ms
        first_ms = self.request.deadline_ms - self.route.timeout_ms
        return min(first_ms, self.request.received_ms)

    @functools.cached_property
    def fingerprint(self) -> ids.Fingerprint:
        """Return a digest that each retry by the caller shares."""
        digest = hashlib.sha256()
        for part in (
            (self.workspace or "").encode(),
            self.request.target.encode(),
            self.request.body,
        ):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return ids.Fingerprint(digest.hexdigest()[:16])
