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


def check_message(message: bytes) -> None:
    """Raise MalformedMessageError unless the message can be read in bounded time."""
    try:
        (version,) = _U32.unpack_from(message, 0)
        if version & _VERSION_MASK != _VERSION_1:
            raise MalformedMessageError("protocol version is missing")
        position = _skip_string(message, _U32.size) + _I32.size
        if _skip_struct(message, position, 0) != len(message):
            raise MalformedMessageError("trailing bytes after the message")
    except (struct.error, IndexError) as error:
        raise MalformedMessageError("message is truncated") from error


def _skip_value(data: bytes, position: int, kind: int, depth: int) -> int:
    """Return the position after a value."""
    if depth > DEPTH_MAX:
        raise MalformedMessageError("values are nested too deep")
    if kind in _FIXED_SIZES:
        return position + _FIXED_SIZES[kind]
    if kind == TType.STRING:
        return _skip_string(data, position)
    if kind == TType.STRUCT:
        return _skip_struct(data, position, depth + 1)
    if kind == TType.MAP:
        kinds = (data[position], data[position + 1])
        return _skip_elements(data, position + 2, kinds, depth + 1)
    if kind in (TType.LIST, TType.SET):
        return _skip_elements(data, position + 1, (data[position],), depth + 1)
    raise MalformedMessageError(f"unknown type {kind}")


def _skip_string(data: bytes, position: int) -> int:
    (length,) = _I32.unpack_from(data, position)
    end = position + _I32.size + length
    if length < 0 or end > len(data):
        raise MalformedMessageError("string length exceeds the message")
    return end


def _skip_struct(data: bytes, position: int, depth: int) -> int:
    while (kind := data[position]) != TType.STOP:
        position = _skip_value(data, position + 3, kind, depth)
    return position + 1


def _skip_elements(
    data: bytes, position: int, kinds: tuple[int, ...], depth: int
) -> int:
    (count,) = _I32.unpack_from(data, position)
    position += _I32.size
    if not 0 <= count <= len(data) - position:
        raise MalformedMessageError("element count exceeds the bytes left")
    for _ in range(count):
        for kind in kinds:
            position = _skip_value(data, position, kind, depth)
    return position
