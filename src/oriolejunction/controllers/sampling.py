"""Sampling parameters of a generation that continues on another engine.

Engines count the forced prefix as generated, so penalties are the same as in
a single attempt. Without a seed, the distribution of each token depends only
on the tokens before it. The caller's seed would repeat the random draws of
the first tokens, so a continuation gets a seed derived from it and its
offset. The answer is then an unbiased sample, but not the one that the same
seed gives without a loss.
"""

import msgspec
import xxhash

from oriolejunction import engine_protocol

SEED_BITS = 63


def is_seed_best_effort(sampling: engine_protocol.Sampling) -> bool:
    """Return whether a loss can change the answer for a caller's seed."""
    return sampling.seed is not None and sampling.temperature > 0


def for_continuation(
    sampling: engine_protocol.Sampling, offset: int
) -> engine_protocol.Sampling:
    """Return the parameters of an attempt that begins at token `offset`."""
    if not offset or not is_seed_best_effort(sampling):
        return sampling
    digest = xxhash.xxh64_intdigest(f"{sampling.seed}:{offset}".encode())
    seed = digest >> (64 - SEED_BITS)
    return msgspec.structs.replace(sampling, seed=seed)
