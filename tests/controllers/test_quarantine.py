"""Poisonous requests are named by the second loss, innocent ones never."""

import hypothesis
from hypothesis import strategies

from oriolejunction import clock as clocks
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction.controllers import route_request

ENGINES = tuple(f"e{number}" for number in range(8))
ZONE_BY_ENGINE = {e: f"z{n % 4}" for n, e in enumerate(ENGINES)}


def _quarantine():
    clock = clocks.ManualClock()
    return quarantines.Quarantine(clock, lambda zone: 2), clock


def _place(quarantine, name, engine, offset=0):
    placement = route_request.Placement(name, engine)
    quarantine.record_dispatch(placement, name, offset)
    return placement


def _lose(quarantine, placement):
    zone = ZONE_BY_ENGINE[placement.engine_id]
    return quarantine.record_loss(placement, zone)


def _wait(clock):
    clock.advance(quarantines.LOSS_WINDOW_MS + 1)


def test_second_loss_names_the_request_for_a_bounded_time():
    quarantine, clock = _quarantine()
    for engine in ENGINES[:2]:
        _lose(quarantine, _place(quarantine, "poison", engine))
        _wait(clock)
    assert quarantine.refused_for_ms("poison") > 0
    clock.advance(quarantines.STRIKE_TTL_MS)
    assert quarantine.refused_for_ms("poison") == 0


def test_neighbour_that_goes_on_elsewhere_is_cleared():
    quarantine, clock = _quarantine()
    placements = [_place(quarantine, n, "e0") for n in ("poison", "innocent")]
    for placement in placements:
        _lose(quarantine, placement)
    assert quarantine.must_isolate("innocent")
    again = _place(quarantine, "innocent", "e1")
    quarantine.record_progress(again, quarantines.PROBATION_TOKENS)
    assert quarantine.last_strike("innocent") is None
    assert quarantine.must_isolate("poison")


def test_loss_of_a_zone_gives_no_strikes():
    quarantine, clock = _quarantine()
    placements = [_place(quarantine, "innocent", e) for e in ("e0", "e4")]
    for placement in placements:
        _lose(quarantine, placement)
        clock.advance(300)
    _wait(clock)
    assert quarantine.last_strike("innocent") is None
    assert quarantine.refused_for_ms("innocent") == 0


def test_request_sent_to_an_engine_already_lost_is_not_blamed():
    quarantine, clock = _quarantine()
    _lose(quarantine, _place(quarantine, "poison", "e0"))
    clock.advance(200)
    _lose(quarantine, _place(quarantine, "innocent", "e0"))
    assert quarantine.last_strike("innocent") is None
    assert quarantine.must_isolate("poison")


def test_strike_of_a_peer_names_and_clears_like_an_own():
    quarantine, clock = _quarantine()
    strike = quarantines.Strike("p", "e0", "z0", 0.0, -10.0, 0, True)
    quarantine.add_strike(strike)
    quarantine.add_strike(strike)
    _wait(clock)
    _lose(quarantine, _place(quarantine, "p", "e1"))
    _wait(clock)
    assert quarantine.refused_for_ms("p") > 0
    other, clock = _quarantine()
    other.add_strike(strike)
    other.observe_peer("i", {}, {}, {"p": 1.0})
    assert other.last_strike("p") is None


def _engine_for(quarantine, name, lost_before):
    """Route as the dispatcher does: struck requests run apart."""
    struck = quarantine.must_isolate(name)
    for engine in ENGINES:
        if engine in lost_before:
            continue
        if struck and quarantine.suspect_count(engine, name):
            continue
        if not struck and quarantine.is_reserved(engine, name):
            continue
        return engine
    return None


_NAMES = ("poison", "a", "b", "c")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(_NAMES),
            strategies.sampled_from(["send", "prove", "wait"]),
        ),
        max_size=60,
    )
)
def test_innocent_is_never_refused_and_poison_takes_two_engines(steps):
    quarantine, clock = _quarantine()
    placement_by_name, lost_by_poison = {}, 0
    for name, step in steps:
        if step == "wait":
            _wait(clock)
        if step == "prove" and name in placement_by_name:
            quarantine.record_progress(placement_by_name[name], 1_000)
        if step != "send" or name in placement_by_name:
            continue
        held = quarantine.verdict_delay_ms(name) > 0
        if held or quarantine.refused_for_ms(name):
            assert name == "poison"
            continue
        engine = _engine_for(quarantine, name, ())
        if engine is None:
            continue
        placement_by_name[name] = _place(quarantine, name, engine)
        if name != "poison":
            continue
        lost_by_poison += 1
        for other, placement in list(placement_by_name.items()):
            if placement.engine_id == engine:
                _lose(quarantine, placement)
                del placement_by_name[other]
        _wait(clock)
    for name in _NAMES[1:]:
        assert quarantine.refused_for_ms(name) == 0
    assert lost_by_poison <= 2
