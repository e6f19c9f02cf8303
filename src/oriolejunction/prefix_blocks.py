"""Chained hashes of the blocks of a prompt, by which caches are known.

The hash of a block covers all text before it, the model version and the
adapter, so that one hash names a whole prefix.
"""

import xxhash

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


def block_hashes(version: str, adapter: str, prompt: str) -> tuple[int, ...]:
    """Return the hash of each whole block of a prompt, first to last."""
    state = xxhash.xxh64_intdigest(f"{version}\0{adapter}\0".encode())
    hashes = []
    whole = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, whole, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        state = xxhash.xxh64_intdigest(
            block.encode("utf-8", "surrogatepass"), seed=state
        )
        hashes.append(state)
    return tuple(hashes)


def token_estimate(prompt: str) -> int:
    """Return about how many tokens a prompt has."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN
