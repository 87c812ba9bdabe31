"""Fields of long JSON objects are found without creating their values."""

import tracemalloc

import orjson
import pytest
from hypothesis import given, strategies as st

from marjoramstile.completions.bodies import (
    parse_chat_body,
    parse_fields,
    parse_text_body,
)
from marjoramstile.completions.errors import CompletionError
from marjoramstile.fronts.buffers import BufferBudgetExceededError
from marjoramstile.fronts.json_bodies import (
    DEPTH_MAX,
    VALUES_AT_ONCE,
    FieldScanner,
    ScanError,
    ScannedList,
    parse_object,
)
from marjoramstile.fronts.turns import Turns
from marjoramstile.json_fields import count_values

NAMES = ("a", 'b"{', "é")
BODY_BYTES = 400_000
# A tree of values takes several times the bytes of the body.
MEMORY_MAX_BYTES = BODY_BYTES // 2
TOO_MANY = b"[" + b"[]," * VALUES_AT_ONCE + b"[]]"

json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.floats(0, 1) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
objects = st.dictionaries(st.sampled_from(NAMES) | st.text(), json_values)


def scan(data: bytes) -> dict:
    """Return the fields of an object."""
    scanner = FieldScanner(data, NAMES)
    while not scanner.advance(3):
        pass
    return scanner.values


def as_scanned(value, raw: bytes):
    """Return what the scanner makes of a parsed value."""
    if not isinstance(value, list):
        return value
    holds_objects = all(isinstance(item, dict) for item in value)
    return ScannedList(len(raw), not value, holds_objects)


@given(objects)
def test_fields_are_those_that_a_parser_finds(values):
    wanted = {
        name: as_scanned(value, orjson.dumps(value))
        for name, value in values.items()
        if name in NAMES
    }
    assert scan(orjson.dumps(values)) == wanted


@given(objects)
def test_space_between_values_is_passed_over(values):
    spaced = scan(orjson.dumps(values, option=orjson.OPT_INDENT_2))
    for name, found in scan(orjson.dumps(values)).items():
        if not isinstance(found, ScannedList):
            assert spaced[name] == found
            continue
        assert spaced[name].is_empty == found.is_empty
        assert spaced[name].holds_objects == found.holds_objects


@given(st.binary(max_size=40) | objects.map(orjson.dumps).map(lambda data: data[:-1]))
def test_anything_else_is_an_error(data):
    try:
        values = orjson.loads(data)
    except orjson.JSONDecodeError:
        values = None
    if isinstance(values, dict):
        scan(data)
        return
    try:
        scan(data)
    except ScanError:
        return
    # Values that nobody asks for are not checked.
    assert data.strip().startswith(b"{")
    assert data.strip().endswith(b"}")


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"{",
        b'{"a":1',
        b'{"a":1}}',
        b'{"a":[}',
        b'{"a":[1}',
        b'{"a":"',
        b'{"a" 1}',
        b'{"a":}',
        b'{"a":x}',
        b'{"a":[' + b"[" * DEPTH_MAX,
        b'{"a":["' + b'\\"' * 100_000,
        b'{"a":{"x":"' + b"x" * 5000 + b'"}}',
        b"{" + b'"a' * 100_000,
    ],
)
def test_what_is_no_object_is_refused(data):
    with pytest.raises(ScanError):
        scan(data)


def test_the_last_of_two_fields_counts():
    assert scan(b'{"a":1,"a":2}') == {"a": 2}


def test_names_may_be_escaped():
    assert scan(rb'{"\u0061":1}') == {"a": 1}


@pytest.mark.parametrize("value", [b"[]", b"{}", b'{"a":[[1]]}', b"1", b'"x"'])
async def test_a_body_of_many_values_takes_memory_for_all_of_them(value):
    start = b'{"model":"m","prompt":"x","messages":[{}],"extra":['
    count = (BODY_BYTES - len(start)) // (len(value) + 1) - 1
    data = start + (value + b",") * count + b"0]}"
    assert count_values(data) > VALUES_AT_ONCE
    tracemalloc.start()
    body = parse_text_body(await parse_fields(data, Turns()))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert body.prompt_bytes == 1
    assert peak < MEMORY_MAX_BYTES


async def test_a_long_chat_is_measured():
    messages = [{"role": "user", "content": "x"}] * VALUES_AT_ONCE
    raw = orjson.dumps(messages)
    data = orjson.dumps({"messages": messages, "model": "m", "n": 1})
    body = parse_chat_body(await parse_fields(data, Turns()))
    assert (body.model, body.prompt_bytes) == ("m", len(raw))


@pytest.mark.parametrize(
    "start",
    [
        b'{"model":"m","messages":[],',
        b'{"model":"m","messages":[{},1],',
        b'{"model":"m","messages":[{}, "x"],',
        b'{"model":"m","messages":[[]],',
        b'{"model":[{}],"messages":[{}],',
        b'{"model":"m","messages":[{}],"n":[],',
        b'{"model":"m","messages":[{}],"stream_options":[],',
    ],
)
async def test_fields_of_a_long_body_have_wrong_types(start):
    data = start + b'"extra":' + TOO_MANY + b"}"
    with pytest.raises(CompletionError):
        parse_chat_body(await parse_fields(data, Turns()))


async def test_too_many_bodies_of_many_values_wait():
    turns = Turns()
    for _ in range(16):
        turns.add(lambda: None)
    turns.refuses = lambda taken: taken >= 2
    with pytest.raises(BufferBudgetExceededError):
        await parse_object(b'{"a":' + TOO_MANY + b"}", NAMES, turns)


def test_messages_that_are_nested_deep_are_refused():
    """The handler failed on what orjson reads and json does not write."""
    deep = b"[" * 1010 + b"]" * 1010
    with pytest.raises(CompletionError):
        parse_chat_body(b'{"model":"m","messages":[{"a":' + deep + b"}]}")
