"""Thrift over asyncio streams, on the daemon's own loop and thread.

Each message is a frame: its length in four bytes, then the message. thriftpy2's own
asyncio client connects in a thread pool and parses field by field through
coroutines; here whole frames are read and parsed in memory.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

from thriftpy2.thrift import TException, TProcessor

from marjoramstile.fronts.buffers import (
    BufferBudget,
    BufferedBody,
    BufferFullError,
)
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.reading import has_unread_bytes
from marjoramstile.log_summaries import EventSummary
from marjoramstile.logs import get_logger
from marjoramstile.loops import LISTEN_BACKLOG, connect, listening_socket
from marjoramstile.peers.accepting import Acceptor
from marjoramstile.peers.frames import (
    decode_answer,
    decode_call,
    encode_answer,
    encode_call,
)
from marjoramstile.peers.peer_types import PeerService
from marjoramstile.utils import loop_time

FRAME_TIMEOUT_S = 10.0
# Time in which calls that were read are still answered at the end.
CLOSE_TIMEOUT_S = 0.1
_FRAME_HEADER = struct.Struct("!i")

logger = get_logger(__name__)


class FrameError(TException):
    """A frame has an invalid length or holds no valid message."""


class FrameReader(asyncio.StreamReader):
    """Tells whether bytes have arrived that the task that reads has not seen yet."""

    def __init__(self):
        super().__init__()
        self._has_unseen = False

    @property
    def has_unseen(self) -> bool:
        """Whether bytes arrived since the last read began to wait."""
        return self._has_unseen

    def feed_data(self, data: bytes) -> None:
        """Add received bytes."""
        self._has_unseen = True
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to ``n`` bytes."""
        self._has_unseen = False
        return await super().read(n)

    async def readexactly(self, n: int) -> bytes:
        """Return ``n`` bytes; IncompleteReadError at the end of the stream."""
        self._has_unseen = False
        return await super().readexactly(n)


class FrameStream:
    """Reads and writes frames of at most ``max_bytes``."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_bytes: int,
        buffers: BufferBudget,
    ):
        """Frames are read into ``buffers``, which other connections share."""
        self._reader = reader
        self._writer = writer
        self._max_bytes = max_bytes
        self._buffers = buffers

    @property
    def usable(self) -> bool:
        """Whether another frame can be written."""
        return not self._writer.is_closing()

    async def read(self) -> bytes:
        """Return the next frame's message; EOFError at the stream's end."""
        first = await self._reader.readexactly(1)
        self._begin_frame()
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            return await self._read_frame(first)

    def _begin_frame(self) -> None:
        """Note that a frame's first byte was read."""

    async def _read_frame(self, first: bytes) -> bytes:
        header = first + await self._reader.readexactly(_FRAME_HEADER.size - 1)
        (length,) = _FRAME_HEADER.unpack(header)
        if not 0 < length <= self._max_bytes:
            raise FrameError(f"frame length {length} is not in 1 to {self._max_bytes}")
        with self._buffers.body(length) as frame:
            await self._read_into(frame, length)
            return frame.to_bytes()

    async def _read_into(self, frame: BufferedBody, length: int) -> None:
        while frame.size < length:
            chunk = await self._reader.read(length - frame.size)
            if not chunk:
                raise EOFError
            try:
                frame.add(chunk)
            except BufferFullError as error:
                raise FrameError(str(error)) from error

    async def write(self, message: bytes) -> None:
        """Write a message as one frame; TimeoutError if it is not taken in time."""
        self._writer.write(_FRAME_HEADER.pack(len(message)) + message)
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            await self._writer.drain()

    def close(self) -> None:
        """Close the stream."""
        self._writer.close()


