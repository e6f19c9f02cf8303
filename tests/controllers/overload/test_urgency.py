"""Order of streams at engines, and room left to more urgent ones."""

from oriolejunction import backends
from oriolejunction.bench import stream_simulation
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import urgency
from oriolejunction import fleet_messages as fm
from oriolejunction import ids


def test_priorities_follow_ranks_and_resumed_streams_come_first():
    """Fault: streams of rank 0 and 2 had the same priority."""
    ranks = (0, 2)
    in_order = [
        urgency.engine_priority(0, ranks, resumed=True),
        urgency.engine_priority(2, ranks, resumed=True),
        urgency.engine_priority(0, ranks, resumed=False),
        urgency.engine_priority(2, ranks, resumed=False),
    ]
    assert in_order == sorted(set(in_order))
    many = tuple(range(20))
    values = {
        urgency.engine_priority(r, many, x) for r in many for x in (0, 1)
    }
    assert min(values) >= 0 and max(values) <= 9


def test_priorities_of_equal_ranks_are_as_before():
    assert urgency.engine_priority(2, (2,), resumed=True) == 2
    assert urgency.engine_priority(2, (2,), resumed=False) is None


def test_room_is_left_only_to_more_urgent_requests_that_fill_it():
    """Load: urgent streams wait at one instance, others arrive elsewhere."""
    ranks = (0, 2)
    others = fm.ServiceUse(ids.ServiceName("llm"), 0, 0, 43, 3, 40)
    assert urgency.must_leave_room(2, ranks, others, fitting=3)
    assert not urgency.must_leave_room(2, ranks, others, fitting=4)
    assert not urgency.must_leave_room(0, ranks, others, fitting=1)
    assert urgency.waiting_ahead(0, ranks, others) == 3
    assert urgency.waiting_ahead(2, ranks, others) == 43
    assert urgency.waiting_ahead(9, (0, 2, 9), others) == 43
    # An older version reports no ranks.
    older = fm.ServiceUse(ids.ServiceName("llm"), 0, 0, 43)
    assert not urgency.must_leave_room(2, ranks, older, fitting=0)
    assert not urgency.must_leave_room(2, (2,), others, fitting=0)
    assert urgency.waiting_ahead(2, (2,), others) == 43
    assert urgency.count_urgent(ranks, {0: 3, 2: 40}) == (3, 40)
    assert urgency.count_urgent((2,), {2: 40}) == (0, 0)


def test_stream_that_would_interrupt_others_goes_where_there_is_room():
    """Load: two instances place streams on the same engine at once."""
    zone = ids.ZoneId("z0")

    def candidate(name, streams):
        backend = backends.Backend(
            ids.BackendId(name), ids.ServiceName("llm"), name, zone
        )
        return placement.Candidate(
            backend, streams, streams * 9_000, 0, 88_000, 12, 32.0, 130.0
        )

    fuller, emptier = candidate("fuller", 8), candidate("emptier", 6)
    assert fuller.can_fit(9_000)
    assert placement.with_spare_room([fuller, emptier], 9_000) == [emptier]
    assert placement.with_spare_room([fuller], 9_000) == [fuller]
    assert urgency.may_interrupt(0, (0, 2), resumed=False)
    assert urgency.may_interrupt(2, (0, 2), resumed=True)
    assert not urgency.may_interrupt(2, (0, 2), resumed=False)
    assert not urgency.may_interrupt(2, (2,), resumed=True)


def test_urgent_streams_are_in_time_and_others_not_starved():
    """Load: twelve instances send 1.3 times what the engines can run."""
    equal = stream_simulation.Simulation(False, load=1.3).run(30_000.0)
    by_rank = stream_simulation.Simulation(True, load=1.3).run(30_000.0)
    assert by_rank.in_time_of(0) > max(0.95, equal.in_time_of(0) + 0.1)
    assert by_rank.in_time_of(2) > equal.in_time_of(2) - 0.1
    # Streams are seldom interrupted where not all engines are full.
    calm = stream_simulation.Simulation(True, load=0.8).run(30_000.0)
    assert calm.interruptions < 0.01 * calm.streams.total()
