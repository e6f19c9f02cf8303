"""Waiting requests are placed again when another view may place them."""

import random

import msgspec

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import resend_budget
from oriolejunction.controllers import rollout_use
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction.http import gateway_state
from oriolejunction import ids
from oriolejunction.platform import gateway_dialect
from oriolejunction import routing_table


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


def former_score_ms(candidate, needs):
    """Return the cost of a placement as it was without cached prompts."""
    per_k = candidate.prefill_ms_per_k
    tokens = candidate.prefill_tokens + needs.prompt_tokens
    first_ms = tokens / 1_000 * per_k
    score = first_ms + needs.events * candidate.event_ms
    prefill_ms = needs.prompt_tokens / 1_000 * per_k
    score += candidate.streams * placement.DELAY_PER_PREFILL * prefill_ms
    if first_ms > needs.first_event_ms:
        score += placement.MISSED_GOAL_MS
    if candidate.prefill_tokens:
        score += placement.SECOND_PREFILL_MS
    if candidate.backend.zone != needs.zone:
        score += placement.CROSS_ZONE_MS
    return score


def placements(reuse_ms, rng, parts, choose):
    """Return the engines of 40 streams, with their load on six engines."""
    board = blackboards.Blackboard()
    deps = gateway_state.new_dependencies(
        clocks.ManualClock(),
        board,
        gateway_dialect.WIRE_FORMAT,
        resend_budget.BudgetLimits(0.2, 10.0, 5_000.0),
        ids.ZoneId("z0"),
        rng,
        prompt_reuse_ms=reuse_ms,
    )
    name = ids.ServiceName("llm")
    listed = {
        f"e{n}": backends.Backend(f"e{n}", name, f"e{n}", f"z{n % 3}")
        for n in range(6)
    }
    board.backends.claim_writer("test")(backends.BackendSnapshot(listed, 0.0))
    service = routing_table.Service(
        name=name,
        max_connections=9,
        engine=routing_table.EngineCapabilities(kv_tokens=88_000, slots=12),
    )
    needs = placement.StreamRequirements(8_200, 9_300, "z0", 130.0, 4_000.0)
    chosen = []
    for number in range(40):
        use = rollout_use.RolloutUse(name, "chat", True)
        (found,) = deps.view.engine_candidates(service, use, parts=parts)
        one = choose(found, needs, rng)
        deps.view.record_sent(one, parts)
        deps.own_loads.begin(
            load_table.LoadEntry(one.backend.backend_id, 9_300, number % 2)
        )
        chosen.append(one.backend.backend_id)
    return chosen


def test_choices_without_the_setting_are_as_before():
    """Failure: prompt parts change choices that nobody asked to change."""

    def former(found, needs, rng):
        return min(
            (each for each in found if each.can_fit(needs.kv_tokens)),
            key=lambda c: former_score_ms(c, needs)
            + rng.uniform(0, placement.JITTER_MS),
        )

    parts = (("a", 7_000),)
    before = placements(None, random.Random(7), parts, former)
    choose = placement.choose_engine
    assert placements(None, random.Random(7), parts, choose) == before
    assert placements(8_000.0, random.Random(7), (), choose) == before
    assert placements(8_000.0, random.Random(7), parts, choose) != before
