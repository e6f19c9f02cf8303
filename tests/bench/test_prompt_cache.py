"""Placement with cached prompt parts, in virtual time."""

from oriolejunction.bench import cache_simulation


def run(uses_cache, **load):
    """Run one load of the bench for 40 s."""
    setup = cache_simulation.Load(**load)
    return cache_simulation.Simulation(uses_cache, setup, 1).run(40_000.0)


def test_cached_parts_save_prefill():
    """Failure: the knowledge of what engines hold brings no gain."""
    without, used = run(False, skew=1.1), run(True, skew=1.1)
    assert without.streams == used.streams
    saved = used.hit_tokens / used.tokens
    assert saved > 1.2 * without.hit_tokens / without.tokens


def test_hot_part_does_not_overload_its_holder():
    """Failure: the engine that holds a popular part gets all its requests."""
    assert run(True, hot=0.6).worst_load < 2.0
