"""Open connections fall silent without a reset, while new ones work."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.test_utils import TestServer

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.listening import CallerServer
from marjoramstile.peers.connections import PeerConnections
from marjoramstile.peers.transport import PeerServer
from marjoramstile.platform.store import (
    CALL_TIMEOUT_S,
    PlatformStore,
    create_store_session,
)
from soak.proxy import LinkProxy
from standins.published.store import create_app
from tests.fronts.test_connection_limit import FakeConnection
from tests.platform.support import BUFFER_BYTES, HOST

TABLE = "servers"
# Connections that a daemon accepts from its peers.
PEERS_MAX = 8
WAIT_S = 0.2
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# Longest time of a call on a connection that works.
WORKING_S = 0.4
FRAME_MAX_BYTES = 100_000


@asynccontextmanager
async def proxied_store():
    """Run a store behind a proxy; yield its client and the proxy."""
    async with TestServer(create_app()) as server, create_store_session() as session:
        proxy = LinkProxy(f"{server.host}:{server.port}")
        await proxy.start(HOST, 0)
        buffers = BufferBudget(BUFFER_BYTES)
        yield PlatformStore(session, f"{HOST}:{proxy.port}", buffers), proxy
        await proxy.close()


async def test_a_call_after_the_silence_takes_a_silent_connection_of_an_earlier_one():
    """Each kept connection cost one more timeout: a change was late by their sum."""
    async with proxied_store() as (store, proxy):
        table = (await store.read_table(TABLE)).unwrap()
        calls = [store.read_table(TABLE) for _ in range(4)]
        assert all(answer.is_ok() for answer in await asyncio.gather(*calls))
        proxy.silence_open()
        for _ in range(4):
            began = time.monotonic()
            fed = await store.wait_for_changes(TABLE, table.version, WAIT_S)
            assert fed.is_ok()
            assert time.monotonic() - began < WAIT_S + WORKING_S


async def test_a_feed_call_that_falls_silent_is_followed_by_one_that_works():
    """The silence is noticed within the feed's wait and one timeout, not two."""
    async with proxied_store() as (store, proxy):
        table = (await store.read_table(TABLE)).unwrap()
        others = [store.read_table(TABLE) for _ in range(3)]
        await asyncio.gather(*others)
        feed = asyncio.create_task(store.wait_for_changes(TABLE, table.version, WAIT_S))
        await asyncio.sleep(WAIT_S / 2)
        proxy.silence_open()
        began = time.monotonic()
        assert (await feed).is_err()
        assert time.monotonic() - began < WAIT_S + CALL_TIMEOUT_S + 0.2
        began = time.monotonic()
        assert (await store.read_table(TABLE)).is_ok()
        assert time.monotonic() - began < WORKING_S


class Echo:
    """A peer's handler that answers one method."""

    async def probe_through(self, vm: str) -> bool:
        """Answer after a moment: calls at once need connections of their own."""
        await asyncio.sleep(0.02)
        return True


async def test_one_silent_connection_to_a_peer_tells_of_its_neighbours():
    """Each idle one cost a call its timeout, and peers counted as silent longer."""
    buffers = BufferBudget(BUFFER_BYTES)
    server = PeerServer(Echo(), FRAME_MAX_BYTES, buffers)
    await server.start(HOST, 0)
    port = server.port
    proxy = LinkProxy(f"{HOST}:{port}")
    await proxy.start(HOST, 0)
    peers = PeerConnections(FRAME_MAX_BYTES, buffers)

    async def call() -> bool | None:
        address = f"{HOST}:{proxy.port}"
        return await peers.call(address, "probe_through", "vm", timeout_s=0.3)

    assert await asyncio.gather(*(call() for _ in range(3))) == [True] * 3
    proxy.silence_open()
    assert [await call() for _ in range(3)] == [None, True, True]
    peers.close()
    await proxy.close()
    await server.close()


async def test_silent_connections_to_a_daemon_do_not_keep_its_peers_out():
    buffers = BufferBudget(BUFFER_BYTES)
    limit = ConnectionLimit("peers", PEERS_MAX, lambda name, listener: None)
    server = PeerServer(Echo(), FRAME_MAX_BYTES, buffers, limit)
    await server.start(HOST, 0)
    port = server.port
    peers = PeerConnections(FRAME_MAX_BYTES, buffers)

    async def call() -> bool | None:
        address = f"{HOST}:{port}"
        return await peers.call(address, "probe_through", "vm", timeout_s=0.3)

    for _ in range(3):
        silent = [await asyncio.open_connection(HOST, port) for _ in range(PEERS_MAX)]
        assert await asyncio.gather(*(call() for _ in range(3))) == [True] * 3
    assert limit.open <= PEERS_MAX
    for _, writer in silent:
        writer.close()
    peers.close()
    await server.close()


async def test_a_connection_whose_next_request_was_not_read_yet_is_not_idle():
    async def handle(request):
        return web.Response(text="done")

    limit = ConnectionLimit("front", 2, lambda name, listener: None)
    server = CallerServer(handle, limit=limit)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, HOST, 0)
    callers = []
    for _ in range(2):
        caller = socket.create_connection(listener.sockets[0].getsockname())
        caller.setblocking(False)
        caller.send(REQUEST)
        assert (await loop.sock_recv(caller, 4096)).startswith(b"HTTP/1.1 200")
        callers.append(caller)
    callers[0].send(REQUEST)
    assert limit.add(FakeConnection())
    assert (await loop.sock_recv(callers[0], 4096)).startswith(b"HTTP/1.1 200")
    assert await loop.sock_recv(callers[1], 4096) == b""
    for caller in callers:
        caller.close()
    listener.close()
    await server.shutdown(0.1)