class AcceptedStream(FrameStream):
    """Frames of a connection that counts towards a limit."""

    def __init__(self, reader: FrameReader, writer: asyncio.StreamWriter, *args):
        """``args`` are those of FrameStream."""
        super().__init__(reader, writer, *args)
        self._received = reader
        self._awaits_frame = True
        self._frame_began_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the next frame is awaited, and nothing of it has arrived."""
        if not self._awaits_frame or self._received.has_unseen:
            return False
        return not has_unread_bytes(self._writer.transport)

    @property
    def stalled_since(self) -> float | None:
        """Loop time since which the rest of a frame is awaited, if it is."""
        return None if self._received.has_unseen else self._frame_began_at

    @property
    def is_ending(self) -> bool:
        """False: what is refused closes the stream at once."""
        return False

    async def read(self) -> bytes:
        """Return the next frame's message; EOFError at the stream's end."""
        self._awaits_frame = True
        try:
            return await super().read()
        finally:
            self._awaits_frame = False
            self._frame_began_at = None

    def _begin_frame(self) -> None:
        self._awaits_frame = False
        self._frame_began_at = loop_time()

    def close_idle(self) -> None:
        """Close the stream to make room for another one."""
        self.close()

    def close_stalled(self) -> None:
        """Drop the part of a frame, and close the stream to make room."""
        self._writer.transport.abort()


class PeerConnection:
    """A connection to another daemon; one call at a time."""

    def __init__(self, stream: FrameStream):
        self._stream = stream

    @classmethod
    async def open(
        cls, host: str, port: int, max_bytes: int, buffers: BufferBudget
    ) -> "PeerConnection":
        """Connect to a daemon's peer listener."""
        reader, writer = await connect(host, port)
        return cls(FrameStream(reader, writer, max_bytes, buffers))

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another call."""
        return self._stream.usable

    async def call(self, method: str, *arguments: Any) -> Any:
        """Call a method of the peer."""
        await self._stream.write(encode_call(method, *arguments))
        return decode_answer(await self._stream.read())

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class PeerServer:
    """Serves the calls of other daemons through ``handler``."""

    def __init__(
        self,
        handler: object,
        max_bytes: int,
        buffers: BufferBudget,
        limit: ConnectionLimit | None = None,
        on_refused: Callable[[str, str], None] = lambda name, kind: None,
    ):
        """Calls are read into ``buffers``; ``limit`` bounds the open connections.

        ``on_refused`` gets a counter's name, and why a connection was closed.
        """
        self._on_refused = on_refused
        self._refused = EventSummary(logger, "peer_connection_refused")
        self._limit = limit
        self._processor = TProcessor(PeerService, handler)
        self._max_bytes = max_bytes
        self._buffers = buffers
        self._acceptor: Acceptor | None = None
        self._connections: set[asyncio.Task] = set()
        self._answering: set[asyncio.Task] = set()
        self._closing = False

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._acceptor.port

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host``:``port``."""
        await self.serve(listening_socket(host, port))

    async def serve(
        self, listener: socket.socket, backlog: int = LISTEN_BACKLOG
    ) -> None:
        """Serve the connections of a listening socket."""
        listener.listen(backlog)
        self._acceptor = Acceptor(
            listener,
            lambda: asyncio.StreamReaderProtocol(FrameReader(), self._accept),
            self._limit.has_room if self._limit is not None else lambda: True,
        )

    def _accept(self, reader: FrameReader, writer: asyncio.StreamWriter) -> None:
        """Serve a new connection; close it if there is no room for it."""
        stream = AcceptedStream(reader, writer, self._max_bytes, self._buffers)
        if self._limit is not None and not self._limit.add(stream):
            stream.close()
            return
        serving = self._serve(stream, writer)
        self._connections.add(asyncio.get_running_loop().create_task(serving))

    async def _serve(
        self, stream: AcceptedStream, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        try:
            while not self._closing:
                await self._answer(stream)
        except (TException, TimeoutError, ValueError) as error:
            self._record_refused(writer, error)
        except (OSError, EOFError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception as error:
            logger.warning("peer_connection_failed", error=repr(error))
        finally:
            self._connections.discard(task)
            if self._limit is not None:
                self._limit.remove(stream)
            stream.close()

    def _record_refused(self, writer: asyncio.StreamWriter, error: Exception) -> None:
        kind = type(error).__name__
        self._on_refused("peer_connections_refused", kind)
        peer = writer.get_extra_info("peername")
        self._refused.count({"error": kind}, peer=peer, detail=str(error))

    async def _answer(self, stream: FrameStream) -> None:
        message = await stream.read()
        if self._limit is not None:
            self._limit.record_received(stream)
        task = asyncio.current_task()
        self._answering.add(task)
        try:
            await self._run(stream, message)
        finally:
            self._answering.discard(task)

    async def _run(self, stream: FrameStream, message: bytes) -> None:
        try:
            call = decode_call(self._processor, message)
        except Exception as error:
            raise FrameError(f"message can't be decoded: {error!r}") from error
        if call.handle is not None:
            call.result.success = await call.handle()
        await stream.write(encode_answer(call))

    async def close(self) -> None:
        """Stop listening, answer the calls that were read, and end all connections."""
        if self._acceptor is not None:
            await self._acceptor.close()
        self._closing = True
        for task in self._connections - self._answering:
            task.cancel()
        if self._answering:
            await asyncio.wait(self._answering, timeout=CLOSE_TIMEOUT_S)
        if self._answering:
            logger.info("peers_not_answered", calls=len(self._answering))
        for task in list(self._connections):
            task.cancel()
