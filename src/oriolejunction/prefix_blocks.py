"""Chained hashes of prompt blocks, which identify prefixes in KV caches.

The hash of a block also covers all text before it, the model version and the
adapter, so that one hash identifies a complete prefix.
"""

import xxhash

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


def block_hashes(version: str, adapter: str, prompt: str) -> tuple[int, ...]:
    """Return the hash of each full block of a prompt, first to last."""
    prefix_hash = xxhash.xxh64_intdigest(f"{version}\0{adapter}\0".encode())
    hashes = []
    full_blocks_end = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, full_blocks_end, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        prefix_hash = xxhash.xxh64_intdigest(
            block.encode("utf-8", "surrogatepass"), seed=prefix_hash
        )
        hashes.append(prefix_hash)
    return tuple(hashes)


def token_estimate(prompt: str) -> int:
    """Return the approximate number of tokens of a prompt."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN
