"""The second loss refuses a request that crashes engines, never another."""

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


def _dispatch(quarantine, name, engine, offset=0):
    placement = route_request.Placement(name, engine)
    quarantine.record_dispatch(placement, name, offset)
    return placement


def _lose(quarantine, placement):
    zone = ZONE_BY_ENGINE[placement.engine_id]
    return quarantine.record_loss(placement, zone)


def _wait_for_verdict(clock):
    clock.advance(quarantines.LOSS_WINDOW_MS + 1)


def test_second_loss_refuses_the_request_for_a_bounded_time():
    quarantine, clock = _quarantine()
    for engine in ENGINES[:2]:
        _lose(quarantine, _dispatch(quarantine, "poison", engine))
        _wait_for_verdict(clock)
    assert quarantine.refused_for_ms("poison") > 0
    clock.advance(quarantines.STRIKE_TTL_MS)
    assert quarantine.refused_for_ms("poison") == 0


def test_neighbour_that_continues_elsewhere_is_cleared():
    quarantine, clock = _quarantine()
    placements = [
        _dispatch(quarantine, n, "e0") for n in ("poison", "innocent")
    ]
    for placement in placements:
        _lose(quarantine, placement)
    assert quarantine.must_isolate("innocent")
    again = _dispatch(quarantine, "innocent", "e1")
    quarantine.record_progress(again, quarantines.PROBATION_TOKENS)
    assert quarantine.last_strike("innocent") is None
    assert quarantine.must_isolate("poison")


def test_loss_of_a_zone_gives_no_strikes():
    quarantine, clock = _quarantine()
    placements = [_dispatch(quarantine, "innocent", e) for e in ("e0", "e4")]
    for placement in placements:
        _lose(quarantine, placement)
        clock.advance(300)
    _wait_for_verdict(clock)
    assert quarantine.last_strike("innocent") is None
    assert quarantine.refused_for_ms("innocent") == 0


def test_isolated_request_runs_on_one_engine_at_a_time():
    """Load: an isolated run is silent for a while, and then crashes."""
    quarantine, clock = _quarantine()
    _lose(quarantine, _dispatch(quarantine, "poison", "e0"))
    assert not quarantine.is_on_trial("poison")
    isolated = _dispatch(quarantine, "poison", "e1")
    assert quarantine.is_on_trial("poison")
    assert not quarantine.is_on_trial("innocent")
    _lose(quarantine, isolated)
    assert not quarantine.is_on_trial("poison")
    _wait_for_verdict(clock)
    assert quarantine.refused_for_ms("poison") > 0


def test_new_request_on_the_engine_excuses_no_second_strike():
    """Load: another instance sends it before it knows of the isolation."""
    quarantine, clock = _quarantine()
    _lose(quarantine, _dispatch(quarantine, "poison", "e0"))
    clock.advance(2_000)
    isolated = _dispatch(quarantine, "poison", "e1")
    new = _dispatch(quarantine, "innocent", "e1")
    _lose(quarantine, isolated)
    _lose(quarantine, new)
    _wait_for_verdict(clock)
    assert quarantine.refused_for_ms("poison") > 0
    assert quarantine.refused_for_ms("innocent") == 0


def test_loss_after_its_probation_makes_no_request_a_suspect():
    """Load: a request lost its engine late, and meets an isolated one."""
    quarantine, clock = _quarantine()
    late = _dispatch(quarantine, "innocent", "e4")
    quarantine.record_progress(late, quarantines.PROBATION_TOKENS)
    _lose(quarantine, late)
    clock.advance(2_000)
    _lose(quarantine, _dispatch(quarantine, "poison", "e0"))
    clock.advance(2_000)
    isolated = _dispatch(quarantine, "poison", "e1")
    beside = _dispatch(quarantine, "innocent", "e1", offset=16)
    _lose(quarantine, isolated)
    _lose(quarantine, beside)
    _wait_for_verdict(clock)
    assert quarantine.refused_for_ms("poison") > 0
    assert quarantine.refused_for_ms("innocent") == 0


def test_two_requests_with_the_same_strikes_are_both_sent_again():
    """Load: one of them crashed both engines; which one is not known."""
    quarantine, clock = _quarantine()
    for engine in ("e0", "e1"):
        placements = [
            _dispatch(quarantine, name, engine)
            for name in ("poison", "innocent")
        ]
        for placement in placements:
            _lose(quarantine, placement)
        clock.advance(2_000)
    assert quarantine.refused_for_ms("poison") == 0
    assert quarantine.refused_for_ms("innocent") == 0


