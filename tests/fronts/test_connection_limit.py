"""Which connections are closed or refused when a listener has too many."""

import asyncio
import re

import pytest
from aiohttp import web

from marjoramstile.fronts.connection_limit import (
    FIRST_BYTE_S,
    LOG_PERIOD_S,
    ConnectionLimit,
)
from marjoramstile.fronts.listening import CallerServer
from tests.support import captured_logs

HOST = "127.0.0.1"
PORT = 8144
MAX_OPEN = 16
LOG_EVENT = "event=connections_at_limit"
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd"


class FakeConnection:
    """A connection that is idle or not, as the test says."""

    def __init__(self, is_idle: bool = True, stalled_since: float | None = None):
        self.is_idle = is_idle
        self.stalled_since = stalled_since
        self.is_ending = False
        self.closed = False

    def close_idle(self) -> None:
        """Record that the connection was closed."""
        self.closed = True

    def close_stalled(self) -> None:
        """Record that the connection was closed."""
        assert self.stalled_since is not None
        self.closed = True


class Counted:
    """A limit and what it counted."""

    def __init__(self, max_open: int = MAX_OPEN):
        self.events: list[str] = []
        self.limit = ConnectionLimit("front", max_open, self._count)

    def _count(self, name: str, listener: str) -> None:
        assert listener == "front"
        self.events.append(name)

    def add_used(self, count: int, is_idle: bool = True) -> list[FakeConnection]:
        """Add connections on which bytes were received."""
        added = [FakeConnection(is_idle) for _ in range(count)]
        for connection in added:
            assert self.limit.add(connection)
            self.limit.record_received(connection)
        return added


async def test_the_connection_that_was_idle_for_longest_is_closed():
    counted = Counted()
    first, second, *_ = counted.add_used(MAX_OPEN)
    counted.limit.record_received(first)
    assert counted.limit.add(FakeConnection())
    assert second.closed
    assert not first.closed
    assert counted.limit.open == MAX_OPEN
    assert counted.events == ["connections_closed"]


async def test_a_connection_with_a_request_in_progress_is_never_closed():
    counted = Counted()
    busy = counted.add_used(MAX_OPEN - 1, is_idle=False)
    (idle,) = counted.add_used(1)
    new = FakeConnection()
    assert counted.limit.add(new)
    assert idle.closed
    assert not counted.limit.refuses(new)
    assert not any(connection.closed for connection in busy)


