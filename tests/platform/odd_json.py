"""JSON values that another writer may leave, as bytes."""

import json

from hypothesis import strategies as st

DEEP = (
    b"[" * 100_000 + b"]" * 100_000,
    b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
)
ODD = (
    *DEEP,
    b"null",
    b"true",
    b"[]",
    b"{}",
    b"-1",
    b"0.5",
    b"9" * 400,
    b"-" + b"9" * 5_000,
    b"9223372036854775808",
    b"1e400",
    b"1e308",
    b"NaN",
    b"-Infinity",
    b"01",
    b"tru",
    b'""',
    b'"\\ud800"',
    b'"\\udc00x"',
    b'"\\x"',
    b'"\xff\xfe"',
    b'"\x01"',
    b'"\\u0000"',
    b'"' + b"a" * 100_000 + b'"',
    b'"10.0.0.1:99999"',
    b'"10.0.0.1:0"',
    b'"10.0.0.1:-1"',
    b'"10.0.0.1:+80"',
    '"10.0.0.1:\u0661"'.encode(),
    b'"10.0.0.1: 80"',
    b'"10.0.0.256:80"',
    b'"name.example:80"',
    b'"]},{"',
)
VALUES = st.sampled_from(ODD) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(st.text(max_size=4), inner, max_size=2),
    max_leaves=4,
).map(lambda value: json.dumps(value).encode())


def changed(entry: dict, fields: dict[str, bytes]) -> bytes:
    """Return an entry as JSON in which some fields have other values."""
    by_name = {
        name: json.dumps(value).encode() for name, value in entry.items()
    }
    by_name.update(fields)
    return b"{%s}" % b",".join(
        json.dumps(name).encode() + b":" + value
        for name, value in by_name.items()
    )
