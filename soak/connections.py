"""Callers over bare HTTP/1.1 connections, which they use until the process is gone."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from demo.published_fleet import FRONT_PORT, HOST_NAME

# How a request without a whole answer ended.
END_OF_STREAM = "end of stream"
RESET = "reset"
GAVE_UP = "gave up"
CUT_ENDS = (END_OF_STREAM, RESET)

# How much longer than its deadline a caller waits, and how long for a connection.
PATIENCE_S = 1.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.05
KEPT_INTERVAL_S = 0.05
# Of a connection's requests, so many are sent in two parts, this far apart.
SPLIT_SHARE = 0.2
SPLIT_PAUSE_S = 0.03
# Time between two looks of the loop at its own lateness.
LAG_POLL_S = 0.01


@dataclass(frozen=True)
class RequestKind:
    """A kind of request: its limits, and its output if it is a stream."""

    name: str
    method: str
    deadline_s: float
    timeout_s: float
    tokens: int = 0


BOOK = RequestKind("book", "POST", 1.5, 1.5)
LOOK = RequestKind("look", "GET", 1.5, 1.5)
STREAM = RequestKind("stream", "POST", 14.0, 14.0, tokens=132)
LONG_STREAM = RequestKind("stream", "POST", 14.0, 14.0, tokens=1100)
KINDS = (BOOK, BOOK, LOOK, LOOK, STREAM, LONG_STREAM)


@dataclass(frozen=True)
class Attempt:
    """One request that was sent in full, and its end: a status or a way to fail.

    Times are the loop's. ``lag_s`` is by how much the callers' own loop was late when
    the end was seen; ``received`` counts the bytes of an answer that isn't whole.
    """

    id: str
    host: str
    connection: str
    kind: RequestKind
    sent: float
    ended: float
    end: str
    received: int
    lag_s: float


class LagMeter:
    """Measures how late the callers' own loop is; the daemons are not to blame."""

    def __init__(self):
        self.longest_s = 0.0
        self._seen_at = 0.0
        self._lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        self._seen_at = loop.time()
        while True:
            await asyncio.sleep(LAG_POLL_S)
            now = loop.time()
            late_s = now - self._seen_at - LAG_POLL_S
            self._lag_s = max(late_s, self._lag_s / 2)
            self.longest_s = max(late_s, self.longest_s)
            self._seen_at = now

    @property
    def lag_s(self) -> float:
        """By how much the loop is late, or was in its last rounds."""
        waiting_s = asyncio.get_running_loop().time() - self._seen_at - LAG_POLL_S
        return max(waiting_s, self._lag_s)


class BareCallers:
    """Callers that keep connections, or open one for each request."""

    def __init__(self, rng: random.Random, stopping: asyncio.Event):
        self._rng = rng
        self._stopping = stopping
        self._number = 0
        self.meter = LagMeter()
        self.attempts: list[Attempt] = []

    async def keep(
        self, name: str, front: Callable[[], Awaitable[str | None]], pause_s: float
    ) -> None:
        """Send requests on one connection after another, each until it is closed."""
        while not self._stopping.is_set():
            host = await front()
            connection = await self._connect(host) if host else None
            if connection is None:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            reader, writer = connection
            while not self._stopping.is_set() and not reader.at_eof():
                if await self._send(host, name, self._rng.choice(KINDS), *connection):
                    break
                await asyncio.sleep(pause_s)
            writer.close()

    async def send_once(self, host: str) -> None:
        """Send one short request on a connection of its own."""
        connection = await self._connect(host)
        if connection is not None:
            kind = self._rng.choice((BOOK, LOOK))
            await self._send(host, "new", kind, *connection)
            connection[1].close()

    async def _connect(
        self, host: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(host, FRONT_PORT)
        except (OSError, TimeoutError):
            return None

    async def _send(
        self,
        host: str,
        connection: str,
        kind: RequestKind,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; return whether its connection has ended."""
        self._number += 1
        request_id = f"b{self._number}"
        loop = asyncio.get_running_loop()
        answer = ReceivedAnswer()
        sent = None
        try:
            await self._write(writer, _encode(request_id, kind))
            sent = loop.time()
            async with asyncio.timeout(kind.deadline_s + PATIENCE_S):
                await answer.read(reader)
            end = str(answer.status)
        except asyncio.IncompleteReadError:
            end = END_OF_STREAM
        except ConnectionError:
            end = RESET
        except TimeoutError:
            end = GAVE_UP
        # A connection that ends while the request is sent is no loss.
        if sent is not None:
            self.attempts.append(
                Attempt(
                    id=request_id,
                    host=host,
                    connection=connection,
                    kind=kind,
                    sent=sent,
                    ended=loop.time(),
                    end=end,
                    received=answer.received,
                    lag_s=self.meter.lag_s,
                )
            )
        return end in (END_OF_STREAM, RESET, GAVE_UP) or answer.closes

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self._rng.random() < SPLIT_SHARE:
            middle = self._rng.randrange(1, len(data))
            writer.write(data[:middle])
            await asyncio.sleep(SPLIT_PAUSE_S)
            data = data[middle:]
        writer.write(data)
        await writer.drain()


@dataclass
class ReceivedAnswer:
    """What was read of one answer."""

    status: int = 0
    received: int = 0
    closes: bool = False

    async def read(self, reader: asyncio.StreamReader) -> None:
        """Read the answer until it is whole."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        self.received = len(head)
        lines = head.split("\r\n")
        self.status = int(lines[0].split()[1])
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        self.closes = fields.get("connection") == "close"
        if fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(reader)
        else:
            await reader.readexactly(int(fields.get("content-length", "0")))

    async def _read_chunks(self, reader: asyncio.StreamReader) -> None:
        length = None
        while length != 0:
            line = await reader.readuntil(b"\r\n")
            length = int(line, 16)
            await reader.readexactly(length + 2)
            self.received += len(line) + length + 2


def _encode(request_id: str, kind: RequestKind) -> bytes:
    lines = [
        f"{kind.method} /first/{kind.name}/{request_id} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {round(kind.deadline_s * 1000)}",
    ]
    if kind.method == "POST":
        lines.append("Content-Length: 0")
    if kind.tokens:
        lines.append(f"X-Token-Count: 800,{kind.tokens}")
    return "\r\n".join([*lines, "", ""]).encode()
