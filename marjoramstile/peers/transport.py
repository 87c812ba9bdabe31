"""Thrift over asyncio streams, on the daemon's own loop and thread.

thriftpy2's asyncio client connects in a thread pool; here the stream is opened
by the loop and handed to the library's protocol and processor classes.
"""

import asyncio
import struct
from io import BytesIO
from pathlib import Path

from thriftpy2 import load
from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.contrib.aio.socket import StreamHandler
from thriftpy2.contrib.aio.transport.base import readall
from thriftpy2.contrib.aio.transport.buffered import TAsyncBufferedTransport
from thriftpy2.contrib.aio.transport.framed import TAsyncFramedTransport
from thriftpy2.thrift import TException

from marjoramstile.logs import get_logger
from marjoramstile.loops import connect, listening_socket

IDL = load(
    str(Path(__file__).with_name("peer.thrift")), module_name="marjoramstile_thrift"
)
FRAME_TIMEOUT_S = 10.0
_FRAME_HEADER = struct.Struct("!i")

logger = get_logger(__name__)


class FrameError(TException):
    """A frame's length is negative or above the limit."""


class LimitedFramedTransport(TAsyncFramedTransport):
    """Framed transport that refuses frames above a limit before reading them."""

    def __init__(self, stream: StreamHandler, max_bytes: int):
        super().__init__(stream)
        self._max_bytes = max_bytes

    async def read_frame(self) -> None:
        """Read the next frame."""
        header = await readall(self._trans.read, _FRAME_HEADER.size)
        (length,) = _FRAME_HEADER.unpack(header)
        if not 0 <= length <= self._max_bytes:
            raise FrameError(f"frame of {length} bytes, at most {self._max_bytes}")
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            self._rbuf = BytesIO(await readall(self._trans.read, length))


def _protocol(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, max_bytes: int
) -> TAsyncBinaryProtocol:
    stream = StreamHandler(reader, writer)
    framed = LimitedFramedTransport(stream, max_bytes)
    return TAsyncBinaryProtocol(TAsyncBufferedTransport(framed))


class PeerConnection:
    """A connection to another daemon; one call at a time."""

    def __init__(self, writer: asyncio.StreamWriter, client: TAsyncClient):
        self._writer = writer
        self._client = client

    @classmethod
    async def open(cls, host: str, port: int, max_bytes: int) -> "PeerConnection":
        """Connect to a daemon's peer listener."""
        reader, writer = await connect(host, port)
        client = TAsyncClient(IDL.Peer, _protocol(reader, writer, max_bytes))
        return cls(writer, client)

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another call."""
        return not self._writer.is_closing()

    async def call(self, method: str, *arguments):
        """Call a method of the peer."""
        return await getattr(self._client, method)(*arguments)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class PeerServer:
    """Serves the calls of other daemons through ``handler``."""

    def __init__(self, handler: object, max_bytes: int):
        self._processor = TAsyncProcessor(IDL.Peer, handler)
        self._max_bytes = max_bytes
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host``:``port``."""
        listener = listening_socket(host, port)
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        protocol = _protocol(reader, writer, self._max_bytes)
        try:
            while not reader.at_eof():
                await self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception as error:
            logger.warning("peer_connection_failed", error=repr(error))
        finally:
            self._connections.discard(task)
            writer.close()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
