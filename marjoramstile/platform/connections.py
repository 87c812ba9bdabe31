"""Connections to replicas on which a reset is never taken for the end of a response.

aiohttp treats the end of a connection as the end of a response without a length,
even if the connection was reset; libuv reports a reset that it polls together with
the last bytes as a regular end of file.
"""

import os
import socket
from collections.abc import Callable
from functools import partial

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from marjoramstile.logs import get_logger

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

# Replicas accept connections in milliseconds.
SLOW_CONNECT_S = 0.15

logger = get_logger(__name__)


class ReplicaConnection(ResponseHandler):
    """aiohttp client protocol that distinguishes a reset from the end of a response.

    It carries one response, and aborts the connection if the framing of that response
    exceeds the limit.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._received_bytes = 0
        self._endless = False

    def data_received(self, data: bytes) -> None:
        """Receive bytes; abort the connection if there is too much framing.

        aiohttp calls this with no bytes to go on after a pause.
        """
        while len(data) > HEAD_SLICE_BYTES and not (self._body_bytes or self._endless):
            self._parse(data[:HEAD_SLICE_BYTES])
            data = data[HEAD_SLICE_BYTES:]
        if not self._endless:
            self._parse(data)

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

    def _abort_endless_framing(self, framing_bytes: int) -> None:
        self._endless = True
        if self.transport is None or self.transport.is_closing():
            return
        logger.warning("answer_without_end", framing_bytes=framing_bytes)
        error = ClientPayloadError("the replica sends what is no answer without end")
        self._fail_payload(error)
        self.set_exception(error)
        self.transport.abort()

    def eof_received(self) -> None:
        """Fail the response if the end of file hides a reset."""
        error = self._pending_socket_error()
        if error:
            self._fail_payload(OSError(error, os.strerror(error)))
        super().eof_received()

    def _pending_socket_error(self) -> int:
        transport_socket = self.transport.get_extra_info("socket")
        if transport_socket is None:
            return 0
        return transport_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is incomplete when the connection is reset."""
        if exc is not None:
            self._fail_payload(exc)
        super().connection_lost(exc)

    def _fail_payload(self, cause: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError("the connection was reset"), cause)


class ReplicaConnector(TCPConnector):
    """Opens connections to replicas, and tells of those that take long."""

    def __init__(self, on_slow_connect: Callable[[], None], **options):
        """``on_slow_connect`` is called SLOW_CONNECT_S after an attempt's begin."""
        super().__init__(**options)
        self._factory = partial(ReplicaConnection, loop=self._loop)
        self._on_slow_connect = on_slow_connect

    async def connect(self, *args, **options) -> Connection:
        """Return a connection for one request."""
        timer = self._loop.call_later(SLOW_CONNECT_S, self._on_slow_connect)
        try:
            return await super().connect(*args, **options)
        finally:
            timer.cancel()
