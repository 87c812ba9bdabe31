"""Reads of a connection in parts of a bounded size.

An event loop passes as much to ``data_received`` as the kernel has, up to 256 KB with
uvloop. What a protocol can't parse at once is kept, on each connection.
"""

import asyncio
import select

READ_MAX_BYTES = 16_384


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether the kernel holds bytes, or an end, that were not read yet."""
    if transport.is_closing():
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))


class BoundedReads(asyncio.BufferedProtocol):
    """Passes received bytes to a protocol in parts of at most READ_MAX_BYTES."""

    __slots__ = ("_buffer", "_protocol")

    def __init__(self, protocol: asyncio.Protocol, buffer: bytearray):
        """``buffer`` has READ_MAX_BYTES; all connections of an event loop share it."""
        self._protocol = protocol
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a new connection."""
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end of the connection."""
        self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where received bytes are stored until ``buffer_updated`` is called."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on."""
        self._protocol.data_received(bytes(memoryview(self._buffer)[:nbytes]))

    def eof_received(self) -> bool | None:
        """Pass the end of what is received on."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the buffer of unsent bytes is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that there is room in the buffer of unsent bytes."""
        self._protocol.resume_writing()
