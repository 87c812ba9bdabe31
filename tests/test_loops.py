"""Tests that a cancelled connection attempt never closes another's file descriptor."""

import asyncio
import gc
import os
import socket

import pytest

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
