"""Reads JSON objects that other programs wrote: a sound value, or a typed error.

orjson bounds the depth of what it parses, and refuses numbers that are not finite.
"""

import ipaddress
import re
from collections.abc import Iterator
from typing import Any

import orjson

# Largest whole number that a double holds exactly.
INTEGER_MAX = 2**53
NUMBER_MAX = 1e15
# Longest text that can be a name, an address or a state, in characters.
TEXT_MAX = 4096
PORT_MAX = 65_535
PORT_DIGITS = 5
_REQUIRED = object()
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")


class MalformedJSONError(ValueError):
    """Bytes are no JSON object, or a field of one can't be used."""


def count_values(data: bytes | str) -> int:
    """Return a number that is no smaller than that of the values in JSON.

    Each may take a hundred bytes of memory and more, however short it is.
    """
    separators = (b",", b"[", b"{") if isinstance(data, bytes) else (",", "[", "{")
    return 1 + sum(data.count(separator) for separator in separators)


def parse_object(data: bytes) -> "JSONObject":
    """Return the object that ``data`` holds; raises MalformedJSONError."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MalformedJSONError(str(error)) from error
    return JSONObject(value)


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and port of ``HOST:PORT``; raises ValueError.

    Names are refused: resolving them would need another thread.
    """
    host, _, digits = text.rpartition(":")
    ipaddress.ip_address(host)
    if not digits.isascii() or not digits.isdecimal() or len(digits) > PORT_DIGITS:
        raise MalformedJSONError("the port is no number")
    port = int(digits)
    if not 0 < port <= PORT_MAX:
        raise MalformedJSONError(f"port {port} is not from 1 to {PORT_MAX}")
    return host, port


class JSONObject:
    """The fields of an object; methods raise MalformedJSONError.

    A field that is absent or null has the ``default``, if one is given. Errors name the
    field with its path within the document.
    """

    def __init__(
        self,
        values: Any,
        parent: "JSONObject | None" = None,
        name: str = "",
        index: int | None = None,
    ):
        """``name`` is the field of ``parent``, ``index`` the place in its list."""
        self._parent = parent
        self._name = name
        self._index = index
        if not isinstance(values, dict):
            prefix = f"{self.path}: " if self.path else ""
            found = type(values).__name__
            raise MalformedJSONError(f"{prefix}{found} in place of an object")
        self._values = values

    @property
    def path(self) -> str:
        """Path of this object within the document; empty for the document."""
        if self._parent is None:
            return ""
        place = "" if self._index is None else f"[{self._index}]"
        return self._parent.path_of(self._name) + place

    def path_of(self, name: str) -> str:
        """Return the path of a field within the document."""
        path = self.path
        return f"{path}.{name}" if path else name

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all fields."""
        return tuple(self._values)

    def _get(self, name: str, default: Any) -> Any:
        value = self._values.get(name)
        if value is not None:
            return value
        if default is _REQUIRED:
            raise MalformedJSONError(f"{self.path_of(name)} is missing")
        return default

    def text(self, name: str, default: Any = _REQUIRED) -> str:
        """Return a text without control characters, which is not empty."""
        value = self._get(name, default)
        if value is default:
            return value
        if not isinstance(value, str) or not 0 < len(value) <= TEXT_MAX:
            raise MalformedJSONError(
                f"{self.path_of(name)} is no text, or has no proper length"
            )
        if _CONTROL_CHARACTER.search(value):
            raise MalformedJSONError(f"{self.path_of(name)} holds control characters")
        return value

    def data(self, name: str) -> str:
        """Return a text of any length, empty if absent."""
        value = self._get(name, "")
        if not isinstance(value, str):
            raise MalformedJSONError(f"{self.path_of(name)} is no text")
        return value

    def integer(
        self, name: str, minimum: int = 0, maximum: int = INTEGER_MAX, default=_REQUIRED
    ) -> int:
        """Return a whole number within bounds; 1.0 is one, too."""
        value = self._get(name, default)
        if value is default:
            return value
        is_whole = type(value) is int or (type(value) is float and value.is_integer())
        if not is_whole or not minimum <= value <= maximum:
            raise MalformedJSONError(
                f"{self.path_of(name)} is no whole number from {minimum} to {maximum}"
            )
        return int(value)

    def number(
        self,
        name: str,
        minimum: float = 0.0,
        maximum: float = NUMBER_MAX,
        default=_REQUIRED,
    ) -> float:
        """Return a number within bounds."""
        value = self._get(name, default)
        if value is default:
            return value
        if type(value) not in (int, float) or not minimum <= value <= maximum:
            raise MalformedJSONError(
                f"{self.path_of(name)} is no number from {minimum} to {maximum}"
            )
        return value

    def flag(self, name: str, default: Any = _REQUIRED) -> bool:
        """Return true or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise MalformedJSONError(f"{self.path_of(name)} is neither true nor false")
        return value

    def items(self, name: str, default: Any = _REQUIRED) -> list[Any]:
        """Return a list of any values."""
        value = self._get(name, default)
        if not isinstance(value, list):
            raise MalformedJSONError(f"{self.path_of(name)} is no list")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts, which may be empty."""
        values = self.items(name)
        if not all(isinstance(value, str) for value in values):
            raise MalformedJSONError(f"{self.path_of(name)} is no list of texts")
        return tuple(values)

    def objects(self, name: str, default: Any = _REQUIRED) -> Iterator["JSONObject"]:
        """Yield the objects of a list."""
        for index, value in enumerate(self.items(name, default)):
            yield JSONObject(value, self, name, index)

    def object(self, name: str, default: Any = _REQUIRED) -> "JSONObject":
        """Return an object."""
        value = self._get(name, default)
        return value if value is default else JSONObject(value, self, name)
