"""HTTP/1.1 on plain asyncio streams: a small server, and requests of clients."""

import asyncio
import random
from dataclasses import dataclass, field

READ_LIMIT_BYTES = 1_048_576
HOST_NAME = "desk.example"

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Head:
    """The first line and the headers of a message; names are in lower case."""

    line: str
    headers: dict[str, str]


@dataclass(frozen=True)
class Answer:
    """A whole answer to a client."""

    status: int
    headers: dict[str, str]
    body: bytes = field(repr=False)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a request or an answer."""
    data = await reader.readuntil(b"\r\n\r\n")
    line, *fields = data.decode("latin-1").split("\r\n")
    pairs = (item.partition(":") for item in fields if item)
    return Head(line, {name.strip().lower(): text.strip() for name, _, text in pairs})


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body; nothing at its end."""
    size = int((await reader.readline()).split(b";")[0], 16)
    return (await reader.readexactly(size + 2))[:-2]


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while chunk := await read_chunk(reader):
        body += chunk
    return body


def encode_answer(status: int, headers: Headers = (), body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", *(f"{n}: {v}" for n, v in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def new_id() -> str:
    """Return an id for a request."""
    return f"{random.getrandbits(64):016x}"


def encode_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    headers: Headers = (),
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def get_status(host: str, port: int, path: str) -> int:
    """Return the status of the answer to a GET without a request id."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return int((await read_head(reader)).line.split()[1])
    finally:
        writer.close()


class Server:
    """Serves requests on one address until it is closed."""

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=READ_LIMIT_BYTES
        )

    async def close(self) -> None:
        """Stop listening and reset all connections, as a killed process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self.handle(await read_head(reader), reader, writer):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
