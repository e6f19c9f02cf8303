"""Reads JSON from outside systems, of which a part may be unreadable.

A decoder gives up a whole text for one part that is nested too deeply or not
JSON. Where the parts come from different writers, the others are still used.
"""

import itertools
import re
import typing

import msgspec

# What decoders raise for input that they can't read: texts that are no JSON or
# no UTF-8, numbers beyond the limits of the types, and values nested deeper
# than the stack.
DECODE_ERRORS = (ValueError, OverflowError, RecursionError)
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Beyond what any outside system has, and far from the limits of arithmetic
# and of the messages between processes.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
# Strings, brackets and commas; all else lies in between.
_TOKEN = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
# Within an item: strings, and runs of brackets as they open or close, with the
# names of fields between them, so that deep values are passed over quickly.
_RUN = re.compile(
    rb'(?:[\[{](?:\s|"[^"\\\[\]{}]*+"\s*+:)*+)++|[\]}][\]}\s]*+|' + _STRING,
    re.DOTALL,
)
_ARRAY_FOLLOWS = re.compile(rb"\s*:\s*\[")


def split_items(
    data: bytes, field: str | None = None
) -> tuple[list[bytes], bytes]:
    """Return the items of an array, and the text with the array emptied.

    The array is that of a field of the outermost object, or without `field`
    the text itself. Only strings and brackets are looked at, so that items of
    any depth or content are found. Raise `msgspec.DecodeError` for a text that
    is cut off or has no such array.
    """
    name = None if field is None else b'"%s"' % field.encode()
    level = 1 if name is None else 2
    depth, items = 0, []
    # Where the array and its current item begin, and where the array ends.
    begin = item_begin = end = None
    position = 0
    while True:
        is_within_item = depth > level
        token = (_RUN if is_within_item else _TOKEN).search(data, position)
        if token is None:
            break
        text, position = token.group(), token.end()
        first = text[:1]
        if is_within_item:
            if first in b"[{":
                depth += text.count(b"[") + text.count(b"{")
            elif first in b"]}":
                closed = min(_bracket_count(text), depth - level)
                depth -= closed
                position = token.start() + _end_of_brackets(text, closed)
            continue
        if first in b"[{":
            if name is None and depth == 0 and first == b"[":
                begin = item_begin = position
            depth += 1
        elif first in b"]}":
            if depth == level and begin is not None and end is None:
                end = token.start()
                items.append(data[item_begin:end])
            depth -= 1
        elif first == b",":
            if depth == level and begin is not None and end is None:
                items.append(data[item_begin : token.start()])
                item_begin = position
        elif depth == 1 and text == name and begin is None:
            opening = _ARRAY_FOLLOWS.match(data, position)
            if opening is not None:
                begin = item_begin = position = opening.end()
                depth += 1
    if depth != 0 or end is None:
        raise msgspec.DecodeError("cut off, or without the expected array")
    items = [item for item in items if item.strip()]
    return items, data[:begin] + data[end:]


def _bracket_count(text: bytes) -> int:
    return text.count(b"]") + text.count(b"}")


def _end_of_brackets(text: bytes, count: int) -> int:
    """Return the position after some closing brackets of a run."""
    if count == _bracket_count(text):
        return len(text)
    positions = (n for n, each in enumerate(text) if each in b"]}")
    return next(itertools.islice(positions, count - 1, None)) + 1
