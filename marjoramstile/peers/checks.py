"""Checks thrift messages before the library reads them.

thriftpy2 skips unknown fields element by element, also if elements of an unknown type
take no bytes: a malformed message of 40 bytes could block the event loop for minutes.
A message that passes these checks holds only known types, within its length.
"""

import struct

from thriftpy2.thrift import TException, TType

DEPTH_MAX = 8
_VERSION_MASK = 0xFFFF0000
_VERSION_1 = 0x80010000
_FIXED_SIZES = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.DOUBLE: 8,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
}
_I32 = struct.Struct("!i")
_U32 = struct.Struct("!I")


class MalformedMessageError(TException):
    """A message violates the binary protocol."""


def check_message(message: bytes, max_values: int | None = None) -> None:
    """Raise MalformedMessageError unless the message can be read in bounded time.

    A message of more than ``max_values`` values is malformed, too.
    """
    _Check(message, max_values).run()


class _Check:
    """Passes over a message; methods return the position after what they skip."""

    def __init__(self, message: bytes, max_values: int | None):
        self._data = message
        self._values_left = len(message) if max_values is None else max_values

    def run(self) -> None:
        data = self._data
        try:
            (version,) = _U32.unpack_from(data, 0)
            if version & _VERSION_MASK != _VERSION_1:
                raise MalformedMessageError("protocol version is missing")
            position = self._skip_string(_U32.size) + _I32.size
            if self._skip_struct(position, 0) != len(data):
                raise MalformedMessageError("trailing bytes after the message")
        except (struct.error, IndexError) as error:
            raise MalformedMessageError("message is truncated") from error

    def _skip_value(self, position: int, kind: int, depth: int) -> int:
        self._values_left -= 1
        if self._values_left < 0:
            raise MalformedMessageError("the message has too many values")
        if depth > DEPTH_MAX:
            raise MalformedMessageError("values are nested too deep")
        if kind in _FIXED_SIZES:
            return position + _FIXED_SIZES[kind]
        if kind == TType.STRING:
            return self._skip_string(position)
        if kind == TType.STRUCT:
            return self._skip_struct(position, depth + 1)
        if kind == TType.MAP:
            kinds = (self._data[position], self._data[position + 1])
            return self._skip_elements(position + 2, kinds, depth + 1)
        if kind in (TType.LIST, TType.SET):
            kinds = (self._data[position],)
            return self._skip_elements(position + 1, kinds, depth + 1)
        raise MalformedMessageError(f"unknown type {kind}")

    def _skip_string(self, position: int) -> int:
        (length,) = _I32.unpack_from(self._data, position)
        end = position + _I32.size + length
        if length < 0 or end > len(self._data):
            raise MalformedMessageError("string length exceeds the message")
        return end

    def _skip_struct(self, position: int, depth: int) -> int:
        while (kind := self._data[position]) != TType.STOP:
            position = self._skip_value(position + 3, kind, depth)
        return position + 1

    def _skip_elements(self, position: int, kinds: tuple[int, ...], depth: int) -> int:
        (count,) = _I32.unpack_from(self._data, position)
        position += _I32.size
        if not 0 <= count <= len(self._data) - position:
            raise MalformedMessageError("element count exceeds the bytes left")
        for _ in range(count):
            for kind in kinds:
                position = self._skip_value(position, kind, depth)
        return position
