"""Compact record of the tokens of one generation with their text.

Tokens that were delivered together form a segment; a caller can resume only
at the end of a segment.
"""

import array
import bisect

import msgspec

_ID_TYPE = "q"
_POSITION_TYPE = "I"
_POSITION_BYTES = 4
SEGMENT_BYTES = 2 * _POSITION_BYTES


class PackedTokens(msgspec.Struct, frozen=True, array_like=True):
    """A token log as raw arrays, for processes of the same byte order."""

    ids: bytes = b""
    text: bytes = b""
    ends: bytes = b""
    text_ends: bytes = b""


class TokenLog:
    """Token ids, their text, and the end of each segment in both."""

    def __init__(self) -> None:
        self.ids = array.array(_ID_TYPE)
        self._text = bytearray()
        self._ends = array.array(_POSITION_TYPE)
        self._text_ends = array.array(_POSITION_TYPE)

    @property
    def end(self) -> int:
        """Return the number of tokens."""
        return len(self.ids)

    @property
    def size_bytes(self) -> int:
        """Return the size of the arrays without unused capacity."""
        return (
            self.ids.itemsize * len(self.ids)
            + len(self._text)
            + SEGMENT_BYTES * len(self._ends)
        )

    def append(self, token_ids: tuple[int, ...], text: str) -> None:
        """Add one segment."""
        self.ids.extend(token_ids)
        self._text += text.encode()
        self._ends.append(len(self.ids))
        self._text_ends.append(len(self._text))

    def is_boundary(self, offset: int) -> bool:
        """Return whether `offset` is 0 or the end of a segment."""
        if offset == 0:
            return True
        position = bisect.bisect_left(self._ends, offset)
        return position < len(self._ends) and self._ends[position] == offset

    def segments_after(self, offset: int) -> list[tuple[tuple[int, ...], str]]:
        """Return the ids and text of each segment after a boundary."""
        first = bisect.bisect_right(self._ends, offset) if offset else 0
        start = self._ends[first - 1] if first else 0
        text_start = self._text_ends[first - 1] if first else 0
        segments = []
        for end, text_end in zip(self._ends[first:], self._text_ends[first:]):
            text = self._text[text_start:text_end].decode()
            segments.append((tuple(self.ids[start:end]), text))
            start, text_start = end, text_end
        return segments

    def pack(self) -> PackedTokens:
        """Return the log as a message."""
        return PackedTokens(
            self.ids.tobytes(),
            bytes(self._text),
            self._ends.tobytes(),
            self._text_ends.tobytes(),
        )


def unpack(packed: PackedTokens) -> TokenLog:
    """Return the log that a message contains."""
    log = TokenLog()
    log.ids.frombytes(packed.ids)
    log._text += packed.text
    log._ends.frombytes(packed.ends)
    log._text_ends.frombytes(packed.text_ends)
    return log
