"""Applies the load that a backend server states in an answer."""

import asyncio

from oriolejunction import backends
from oriolejunction.controllers import backend_view
from oriolejunction import gateway_messages
from oriolejunction.http import placement_queue
from oriolejunction import telemetry as telemetries


def observe(
    view: backend_view.BackendView,
    queue: placement_queue.PlacementQueue,
    telemetry: telemetries.GatewayTelemetry,
    backend: backends.Backend,
    head: gateway_messages.AnswerHead,
    sent_ms: float,
) -> None:
    """Apply the load in an answer; wake waiting requests in time."""
    # The call that is being answered is still counted.
    own = max(0, view.own_loads.calls(backend.backend_id) - 1)
    full_ms = view.reported.observe(
        backend.backend_id, head.load, own, head.has_no_room, sent_ms
    )
    if not full_ms:
        return
    telemetry.full_servers.inc({"service": backend.service})
    notify_later(queue, full_ms)


def notify_later(
    queue: placement_queue.PlacementQueue, after_ms: float
) -> None:
    """Let waiting requests look for capacity again after a time."""
    asyncio.get_running_loop().call_later(
        after_ms / 1e3, queue.notify_capacity
    )
