"""Calls to plain services; at-most-once calls go through the ledger."""

import itertools

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction import errors
from oriolejunction.http import call_messages
from oriolejunction.http import never_twice_calls
from oriolejunction.http import service_client
from oriolejunction import ids
from oriolejunction.peers import control_client
from oriolejunction import states

MAX_KEY_LENGTH = 256


class ServiceCalls:
    """Dispatch calls; one that runs at most once needs a committed claim."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        client: service_client.ServiceClient,
        control: control_client.ControlClient,
    ) -> None:
        self._client = client
        self._round_robin = itertools.count()
        self._never_twice = never_twice_calls.NeverTwiceCalls(
            instance_id, clock, self._send, control.propose
        )

    @property
    def pending(self) -> bool:
        """Return whether a call that runs at most once is in progress."""
        return self._never_twice.pending

    async def call(
        self,
        service: configuration.Service,
        workspace: ids.WorkspaceId,
        call: call_messages.ServiceCall,
    ) -> commands.StoredAnswer:
        """Return the answer of a call or raise a typed `Failure`."""
        if service.never_twice and not call_messages.is_canonical(call.path):
            raise errors.Failure(
                errors.MalformedRequest(f"not a canonical path: {call.path}")
            )
        if not configuration.matches_never_twice(
            service, call.method, call.path
        ):
            if call.void:
                raise errors.Failure(
                    errors.MalformedRequest(
                        "only a call that runs at most once can be voided"
                    )
                )
            return await self._send(service, call)
        if not 0 < len(call.key) <= MAX_KEY_LENGTH:
            raise errors.Failure(
                errors.IdempotencyKeyMissing(
                    "this call runs at most once and needs an"
                    f" Idempotency-Key of 1 to {MAX_KEY_LENGTH} characters"
                )
            )
        if call.void:
            return await self._never_twice.void(service, workspace, call)
        return await self._never_twice.run(service, workspace, call)

    async def close(self) -> None:
        """Stop the calls and records that are in progress."""
        await self._never_twice.close()

    async def _send(
        self, service: configuration.Service, call: call_messages.ServiceCall
    ) -> commands.StoredAnswer:
        """Send to one address; try the next only if nothing was sent."""
        headers = {"Content-Type": call.content_type}
        if call.key:
            headers["Idempotency-Key"] = call.key
        first = next(self._round_robin)
        for step in range(len(service.urls)):
            url = service.urls[(first + step) % len(service.urls)]
            try:
                return await self._client.send(
                    url, call.method, call.path_and_query, headers, call.body
                )
            except errors.Failure as failure:
                last = step == len(service.urls) - 1
                if last or failure.error.outcome is not states.Outcome.NOT_RUN:
                    raise
        raise errors.Failure(errors.NoEngine(f"{service.name} has no address"))
