"""Documents in which one value is not what its field should hold."""

import json

from hypothesis import strategies as st

DEEP = b"[" * 9_000 + b"]" * 9_000
# Values as they may stand in a document, whatever a field should hold.
ODD_VALUES = (
    b"null",
    b"true",
    b'""',
    b'"text"',
    b"[]",
    b"{}",
    b'[null, 1, {"a": []}]',
    b"-1",
    b"0",
    b"1.5",
    b"1e999",
    b"-1e999",
    b"1e308",
    b"NaN",
    b"Infinity",
    b"9" * 400,
    b"18446744073709551616",
    b'"\\ud800"',
    b'"\xff"',
    b'"a\\u0000b"',
    b'"' + b"x" * 9_000 + b'"',
    b'"10.0.0.9:65536"',
    b'"10.0.0.9:0"',
    b'"10.0.0.9:-1"',
    b'"10.0.0.9:8080 "',
    b'"h:8080"',
    b'":8080"',
    DEEP,
)
ODD = st.sampled_from(ODD_VALUES) | st.binary(max_size=12)
PLACEHOLDER = "place of the odd value"


def with_odd_value(document: object, path: tuple, odd: bytes) -> bytes:
    """Return a document as a row's value, with ``odd`` in one place."""
    if not path:
        return odd
    return (
        json.dumps(replaced(document, path))
        .encode()
        .replace(b'"' + PLACEHOLDER.encode() + b'"', odd)
    )


def replaced(document, path: tuple):
    """Return a copy of a document with the placeholder at ``path``."""
    if not path:
        return PLACEHOLDER
    first, rest = path[0], path[1:]
    if isinstance(document, list):
        return [
            replaced(item, rest) if index == first else item
            for index, item in enumerate(document)
        ]
    return {**document, first: replaced(document[first], rest)}


def paths(document: object, prefix: tuple = ()) -> list[tuple]:
    """Return the paths of all values within a document, its own first."""
    found = [prefix]
    if isinstance(document, dict):
        for key, value in document.items():
            found += paths(value, (*prefix, key))
    if isinstance(document, list):
        for index, value in enumerate(document):
            found += paths(value, (*prefix, index))
    return found
