"""What backend servers take now, by all that they have said.

Every path that sends a request to a server asks here: streams, calls, hedged
calls, retries, KV cache copies, resumed streams, requests of other instances
and reports. A server may name a limit that binds all instances, ask this
instance for a pause, and say that it leaves.
"""

import collections.abc
import http
import math

from oriolejunction import backends
from oriolejunction.controllers.overload import server_departures
from oriolejunction.controllers.overload import server_limits
from oriolejunction.controllers.overload import server_pauses
from oriolejunction import gateway_messages
from oriolejunction import ids


class ServerIntake:
    """The limits, pauses and departures of all servers."""

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        pauses: server_pauses.ServerPauses,
        departures: server_departures.ServerDepartures,
    ) -> None:
        self.limits = limits
        self.pauses = pauses
        self.departures = departures

    @property
    def is_restricted(self) -> bool:
        """Return whether any server may not take all that is sent to it."""
        return self.limits.are_known or self.pauses.are_known

    def allows(self, backend_id: ids.BackendId) -> bool:
        """Return whether a server may be sent a request now."""
        return (
            not self.departures.has_left(backend_id)
            and self.pauses.allows(backend_id)
            and self.limits.allows(backend_id)
        )

    def refuses(self, backend_id: ids.BackendId) -> bool:
        """Return whether a server must not be sent what was taken before.

        It has asked for a pause or left meanwhile.
        """
        return self.departures.has_left(backend_id) or self.pauses.is_paused(
            backend_id
        )

    def observe(
        self,
        backend: backends.Backend,
        head: gateway_messages.AnswerHead,
        sent_ms: float,
        instance_count: int,
    ) -> None:
        """Apply what a server says of itself in an answer.

        Its request was sent at `sent_ms`.
        """
        is_replaced = head.status == http.HTTPStatus.MISDIRECTED_REQUEST
        if head.leaving and not is_replaced:
            self.departures.observe_answer(backend, sent_ms, "answer")
        if (head.echoes_request_id or head.not_run) and not is_replaced:
            self.limits.observe(
                backend.backend_id, backend.service, head.rate_limit, sent_ms
            )
        fragile = head.falls_over_at is not None and head.pause is None
        if fragile and head.has_no_room:
            self.pauses.observe_rejection(
                backend.backend_id, head.falls_over_at, instance_count
            )
        else:
            self.pauses.observe(backend.backend_id, head.pause, sent_ms)

    def take(self, backend_id: ids.BackendId) -> None:
        """Count a request that is about to be sent to a server."""
        self.limits.take(backend_id)
        self.pauses.take(backend_id)

    def give_back(self, backend_id: ids.BackendId) -> None:
        """Uncount a request that was not sent after all."""
        self.limits.give_back(backend_id)
        self.pauses.give_back(backend_id)

    def expected_wait_ms(
        self,
        backend_ids: collections.abc.Collection[ids.BackendId],
        ahead: int,
    ) -> tuple[float, float]:
        """Return the wait behind `ahead` requests, and that between two.

        Both are 0 if a server may be sent a request now, or none is given.
        The latter is infinite if it is not known.
        """
        open_ids = [each for each in backend_ids if self.pauses.allows(each)]
        if len(open_ids) == len(backend_ids):
            return self.limits.expected_wait_ms(open_ids, ahead)
        paused_ms = min(
            self.pauses.remaining_ms(each)
            for each in backend_ids
            if each not in open_ids
        )
        if not open_ids:
            return paused_ms, math.inf
        return min(
            self.limits.expected_wait_ms(open_ids, ahead),
            (paused_ms, math.inf),
        )

    def retain_only(
        self, listed: collections.abc.Container[ids.BackendId]
    ) -> None:
        """Drop servers that are no longer listed and ask for nothing now."""
        self.limits.retain_only(listed)
        self.pauses.retain_only(listed)
