"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

HEAD_MAX_BYTES = 65_536


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raise IncompleteReadError at the end of the connection."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def body_parts(reader: asyncio.StreamReader, head: Message):
    """Yield the parts of a body; raise IncompleteReadError if it is truncated."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    left = int(head.headers.get("content-length", 0))
    if left:
        yield await reader.readexactly(left)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message."""
    head = await read_head(reader)
    head.body = b"".join([part async for part in body_parts(reader, head)])
    return head


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    headers = {**headers, "Content-Length": str(len(body))}
    return encode_head(start, headers) + body


def encode_head(start: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@dataclass(eq=False)
class Exchange:
    """One request at a server, and the means to answer it."""

    request: Message
    writer: asyncio.StreamWriter
    silent: set[asyncio.StreamWriter]

    async def send(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a whole response."""
        if self.writer in self.silent:
            await asyncio.Event().wait()
        self.writer.write(encode(f"HTTP/1.1 {status} X", headers or {}, body))
        await self.writer.drain()

    async def start_chunks(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a response in chunks."""
        headers = {**headers, "Transfer-Encoding": "chunked"}
        self.writer.write(encode_head(f"HTTP/1.1 {status} X", headers))
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the response."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()


Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(eq=False)
class Server:
    """Serves requests; a request is cancelled when its caller closes."""

    handler: Handler
    host: str
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _silent: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen; the port is chosen once."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=8_388_608
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> int:
        """Let all open connections fall silent for good; return how many there are.

        Nothing that comes on them is read any more, nothing is sent, none is closed.
        """
        self._silent |= self._writers
        return len(self._writers)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        request = await read_message(reader)
        if writer in self._silent:
            await asyncio.Event().wait()
        exchange = Exchange(request, writer, self._silent)
        handling = asyncio.ensure_future(self.handler(exchange))
        closing = asyncio.ensure_future(_wait_for_close(reader))
        try:
            await asyncio.wait({handling, closing}, return_when="FIRST_COMPLETED")
            if not handling.done():
                return False
            handling.result()
            return not closing.done()
        finally:
            for task in (handling, closing):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await handling


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Wait until the caller closes; callers send one request at a time."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Connection:
    """A caller's kept connection."""

    def __init__(self, address: str):
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent without a new connection."""
        if self._writer is None or self._writer.is_closing():
            return False
        return not self._reader.at_eof()

    async def open(self) -> None:
        """Connect unless the connection is open."""
        if not self.is_open:
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def send(
        self, start: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        self._writer.write(encode(start, headers, body))
        await self._writer.drain()

    async def head(self) -> Message:
        """Read the head of the response."""
        return await read_head(self._reader)

    async def message(self) -> Message:
        """Read the whole response."""
        return await read_message(self._reader)

    def parts(self, head: Message):
        """Yield the parts of the response's body."""
        return body_parts(self._reader, head)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
