"""What callers get while a listener is ended: on real sockets."""

import asyncio
import contextlib
import errno
import socket
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from marjoramstile.fronts import draining
from marjoramstile.fronts.closing import CloseReason
from marjoramstile.fronts.draining import drain
from marjoramstile.fronts.listening import CallerServer
from marjoramstile.loops import listening_socket
from marjoramstile.utils import loop_time
from tests.fronts.support import KeptClosings

HOST = "127.0.0.1"
WORK_S = 0.1
DRAIN_S = 0.6
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
REQUEST = HEAD + b"abcd"


class Listener:
    """A server whose handler reads the body and answers after WORK_S."""

    def __init__(self):
        self.closings = KeptClosings()
        self.handled = 0
        self.work_s = WORK_S

    @asynccontextmanager
    async def listen(self):
        """Listen on a free port."""
        self.server = CallerServer(
            self._handle, closings=self.closings, handler_cancellation=True
        )
        listener = listening_socket(HOST, 0)
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(self.server, sock=listener)
        yield self
        self.listening.close()
        await self.server.shutdown(0.1)

    async def _handle(self, request):
        body = await request.read()
        self.handled += 1
        await asyncio.sleep(self.work_s)
        return web.Response(text=f"got {body.decode()}")

    async def connect(self):
        """Open a connection."""
        return await asyncio.open_connection(HOST, self.port)

    def drain(self) -> asyncio.Task:
        """Begin to end the listener."""
        deadline = loop_time() + DRAIN_S
        return asyncio.create_task(drain(self.server, self.listening, deadline))


@pytest.fixture
async def listener():
    """Run a listener for one test."""
    async with Listener().listen() as result:
        yield result


async def read_to_end(reader) -> bytes:
    """Return what arrives until the connection ends."""
    received = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(2.0):
            while data := await reader.read(65536):
                received += data
    return received


def unanswered(listener) -> int:
    """Return how many whole requests were left unanswered."""
    return sum(closed.unanswered for closed in listener.closings.closed)


async def test_request_in_progress_is_answered_as_the_last_one(listener):
    reader, writer = await listener.connect()
    writer.write(REQUEST)
    await asyncio.sleep(WORK_S / 2)
    ending = listener.drain()
    answer = await read_to_end(reader)
    assert answer.count(b"got abcd") == 1
    assert b"Connection: close" in answer
    await ending
    writer.close()


async def test_pipelined_requests_are_all_answered(listener):
    reader, writer = await listener.connect()
    writer.write(REQUEST * 3)
    await asyncio.sleep(WORK_S / 2)
    ending = listener.drain()
    assert (await read_to_end(reader)).count(b"got abcd") == 3
    await ending
    assert unanswered(listener) == 0
    writer.close()


async def test_request_that_arrives_during_the_last_answer_is_answered(listener):
    reader, writer = await listener.connect()
    writer.write(REQUEST)
    await asyncio.sleep(WORK_S / 2)
    ending = listener.drain()
    await asyncio.sleep(0)
    writer.write(REQUEST)
    assert (await read_to_end(reader)).count(b"got abcd") == 2
    await ending
    writer.close()


async def test_request_that_waits_in_the_kernel_is_answered(listener):
    kept = [await listener.connect() for _ in range(20)]
    await asyncio.sleep(0.2)
    for _, writer in kept:
        writer.write(REQUEST)
    await drain(listener.server, listener.listening, loop_time() + DRAIN_S)
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


async def test_connection_that_is_opened_as_the_listener_closes_may_still_ask(listener):
    caller = socket.create_connection((HOST, listener.port))
    caller.setblocking(False)
    ending = listener.drain()
    await asyncio.sleep(0.02)
    reader, writer = await asyncio.open_connection(sock=caller)
    writer.write(REQUEST)
    assert (await read_to_end(reader)).count(b"got abcd") == 1
    await ending
    writer.close()


async def test_listener_refuses_connections_when_its_backlog_is_taken(listener):
    ending = listener.drain()
    await asyncio.sleep(0)
    with pytest.raises(ConnectionRefusedError):
        await listener.connect()
    await ending


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


async def test_half_a_head_that_came_with_a_whole_request_is_waited_for(listener):
    get = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
    reader, writer = await listener.connect()
    writer.write(get + REQUEST[:20])
    await asyncio.sleep(0.05)
    ending = listener.drain()
    await asyncio.sleep(0.2)
    writer.write(REQUEST[20:])
    answers = await read_to_end(reader)
    assert answers.count(b"200 OK") == 2
    await ending
    writer.close()


async def test_lack_of_descriptors_does_not_end_the_drain(listener, monkeypatch):
    class Exhausted(socket.socket):
        def accept(self):
            raise OSError(errno.EMFILE, "no descriptors")

    reader, writer = await listener.connect()
    writer.write(REQUEST)
    await asyncio.sleep(WORK_S / 2)
    monkeypatch.setattr(draining.socket, "socket", Exhausted)
    ending = listener.drain()
    await asyncio.sleep(0)
    monkeypatch.undo()
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
    (closed,) = listener.closings.closed
    assert closed.reason == CloseReason.STOP_IDLE
    writer.close()


async def test_what_is_not_whole_at_the_deadline_is_cut_off_by_name(listener):
    reader, writer = await listener.connect()
    writer.write(HEAD + b"ab")
    await asyncio.sleep(0.05)
    await listener.drain()
    assert await read_to_end(reader) == b""
    assert listener.handled == 0
    (closed,) = listener.closings.closed
    assert (closed.reason, closed.unanswered) == (CloseReason.STOP_FORCED, 0)
    writer.close()


async def test_handler_that_does_not_end_is_reported_as_unanswered(listener):
    listener.work_s = 10.0
    reader, writer = await listener.connect()
    writer.write(REQUEST)
    await listener.drain()
    assert await read_to_end(reader) == b""
    (closed,) = listener.closings.closed
    assert (closed.reason, closed.unanswered) == (CloseReason.STOP_FORCED, 1)
    writer.close()


async def test_requests_of_callers_that_go_on_until_the_end_are_all_answered(listener):
    """New and kept connections; what is not read may end without an answer."""
    listener.work_s = 0.005
    answered = refused = 0
    running = True

    async def keep_asking(kept: bool):
        nonlocal answered, refused
        while running:
            try:
                reader, writer = await listener.connect()
            except ConnectionError:
                refused += 1
                await asyncio.sleep(0.005)
                continue
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while running:
                    writer.write(REQUEST)
                    answer = await reader.readuntil(b"got abcd")
                    answered += 1
                    if not kept or b"Connection: close" in answer:
                        break
            writer.close()

    async with asyncio.TaskGroup() as callers:
        for number in range(40):
            callers.create_task(keep_asking(kept=number % 2 == 0))
        await asyncio.sleep(0.2)
        await listener.drain()
        running = False
    assert answered > 100
    assert refused > 0
    assert unanswered(listener) == 0
    assert listener.handled == answered
