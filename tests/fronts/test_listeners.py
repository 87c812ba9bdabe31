"""Listeners of the routing daemon, on real sockets."""

import asyncio
import contextlib
import socket

from aiohttp import web

from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.listeners import Listener, ListenerGroup
from marjoramstile.routes.settings import Address
from tests.fronts.support import KeptClosings

HOST = "127.0.0.1"
BACKLOG = 300
CONNECT_TIMEOUT_S = 0.5


async def handle(request: web.BaseRequest) -> web.Response:
    """Answer any request."""
    return web.Response()


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def test_connections_of_a_burst_are_not_dropped_while_the_loop_is_busy():
    listeners = ListenerGroup(BACKLOG, KeptClosings())
    limit = ConnectionLimit("front", 2 * BACKLOG, lambda event, name: None)
    address = Address(HOST, free_port())
    await listeners.listen(Listener("front", address, handle, limit))
    with contextlib.ExitStack() as callers:
        for _ in range(BACKLOG):
            caller = socket.create_connection(
                (address.host, address.port), CONNECT_TIMEOUT_S
            )
            callers.enter_context(caller)
    await listeners.close()


async def test_all_pipelined_requests_beyond_the_bound_are_refused():
    done = asyncio.Event()

    async def wait(request: web.BaseRequest) -> web.Response:
        await done.wait()
        return web.Response()

    listeners = ListenerGroup(BACKLOG, KeptClosings())
    limit = ConnectionLimit("front", 16, lambda event, name: None)
    address = Address(HOST, free_port())
    await listeners.listen(Listener("front", address, wait, limit))
    request = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
    writers = []
    for _ in range(16):
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(request)
        writers.append(writer)
    await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(3 * request)
    async with asyncio.timeout(2.0):
        answers = await reader.read()
    assert answers.count(b"503 Service Unavailable") == 3
    done.set()
    for item in (*writers, writer):
        item.close()
    await listeners.close()
