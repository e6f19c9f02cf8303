"""Token chain that stand-in engines generate, and its checker.

Each token carries a tag derived from the model version, the adapter, the
prompt and the tokens before it. A missing or repeated token, or one of
another answer, is therefore detected without knowing where one attempt
replaced another. Without sampling the whole token is derived from them;
with sampling its low bits come from a nonce of the attempt.
"""

import dataclasses

import xxhash

LOW_BITS = 4
LOW_MASK = (1 << LOW_BITS) - 1
TAG_SHIFT = 52
SEPARATOR = "·"
_SEPARATOR_BYTES = SEPARATOR.encode()
_REPLACEMENT_CHARACTER = "\ufffd"
_SPLIT_RESIDUE = 3
_SPLIT_MODULUS = 8


def initial_state(version: str, adapter: str, prompt: str) -> int:
    """Return the chain state before the first token."""
    digest = xxhash.xxh64()
    for part in (version, adapter, prompt):
        digest.update(part.encode())
        digest.update(b"\0")
    return digest.intdigest()


def next_state(state: int, token: int) -> int:
    """Return the chain state after a token."""
    return xxhash.xxh64_intdigest(token.to_bytes(2, "big"), seed=state)


def next_token(state: int, nonce: int | None) -> int:
    """Return the next token, a 16-bit number.

    Without a nonce the token depends on the state alone.
    """
    low = state
    if nonce is not None:
        low = xxhash.xxh64_intdigest(nonce.to_bytes(8, "big"), seed=state)
    return (state >> TAG_SHIFT) << LOW_BITS | low & LOW_MASK


def token_bytes(previous: int | None, token: int) -> bytes:
    """Return the bytes of a token; some end inside a UTF-8 sequence."""
    head = _SEPARATOR_BYTES[1:] if is_split(previous) else b""
    tail = _SEPARATOR_BYTES[:1] if is_split(token) else _SEPARATOR_BYTES
    return head + f"{token:04x}".encode() + tail


def is_split(token: int | None) -> bool:
    """Return whether a token ends inside a UTF-8 sequence."""
    return token is not None and token % _SPLIT_MODULUS == _SPLIT_RESIDUE


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of checking an answer.

    `wrong_offset` is the offset of the first token that does not match.
    """

    complete: bool
    tokens: int
    wrong_offset: int | None = None


def check_text(
    text: str, version: str, adapter: str, prompt: str, sampled: bool = False
) -> CheckResult:
    """Check each token in the text of an answer against the chain.

    Only the last token may end inside a UTF-8 sequence.
    """
    if text.endswith(_REPLACEMENT_CHARACTER):
        text = text.removesuffix(_REPLACEMENT_CHARACTER) + SEPARATOR
    parts = text.split(SEPARATOR)
    state = initial_state(version, adapter, prompt)
    for offset, part in enumerate(parts[:-1]):
        token = _parse(part)
        expected = next_token(state, None)
        matches = token is not None and (
            token == expected
            or sampled
            and token >> LOW_BITS == expected >> LOW_BITS
        )
        if not matches:
            return CheckResult(False, len(parts) - 1, offset)
        state = next_state(state, token)
    return CheckResult(parts[-1] == "", len(parts) - 1)


def _parse(part: str) -> int | None:
    if len(part) != 4:
        return None
    try:
        return int(part, 16)
    except ValueError:
        return None
