"""Waiting requests are placed again when another view may place them."""

import random

import msgspec

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import resend_budget
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction.http import gateway_state
from oriolejunction import ids
from oriolejunction.platform import gateway_dialect


def test_only_views_that_may_change_a_placement_notify_the_queue(monkeypatch):
    """Load: several watch replies a second while many requests wait."""
    board = blackboards.Blackboard()
    deps = gateway_state.new_dependencies(
        clocks.ManualClock(),
        board,
        gateway_dialect.WIRE_FORMAT,
        resend_budget.BudgetLimits(0.2, 10.0, 5_000.0),
        ids.ZoneId("z"),
        random.Random(1),
    )
    notified = []
    monkeypatch.setattr(
        deps.queue, "notify_capacity", lambda: notified.append(1)
    )
    write = board.fleet.claim_writer("test")
    engine = ids.BackendId("e1")
    view = fleet_view.FleetView(
        load_by_id={engine: fm.BackendLoad(engine, 1, 10, 0)}
    )
    write(view)
    assert len(notified) == 1
    view = msgspec.structs.replace(view, entry_count=3, updated_at_ms=5.0)
    write(view)
    assert len(notified) == 1
    view = msgspec.structs.replace(view, suspects=frozenset((engine,)))
    write(view)
    assert len(notified) == 2
    limited = msgspec.structs.replace(view, limit_by_id={engine: 3.0})
    for number in (3, 4):
        write(msgspec.structs.replace(limited, updated_at_ms=float(number)))
        assert len(notified) == number