async def test_silent_connections_do_not_push_out_those_in_use():
    counted = Counted()
    used = counted.add_used(MAX_OPEN // 2)
    silent = [FakeConnection() for _ in range(10 * MAX_OPEN)]
    for connection in silent:
        counted.limit.add(connection)
    assert not any(connection.closed for connection in used)
    assert [connection.closed for connection in silent].count(False) == MAX_OPEN // 2
    assert not silent[-1].closed


async def test_new_callers_do_not_push_out_each_other_before_their_first_request():
    counted = Counted()
    used = counted.add_used(MAX_OPEN)
    new = [FakeConnection() for _ in range(4)]
    for connection in new:
        counted.limit.add(connection)
    assert not any(connection.closed for connection in new)
    assert [connection.closed for connection in used].count(True) == 4


async def test_incomplete_requests_push_out_idle_connections():
    """Those that have waited for longest are closed first, however they go on."""
    counted = Counted()
    idle = counted.add_used(MAX_OPEN - 3)
    await asyncio.sleep(10.0)
    stalled = counted.add_used(3, is_idle=False)
    for connection, since in zip(stalled, (2.0, 1.0, 3.0), strict=True):
        connection.stalled_since = since
    counted.limit.record_received(stalled[1])
    counted.limit.add(FakeConnection())
    assert [connection.closed for connection in stalled] == [False, True, False]
    counted.limit.add(FakeConnection())
    assert [connection.closed for connection in stalled] == [True, True, False]
    assert not any(connection.closed for connection in idle)


async def test_a_request_in_several_packets_is_cut_off_for_room():
    counted = Counted()
    idle = counted.add_used(MAX_OPEN - 1)
    (begun,) = counted.add_used(1, is_idle=False)
    begun.stalled_since = asyncio.get_running_loop().time()
    counted.limit.add(FakeConnection())
    assert not begun.closed
    assert [connection.closed for connection in idle].count(True) == 1


async def test_many_incomplete_requests_leave_no_room_for_new_connections():
    """However short they wait: they would come back faster than they grow old."""
    counted = Counted()
    now = asyncio.get_running_loop().time()
    busy = counted.add_used(MAX_OPEN // 4, is_idle=False)
    stalled = counted.add_used(MAX_OPEN * 3 // 4, is_idle=False)
    for connection in stalled:
        connection.stalled_since = now
    new = FakeConnection()
    assert counted.limit.add(new)
    assert not counted.limit.refuses(new)
    assert [connection.closed for connection in stalled].count(True) == 1
    assert not any(connection.closed for connection in busy)


async def test_connections_that_were_just_opened_are_closed_for_those_that_can_wait():
    """With many connects at once nobody had time to send anything."""
    counted = Counted()
    silent = [FakeConnection() for _ in range(MAX_OPEN)]
    for connection in silent:
        counted.limit.add(connection)
    assert not counted.limit.has_room()
    await asyncio.sleep(1.01 * FIRST_BYTE_S)
    assert counted.limit.has_room()
    assert [connection.closed for connection in silent].index(True) == 0
    assert counted.limit.open == MAX_OPEN - 1


async def test_connections_that_are_refused_push_out_those_in_use():
    """Clients that come back after each refusal took the places of kept connections."""
    counted = Counted()
    used = counted.add_used(MAX_OPEN // 4)
    for connection in counted.add_used(MAX_OPEN * 3 // 4, is_idle=False):
        connection.is_ending = True
    counted.limit.add(FakeConnection())
    assert not any(connection.closed for connection in used)


async def test_connections_are_refused_and_then_closed_unread_if_none_is_idle():
    counted = Counted()
    counted.add_used(MAX_OPEN, is_idle=False)
    refused = FakeConnection()
    assert counted.limit.add(refused)
    assert counted.limit.refuses(refused)
    assert not counted.limit.add(FakeConnection())
    assert counted.limit.open == MAX_OPEN + 1
    assert counted.events == ["connections_refused"] * 2


async def test_a_refused_connection_is_served_when_there_is_room_again():
    counted = Counted()
    busy = counted.add_used(MAX_OPEN, is_idle=False)
    refused = FakeConnection()
    counted.limit.add(refused)
    counted.limit.remove(busy[0])
    assert not counted.limit.refuses(refused)


async def test_a_flood_of_connections_gives_one_log_line_in_a_period():
    counted = Counted()
    with captured_logs() as logs:
        for _ in range(10):
            for _ in range(2 * MAX_OPEN):
                counted.limit.add(FakeConnection())
            await asyncio.sleep(LOG_PERIOD_S)
        counted.limit.add(FakeConnection())
    lines = [line for line in logs.getvalue().splitlines() if LOG_EVENT in line]
    closed = [int(re.search(r"closed=(\d+)", line)[1]) for line in lines]
    assert len(lines) == 11
    assert sum(closed) == counted.events.count("connections_closed")


@pytest.fixture
def answers():
    """An event that lets the server's handler answer."""
    return asyncio.Event()


async def start_server(answers: asyncio.Event, max_open: int):
    """Start a server whose requests are in progress until the event is set."""

    async def handle(request):
        await request.read()
        await answers.wait()
        return web.Response(text="done")

    limit = ConnectionLimit("front", max_open, lambda name, listener: None)
    server = CallerServer(handle, limit=limit, lingering_time=0.1)
    loop = asyncio.get_running_loop()
    return server, await loop.create_server(server, HOST, PORT), limit


async def read_status(reader) -> int:
    """Return the status of an answer."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    return int(head.split()[1])


async def test_a_request_is_refused_while_all_connections_are_busy(answers):
    server, listener, _ = await start_server(answers, MAX_OPEN)
    busy = [await asyncio.open_connection(HOST, PORT) for _ in range(MAX_OPEN)]
    for _, writer in busy:
        writer.write(REQUEST)
    await asyncio.sleep(0.1)
    reader, writer = await asyncio.open_connection(HOST, PORT)
    writer.write(REQUEST)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    assert head.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in head
    assert b"Connection: close" in head
    answers.set()
    for reader, _ in busy:
        assert await read_status(reader) == 200
    listener.close()
    await server.shutdown(0.1)


async def test_half_read_requests_and_slow_answers_are_not_idle(answers):
    server, listener, _ = await start_server(answers, 4)
    parts = (REQUEST[:10], REQUEST[:-2], REQUEST, REQUEST + REQUEST[:5])
    connections = [await asyncio.open_connection(HOST, PORT) for _ in parts]
    for (_, writer), part in zip(connections, parts, strict=True):
        writer.write(part)
    await asyncio.sleep(0.1)
    for _ in range(8):
        await asyncio.open_connection(HOST, PORT)
    await asyncio.sleep(0.1)
    answers.set()
    rests = (REQUEST[10:], REQUEST[-2:], b"", REQUEST[5:])
    for (reader, writer), rest in zip(connections, rests, strict=True):
        writer.write(rest)
        assert await read_status(reader) == 200
    listener.close()
    await server.shutdown(0.1)


async def test_closed_connections_no_longer_count(answers):
    answers.set()
    server, listener, limit = await start_server(answers, MAX_OPEN)
    for _ in range(3 * MAX_OPEN):
        reader, writer = await asyncio.open_connection(HOST, PORT)
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        writer.close()
    await asyncio.sleep(0.1)
    assert limit.open == 0
    listener.close()
    await server.shutdown(0.1)
