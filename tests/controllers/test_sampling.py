"""Sampling seeds of continuations."""

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers import sampling
from oriolejunction import engine_protocol

seeds = strategies.integers(-(2**63), 2**63 - 1)


@hypothesis.given(seeds, strategies.integers(1, 1 << 17))
def test_continuation_gets_a_different_but_deterministic_seed(seed, offset):
    original = engine_protocol.Sampling(temperature=1.0, seed=seed)
    continued = sampling.for_continuation(original, offset)
    assert continued.seed != seed
    assert 0 <= continued.seed < 2**63
    assert continued == sampling.for_continuation(original, offset)
    assert sampling.for_continuation(original, 0) == original


@hypothesis.given(strategies.one_of(strategies.none(), seeds))
def test_greedy_parameters_are_unchanged(seed):
    original = engine_protocol.Sampling(temperature=0.0, seed=seed)
    assert sampling.for_continuation(original, 7) == original
    assert not sampling.is_seed_best_effort(original)
