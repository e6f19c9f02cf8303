"""Idempotency keys that contain their creation time, and plain ones.

A dated key is ``h<hour>-<random>``, with the hours since the Unix epoch, or
a UUID of version 7. Its age is known even after the ledger dropped it; a
plain key contains no time.
"""

import re
import uuid

from oriolejunction import ids

HOUR_MS = 3_600_000
_DATED = re.compile(r"h(\d{6})-[\w.-]{16,}")


def new_key(wall_ms: int, random_hex: str) -> ids.IdempotencyKey:
    """Return a dated key; `random_hex` has at least 16 digits."""
    return ids.IdempotencyKey(f"h{wall_ms // HOUR_MS}-{random_hex}")


def hour_of(key: ids.IdempotencyKey) -> int | None:
    """Return the hour in which a key was created, None for a plain key."""
    dated = _DATED.fullmatch(key)
    if dated is not None:
        return int(dated[1])
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) // HOUR_MS
