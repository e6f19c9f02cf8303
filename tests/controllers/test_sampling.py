"""Seeds of continuations."""

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers import sampling
from oriolejunction import engine_protocol

seeds = strategies.integers(-(2**63), 2**63 - 1)


@hypothesis.given(seeds, strategies.integers(1, 1 << 17))
def test_continuation_does_not_draw_the_first_tokens_again(seed, offset):
    asked = engine_protocol.Sampling(temperature=1.0, seed=seed)
    continued = sampling.for_continuation(asked, offset)
    assert continued.seed != seed
    assert 0 <= continued.seed < 2**63
    assert continued == sampling.for_continuation(asked, offset)
    assert sampling.for_continuation(asked, 0) == asked


@hypothesis.given(strategies.one_of(strategies.none(), seeds))
def test_greedy_parameters_stay_as_they_are(seed):
    asked = engine_protocol.Sampling(temperature=0.0, seed=seed)
    assert sampling.for_continuation(asked, 7) == asked
    assert not sampling.is_seed_best_effort(asked)
