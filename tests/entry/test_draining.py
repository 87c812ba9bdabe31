"""What callers get while a sanic listener is ended."""

import asyncio
import contextlib
import itertools
import socket

import pytest
import pytest_asyncio
from sanic import text

from marjoramstile.entry.web import WebServer, create_app, with_body
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.loops import listening_socket
from marjoramstile.settings import LimitSettings
from marjoramstile.utils import loop_time

HOST = "127.0.0.1"
WORK_S = 0.1
CONNECTIONS = 100
DRAIN_S = 0.6
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
REQUEST = HEAD + b"abcd"
LIMITS = LimitSettings(
    body_max_bytes=1000,
    body_timeout_s=5.0,
    bodies_max_bytes=10_000,
    frame_max_bytes=1000,
)
NUMBERS = itertools.count()


class Listener:
    """A sanic listener whose handler answers after WORK_S."""

    def __init__(self):
        self.work_s = WORK_S
        app = create_app(f"draining-{next(NUMBERS)}", LIMITS)
        app.add_route(with_body(self._handle, LIMITS), "/x", ["POST"], stream=True)
        limit = ConnectionLimit("callers", CONNECTIONS, lambda event, name: None)
        self.server = WebServer(app, limit)
        self._listening = listening_socket(HOST, 0)
        self.port = self._listening.getsockname()[1]

    async def serve(self) -> None:
        """Serve on a free port."""
        await self.server.serve(self._listening, CONNECTIONS)

    async def _handle(self, request):
        await asyncio.sleep(self.work_s)
        return text(f"got {request.body.decode()}")

    async def connect(self):
        """Open a connection."""
        return await asyncio.open_connection(HOST, self.port)

    def drain(self) -> asyncio.Task:
        """Begin to end the listener."""
        return asyncio.create_task(self.server.close(loop_time() + DRAIN_S))


@pytest_asyncio.fixture
async def listener():
    """Run a listener for one test."""
    result = Listener()
    await result.serve()
    yield result
    await result.server.close(loop_time())


async def read_to_end(reader) -> bytes:
    """Return what arrives until the connection ends."""
    received = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(2.0):
            while data := await reader.read(65536):
                received += data
    return received


async def test_request_in_progress_is_answered(listener):
    reader, writer = await listener.connect()
    writer.write(REQUEST)
    await asyncio.sleep(WORK_S / 2)
    ending = listener.drain()
    assert (await read_to_end(reader)).count(b"got abcd") == 1
    await ending
    writer.close()


async def test_pipelined_requests_are_all_answered(listener):
    reader, writer = await listener.connect()
    writer.write(REQUEST * 3)
    await asyncio.sleep(WORK_S / 2)
    ending = listener.drain()
    assert (await read_to_end(reader)).count(b"got abcd") == 3
    await ending
    writer.close()


async def test_request_that_waits_in_the_kernel_is_answered(listener):
    kept = [await listener.connect() for _ in range(20)]
    await asyncio.sleep(0.2)
    for _, writer in kept:
        writer.write(REQUEST)
    await listener.server.close(loop_time() + DRAIN_S)
    answers = [await read_to_end(reader) for reader, _ in kept]
    assert [answer.count(b"got abcd") for answer in answers] == [1] * 20
    for _, writer in kept:
        writer.close()


async def test_connections_in_the_backlog_are_served(listener):
    backlog = []
    for _ in range(20):
        caller = socket.create_connection((HOST, listener.port))
        caller.sendall(REQUEST)
        caller.setblocking(False)
        backlog.append(caller)
    ending = listener.drain()
    streams = [await asyncio.open_connection(sock=caller) for caller in backlog]
    answers = [await read_to_end(reader) for reader, _ in streams]
    assert [answer.count(b"got abcd") for answer in answers] == [1] * 20
    await ending
    for _, writer in streams:
        writer.close()


@pytest.mark.parametrize("sent", [20, len(HEAD), len(REQUEST) - 1])
async def test_half_a_request_is_waited_for(listener, sent):
    reader, writer = await listener.connect()
    writer.write(REQUEST[:sent])
    await asyncio.sleep(0.05)
    ending = listener.drain()
    await asyncio.sleep(0.2)
    writer.write(REQUEST[sent:])
    assert (await read_to_end(reader)).count(b"got abcd") == 1
    await ending
    writer.close()


async def test_idle_connections_are_closed_at_once(listener):
    reader, writer = await listener.connect()
    writer.write(REQUEST)
    await reader.readuntil(b"got abcd")
    async with asyncio.timeout(DRAIN_S / 2):
        await listener.drain()
    assert await read_to_end(reader) == b""
    writer.close()


async def test_request_that_does_not_end_is_answered_as_unknown(listener):
    listener.work_s = 10.0
    reader, writer = await listener.connect()
    writer.write(REQUEST)
    ending = listener.drain()
    answer = await read_to_end(reader)
    assert answer.startswith(b"HTTP/1.1 500")
    assert b'"ran":"outcome unknown"' in answer
    await ending
    writer.close()