def test_trial_ends_with_a_stall_or_enough_tokens():
    quarantine, _ = _quarantine()
    _lose(quarantine, _dispatch(quarantine, "innocent", "e0"))
    stalled = _dispatch(quarantine, "innocent", "e1")
    quarantine.record_stall(stalled, "z1")
    assert not quarantine.is_on_trial("innocent")
    again = _dispatch(quarantine, "innocent", "e2")
    assert quarantine.is_on_trial("innocent")
    quarantine.record_progress(again, quarantines.PROBATION_TOKENS)
    assert not quarantine.is_on_trial("innocent")


# A stall and the loss that follows it are one event, not two.
def test_stall_and_loss_of_one_attempt_give_one_strike():
    quarantine, clock = _quarantine()
    placement = _dispatch(quarantine, "innocent", "e0")
    quarantine.record_stall(placement, "z0")
    assert quarantine.must_isolate("innocent")
    _wait_for_verdict(clock)
    _lose(quarantine, placement)
    _wait_for_verdict(clock)
    assert quarantine.refused_for_ms("innocent") == 0


def test_stalled_attempt_that_completes_is_cleared():
    quarantine, clock = _quarantine()
    placement = _dispatch(quarantine, "innocent", "e0")
    quarantine.record_stall(placement, "z0")
    quarantine.record_finish(placement, complete=True)
    assert quarantine.last_strike("innocent") is None


def test_request_sent_to_an_engine_already_lost_is_not_blamed():
    quarantine, clock = _quarantine()
    _lose(quarantine, _dispatch(quarantine, "poison", "e0"))
    clock.advance(200)
    _lose(quarantine, _dispatch(quarantine, "innocent", "e0"))
    assert quarantine.last_strike("innocent") is None
    assert quarantine.must_isolate("poison")


def test_strike_of_a_peer_counts_and_clears_like_an_own_one():
    quarantine, clock = _quarantine()
    strike = quarantines.Strike("p", "e0", "z0", 0.0, -10.0, 0, True)
    quarantine.add_strike(strike)
    quarantine.add_strike(strike)
    _wait_for_verdict(clock)
    _lose(quarantine, _dispatch(quarantine, "p", "e1"))
    _wait_for_verdict(clock)
    assert quarantine.refused_for_ms("p") > 0
    other, clock = _quarantine()
    other.add_strike(strike)
    other.observe_peer("i", {}, {}, {"p": 1.0})
    assert other.last_strike("p") is None


def _engine_for(quarantine, name, lost_engines):
    """Return an engine as the dispatcher does, isolating after a strike."""
    isolated = quarantine.must_isolate(name)
    for engine in ENGINES:
        if engine in lost_engines:
            continue
        if isolated and quarantine.suspect_count(engine, name):
            continue
        if not isolated and quarantine.is_reserved(engine, name):
            continue
        return engine
    return None


_NAMES = ("poison", "a", "b", "c")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(_NAMES),
            strategies.sampled_from(["send", "progress", "wait"]),
        ),
        max_size=60,
    )
)
def test_only_the_poison_is_refused_after_two_engine_losses(steps):
    quarantine, clock = _quarantine()
    placement_by_name, engines_lost = {}, 0
    for name, step in steps:
        if step == "wait":
            _wait_for_verdict(clock)
        if step == "progress" and name in placement_by_name:
            quarantine.record_progress(placement_by_name[name], 1_000)
        if step != "send" or name in placement_by_name:
            continue
        awaits_verdict = quarantine.verdict_delay_ms(name) > 0
        if awaits_verdict or quarantine.refused_for_ms(name):
            assert name == "poison"
            continue
        engine = _engine_for(quarantine, name, ())
        if engine is None:
            continue
        placement_by_name[name] = _dispatch(quarantine, name, engine)
        if name != "poison":
            continue
        engines_lost += 1
        for other, placement in list(placement_by_name.items()):
            if placement.engine_id == engine:
                _lose(quarantine, placement)
                del placement_by_name[other]
        _wait_for_verdict(clock)
    for name in _NAMES[1:]:
        assert quarantine.refused_for_ms(name) == 0
    assert engines_lost <= 2
