"""Sampling parameters of a generation that goes on at another engine.

Penalties count the forced prefix as generated, so they come out as in one
attempt. Draws without a seed depend only on the tokens before them. A seed
would give the draws of the first tokens again, so that a continuation gets
one derived from it; the answer is then a fair sample, but not the one that
the same seed gives without a loss.
"""

import msgspec
import xxhash

from oriolejunction import engine_protocol

SEED_BITS = 63


def is_seed_best_effort(sampling: engine_protocol.Sampling) -> bool:
    """Return whether a loss can change what the caller's seed gives."""
    return sampling.seed is not None and sampling.temperature > 0


def for_continuation(
    sampling: engine_protocol.Sampling, offset: int
) -> engine_protocol.Sampling:
    """Return the parameters of an attempt that begins at an offset."""
    if not offset or not is_seed_best_effort(sampling):
        return sampling
    digest = xxhash.xxh64_intdigest(f"{sampling.seed}:{offset}".encode())
    seed = digest >> (64 - SEED_BITS)
    return msgspec.structs.replace(sampling, seed=seed)
