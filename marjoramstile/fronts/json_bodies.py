"""Parses JSON objects; finds the fields of long ones without creating all values.

A parsed value takes up to a hundred times the memory of its bytes: a body of 4 MB that
holds empty lists takes over 100 MB. Here only named fields are parsed, and lists among
them are only measured. Other values are passed over: their strings and brackets have to
match, anything else is left to the replica that gets the body.
"""

import re
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson

from marjoramstile.fronts.buffers import BufferBudgetExceededError
from marjoramstile.fronts.turns import Turns
from marjoramstile.json_fields import count_values

# Values that are parsed at once; a body with more is scanned.
VALUES_AT_ONCE = 16_384
# Strings, brackets and members that are passed over in one turn.
TOKENS_PER_TURN = 2048
# Nesting of what orjson parses.
DEPTH_MAX = 1024
# Longest object that is parsed, in bytes.
OBJECT_MAX_BYTES = 4096
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# What isn't a string at a quote has no end.
_TOKEN = re.compile(rb"(" + _STRING + rb')|([\[{])|([\]}])|(")', re.DOTALL)
_NAME = re.compile(rb"[ \t\r\n]*+(" + _STRING + rb")[ \t\r\n]*+:[ \t\r\n]*+", re.DOTALL)
_SCALAR = re.compile(_STRING + rb"|[^][{},: \t\r\n\"]++", re.DOTALL)
_AFTER_VALUE = re.compile(rb"[ \t\r\n]*+([,}])")
_START = re.compile(rb"[ \t\r\n]*+\{")
_EMPTY_END = re.compile(rb"[ \t\r\n]*+\}")
# Between two values of a list.
_SEPARATORS = re.compile(rb"[, \t\r\n]*+")
_CLOSING = {ord("["): ord("]"), ord("{"): ord("}")}


class ScanError(ValueError):
    """Bytes that are no JSON object, as far as they were read."""


@dataclass(frozen=True)
class ScannedList:
    """A list that was measured, but not parsed."""

    size_bytes: int
    is_empty: bool
    holds_objects: bool


@dataclass
class _Nesting:
    """What is known of a list or an object while it is passed over."""

    closing: bytearray = field(default_factory=bytearray)
    is_empty: bool = True
    holds_objects: bool = True


class FieldScanner:
    """Passes over one JSON object, and keeps the fields that have some names."""

    def __init__(self, data: bytes, names: Collection[str]):
        self._data = data
        self._names = names
        self._values: dict[str, Any] = {}
        self._steps = self._scan()

    @property
    def values(self) -> dict[str, Any]:
        """Fields that were found; lists as ScannedList."""
        return self._values

    def advance(self, tokens: int) -> bool:
        """Pass over so many tokens; return whether the object has ended.

        Raises ScanError.
        """
        return any(next(self._steps, True) for _ in range(tokens))

    def _scan(self) -> Iterator[None]:
        position = self._match(_START, 0, "an object is missing").end()
        empty = _EMPTY_END.match(self._data, position)
        if empty is not None:
            self._check_end(empty.end())
            return
        while True:
            name = self._match(_NAME, position, "a name is missing")
            start = name.end()
            end = yield from self._pass_value(self._decode_name(name.group(1)), start)
            after = self._match(_AFTER_VALUE, end, "a value has no end")
            position = after.end()
            yield None
            if after.group(1) == b"}":
                self._check_end(position)
                return

    def _match(self, pattern: re.Pattern, position: int, message: str) -> re.Match:
        match = pattern.match(self._data, position)
        if match is None:
            raise ScanError(f"{message} at byte {position}")
        return match

    def _check_end(self, position: int) -> None:
        if self._data[position:].strip():
            raise ScanError(f"more follows the object at byte {position}")

    @staticmethod
    def _decode_name(raw: bytes) -> str:
        try:
            return orjson.loads(raw)
        except orjson.JSONDecodeError as error:
            raise ScanError(str(error)) from error

    def _pass_value(self, name: str, start: int) -> Iterator[None]:
        """Return the end of a value, and keep the value if it has one of the names."""
        is_wanted = name in self._names
        first = self._data[start : start + 1]
        if first not in (b"[", b"{"):
            end = self._match(_SCALAR, start, "a value is missing").end()
            if is_wanted:
                self._values[name] = self._parse(start, end)
            return end
        nesting = _Nesting()
        end = yield from self._pass_nested(start, nesting)
        if is_wanted and first == b"[":
            self._values[name] = ScannedList(
                end - start, nesting.is_empty, nesting.holds_objects
            )
        elif is_wanted:
            self._values[name] = self._parse_object(name, start, end)
        return end

    def _pass_nested(self, start: int, nesting: _Nesting) -> Iterator[None]:
        closing = nesting.closing
        passed = start
        for token in _TOKEN.finditer(self._data, start):
            string, opening, closed, unended = token.groups()
            if unended:
                raise ScanError(f"a string has no end at byte {token.start()}")
            if len(closing) == 1:
                self._note_item(nesting, passed, token, opening)
            if opening:
                if len(closing) >= DEPTH_MAX:
                    raise ScanError("values are nested too deep")
                closing.append(_CLOSING[opening[0]])
            elif closed and closing.pop() != closed[0]:
                raise ScanError(f"brackets don't match at byte {token.start()}")
            passed = token.end()
            if not closing:
                return passed
            yield None
        raise ScanError("a list or an object has no end")

    def _note_item(
        self, nesting: _Nesting, passed: int, token: re.Match, opening: bytes | None
    ) -> None:
        """Note what an outermost list holds, as a token and what precedes it show."""
        is_end = token.group(3) is not None
        has_scalars = not _SEPARATORS.fullmatch(self._data, passed, token.start())
        if has_scalars or not (is_end or opening == b"{"):
            nesting.holds_objects = False
        if has_scalars or not is_end:
            nesting.is_empty = False

    def _parse(self, start: int, end: int) -> Any:
        try:
            return orjson.loads(self._data[start:end])
        except orjson.JSONDecodeError as error:
            raise ScanError(str(error)) from error

    def _parse_object(self, name: str, start: int, end: int) -> Any:
        if end - start > OBJECT_MAX_BYTES:
            raise ScanError(f"{name} has more than {OBJECT_MAX_BYTES} bytes")
        return self._parse(start, end)


async def parse_object(
    data: bytes, names: Collection[str], turns: Turns
) -> dict[str, Any]:
    """Return the fields of a JSON object, those that have some names at least.

    An object of many values is scanned by ``turns``; lists are then ScannedList. Raises
    ScanError, and BufferBudgetExceededError if too many wait for their turns.
    """
    if count_values(data) > VALUES_AT_ONCE:
        return await _scan_by_turns(data, names, turns)
    return parse_whole(data)


def parse_whole(data: bytes) -> dict[str, Any]:
    """Return all fields of a JSON object; raises ScanError."""
    try:
        values = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ScanError("the body is not JSON") from error
    if not isinstance(values, dict):
        raise ScanError("the body is not a JSON object")
    return values


async def _scan_by_turns(
    data: bytes, names: Collection[str], turns: Turns
) -> dict[str, Any]:
    scanner = FieldScanner(data, names)
    taken = 0
    while not scanner.advance(TOKENS_PER_TURN):
        if turns.refuses(taken):
            raise BufferBudgetExceededError("too many bodies of many values")
        taken += 1
        await turns.wait()
    return scanner.values
