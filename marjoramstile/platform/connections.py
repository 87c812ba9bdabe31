"""Connections on which only a whole answer is taken for one.

aiohttp treats the end of a connection as the end of a response without a length, even
if the connection was reset, or if the request is still being written; libuv reports a
reset that it polls together with the last bytes as a regular end of file.
"""

import array
import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from marjoramstile.logs import get_logger
from marjoramstile.platform.wholeness import (
    AnswerFault,
    UnwholeAnswerError,
    end_fault,
    head_fault,
)

# Bytes of a response besides its body: heads, interim responses, chunk sizes and
# extensions, trailers. It includes bytes that are read and not yet parsed.
FRAMING_MAX_BYTES = 131_072
# The same before the first byte of a body.
HEAD_MAX_BYTES = 32_768
# Framing allowed per byte of the body; a chunk of one byte has five bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Bytes that are parsed at a time until a body begins: a read may hold thousands of
# interim responses.
HEAD_SLICE_BYTES = 4096

# State of a TCP connection whose peer has sent FIN, in the first byte of TCP_INFO.
TCP_CLOSE_WAIT = 8
# Bytes of TCP_INFO up to the times in ms since data was sent, and was received last.
TCP_INFO_BYTES = 56
DATA_SENT_OFFSET = 44
DATA_RECEIVED_OFFSET = 52
# Bytes of a request that the kernel takes beyond those that it can send. What it has
# taken may reach the replica while this process is busy, and is not seen to be unsent.
UNSENT_MAX_BYTES = 65_536

# Replicas accept connections in milliseconds.
SLOW_CONNECT_S = 0.15

logger = get_logger(__name__)


class ReplicaConnection(ResponseHandler):
    """aiohttp client protocol that fails a response which is not whole.

    It carries one response, and aborts the connection if the response turns out not to
    be whole, or if its framing exceeds the limit.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._received_bytes = 0
        self._request_written = False
        self._failure: UnwholeAnswerError | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep most of a long request in this process until it can be sent."""
        super().connection_made(transport)
        transport_socket = transport.get_extra_info("socket")
        with suppress(OSError):
            transport_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_MAX_BYTES
            )

    def data_received(self, data: bytes) -> None:
        """Receive bytes; abort the connection if there is too much framing.

        aiohttp calls this with no bytes to go on after a pause.
        """
        while len(data) > HEAD_SLICE_BYTES and not (self._body_bytes or self._failure):
            self._parse(data[:HEAD_SLICE_BYTES])
            data = data[HEAD_SLICE_BYTES:]
        if not self._failure:
            self._parse(data)
            self._check_request_written()

    @property
    def _body_bytes(self) -> int:
        return 0 if self._payload is None else self._payload.total_bytes

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        self._received_bytes += len(data)
        body_bytes = self._body_bytes
        framing_bytes = self._received_bytes - body_bytes
        max_bytes = FRAMING_MAX_BYTES if body_bytes else HEAD_MAX_BYTES
        if framing_bytes > max_bytes + FRAMING_BYTES_PER_BODY_BYTE * body_bytes:
            self._abort_endless_framing(framing_bytes)

    def _check_request_written(self) -> None:
        """Note whether the peer had received the whole request at the last bytes."""
        if not self._request_written and self._has_open_payload:
            self._request_written = _unsent_bytes(self.transport) == 0

    @property
    def _has_open_payload(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take the head of an interim or the final response, unless it is invalid."""
        message, _ = data
        fault = head_fault(message.code, message.headers)
        if fault is None:
            super().feed_data(data, size)
        else:
            self._fail(fault, f"status {message.code:03}")

    def _abort_endless_framing(self, framing_bytes: int) -> None:
        if self.transport is not None and not self.transport.is_closing():
            logger.warning("answer_without_end", framing_bytes=framing_bytes)
        self._fail(AnswerFault.ENDLESS)

    def _fail(self, fault: AnswerFault, detail: str = "") -> None:
        """Fail the response, and abort the connection."""
        if self._failure is not None:
            return
        self._failure = UnwholeAnswerError(fault, detail)
        self._fail_payload()
        self.set_exception(self._failure)
        if self.transport is not None:
            self.transport.abort()

    def _fail_payload(self) -> None:
        if self._has_open_payload:
            self._payload.set_exception(self._failure)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the response; the first reason why it is not whole is kept."""
        if self._failure is None:
            super().set_exception(exc, *cause)
        else:
            super().set_exception(self._failure)

    def eof_received(self) -> None:
        """Fail a response without a length if its end is not that of the answer.

        One with a length or chunks shows by itself whether it is whole.
        """
        if self._has_open_payload:
            ended_by_fin, sent_later = _read_end(self.transport)
            written = self._request_written and not sent_later
            fault = end_fault(not ended_by_fin, written)
            if fault is not None:
                self._fail(fault)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is incomplete when the connection is reset."""
        if exc is not None and self._failure is None and self._has_open_payload:
            self._failure = UnwholeAnswerError(AnswerFault.RESET, repr(exc))
            self._fail_payload()
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; drop what the peer has not taken of the request."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()


def _unsent_bytes(transport: asyncio.Transport | None) -> int:
    """Return the bytes written that the peer's system has not acknowledged.

    The bytes of a response acknowledge what its sender had received before. Where the
    system does not tell, only what this process has not written yet counts.
    """
    if transport is None:
        return 0
    unsent = array.array("i", [0])
    with suppress(OSError):
        descriptor = transport.get_extra_info("socket").fileno()
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, unsent)
    return unsent[0] + transport.get_write_buffer_size()


def _read_end(transport: asyncio.Transport) -> tuple[bool, bool]:
    """Return whether the peer has ended the connection by FIN and not by a reset.

    The state tells this also if a failed write has taken the socket's error. The second
    value is whether a part of the request was sent after the last bytes of the response
    had arrived. Where the system tells no state, the peer counts as having ended the
    connection.
    """
    transport_socket = transport.get_extra_info("socket")
    if transport_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False, False
    info = _tcp_info(transport_socket)
    if len(info) < TCP_INFO_BYTES or not info[0]:
        return True, False
    (sent_ago_ms,) = struct.unpack_from("=I", info, DATA_SENT_OFFSET)
    (received_ago_ms,) = struct.unpack_from("=I", info, DATA_RECEIVED_OFFSET)
    return info[0] == TCP_CLOSE_WAIT, sent_ago_ms < received_ago_ms


def _tcp_info(transport_socket: socket.socket) -> bytes:
    """Return what the system tells of a connection; nothing if it doesn't."""
    try:
        return transport_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return b""


class AnswerConnector(TCPConnector):
    """Opens connections on which only a whole answer is taken for one."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = partial(ReplicaConnection, loop=self._loop)


class ReplicaConnector(AnswerConnector):
    """Opens connections to replicas, and tells of those that take long."""

    def __init__(self, on_slow_connect: Callable[[], None], **options):
        """``on_slow_connect`` is called SLOW_CONNECT_S after an attempt's begin."""
        super().__init__(**options)
        self._on_slow_connect = on_slow_connect

    async def connect(self, *args, **options) -> Connection:
        """Return a connection for one request."""
        timer = self._loop.call_later(SLOW_CONNECT_S, self._on_slow_connect)
        try:
            return await super().connect(*args, **options)
        finally:
            timer.cancel()
