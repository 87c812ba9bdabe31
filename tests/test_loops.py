"""Tests that a cancelled connection attempt never closes another's file descriptor."""

import asyncio
import gc
import os
import socket

import pytest
from aiohttp import ClientSession

from marjoramstile.fronts.listening import CallerServer
from marjoramstile.loops import connect, create_loop


def is_open(sock: socket.socket) -> bool:
    """Return whether a socket's descriptor is open."""
    try:
        os.fstat(sock.fileno())
    except OSError:
        return False
    return True


def connected_socket(server: asyncio.Server) -> socket.socket:
    """Return a socket that is connected to a server."""
    sock = socket.create_connection(server.sockets[0].getsockname())
    sock.setblocking(False)
    return sock


async def cancelled_after(steps: int) -> list[socket.socket]:
    """Cancel the creation of a transport after ``steps`` iterations of the loop.

    Return sockets opened afterwards. The last reference to the connected socket is
    dropped after they are open, as a late close would hit one of them.
    """
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    sock = connected_socket(server)
    task = loop.create_task(loop.create_connection(asyncio.Protocol, sock=sock))
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.01)
    others = [socket.socket() for _ in range(4)]
    del sock, task
    gc.collect()
    await asyncio.sleep(0.01)
    server.close()
    return others


@pytest.mark.parametrize("steps", range(5))
def test_a_cancelled_connection_never_closes_anothers_descriptor(steps):
    loop = create_loop()
    try:
        others = loop.run_until_complete(cancelled_after(steps))
    finally:
        loop.close()
    assert all(is_open(other) for other in others)
    for other in others:
        other.close()


async def cancel_many(rounds: int) -> int:
    """Cancel connects after 0 to 7 iterations; return how many descriptors are left."""
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    before = len(os.listdir("/proc/self/fd"))
    for number in range(rounds):
        task = loop.create_task(connect(host, port))
        for _ in range(number % 8):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if not task.cancelled() and task.exception() is None:
            task.result()[1].close()
        await asyncio.sleep(0.002)
    server.close()
    gc.collect()
    await asyncio.sleep(0.1)
    return len(os.listdir("/proc/self/fd")) - before


def test_cancelled_connects_leave_no_descriptor_open():
    loop = create_loop()
    try:
        # The server's ends of the connections stay open.
        assert loop.run_until_complete(cancel_many(80)) <= 80
    finally:
        loop.close()


def user_timeout_ms(transport) -> int:
    """Return a connection's TCP_USER_TIMEOUT."""
    connection = transport.get_extra_info("socket")
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_a_peer_caller_or_store_that_falls_silent_is_cut_off_by_the_kernel():
    """TCP_USER_TIMEOUT stays unset: each call has timeouts of its own."""

    async def wait(request):
        await asyncio.sleep(60.0)

    async def open_connections() -> list[int]:
        callers = CallerServer(wait, handler_cancellation=True)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(callers, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server, ClientSession() as session:
            _, writer = await connect(host, port)
            call = asyncio.ensure_future(session.get(f"http://{host}:{port}/"))
            await asyncio.sleep(0.1)
            (store,) = session.connector._acquired
            transports = [writer.transport, store.transport]
            transports += [item.transport for item in callers.connections]
            values = [user_timeout_ms(transport) for transport in transports]
            call.cancel()
            writer.close()
            await writer.wait_closed()
        await callers.shutdown(0.1)
        return values

    loop = create_loop()
    assert loop.run_until_complete(open_connections()) == [0, 0, 0, 0]
    loop.close()
