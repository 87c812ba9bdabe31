"""Encodes and decodes thrift messages in memory, in the binary protocol.

Messages are written by the library's compiled protocol and read by its Python one: on
a malformed message the compiled one reads past the end or never returns.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import (
    TApplicationException,
    TMessageType,
    TProcessor,
    args_to_kwargs,
)
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.transport.memory import TCyMemoryBuffer

from marjoramstile.peers.checks import check_message
from marjoramstile.peers.peer_types import PeerService

# Values of a call, those of its parts included; daemons send a few hundred.
CALL_VALUES_MAX = 8192


@dataclass(frozen=True)
class IncomingCall:
    """A call to answer: run ``handle`` and store its value in ``result``."""

    method: str
    result: Any
    handle: Callable[[], Awaitable[Any]] | None


def _encode(method: str, kind: int, payload: Any) -> bytes:
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_message_begin(method, kind, 0)
    protocol.write_struct(payload)
    protocol.write_message_end()
    protocol.trans.flush()
    return buffer.getvalue()


def encode_call(method: str, *arguments: Any) -> bytes:
    """Return the message that calls ``method``."""
    args_class = getattr(PeerService, f"{method}_args")
    fields = args_to_kwargs(args_class.thrift_spec, *arguments)
    return _encode(method, TMessageType.CALL, args_class(**fields))


def decode_call(processor: TProcessor, message: bytes) -> IncomingCall:
    """Return the call in ``message``; ``handle`` is None if its method is unknown.

    Raises MalformedMessageError for more values than any call has.
    """
    check_message(message, CALL_VALUES_MAX)
    protocol = TBinaryProtocol(TMemoryBuffer(message))
    method, _, result, handle = processor.process_in(protocol)
    return IncomingCall(method, result, handle)


def encode_answer(call: IncomingCall) -> bytes:
    """Return the message that answers ``call``."""
    failed = isinstance(call.result, TApplicationException)
    kind = TMessageType.EXCEPTION if failed else TMessageType.REPLY
    return _encode(call.method, kind, call.result)


def decode_answer(message: bytes) -> Any:
    """Return the value of a peer's answer, or raise the error that it holds."""
    check_message(message)
    protocol = TBinaryProtocol(TMemoryBuffer(message))
    method, kind, _ = protocol.read_message_begin()
    if kind == TMessageType.EXCEPTION:
        error = TApplicationException()
        protocol.read_struct(error)
        raise error
    result = getattr(PeerService, f"{method}_result")()
    protocol.read_struct(result)
    return result.success
