"""The daemon's event loop: uvloop without io_uring and without worker threads.

uvloop resolves host names, and even IP addresses, on libuv's worker threads. The
functions here bind or connect sockets themselves, so that it resolves nothing.
"""

import asyncio
import contextlib
import os
import socket
from pathlib import Path
from typing import Any

LISTEN_BACKLOG = 512
# Linux allows as much again for its own bookkeeping, and lets buffers without a size
# grow to megabytes.
RECEIVE_BUFFER_BYTES = 65_536
OWN_DESCRIPTORS = "/proc/self/fd"


def create_loop() -> asyncio.AbstractEventLoop:
    """Return a new uvloop loop; io_uring must be disabled before libuv starts."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    class NumericHostLoop(uvloop.Loop):
        """Resolves IP addresses inline; without a socket type libuv uses threads."""

        async def getaddrinfo(self, host: Any, port: Any, **options: Any) -> Any:
            """Resolve an address, for a stream socket by default."""
            options["type"] = options.get("type") or socket.SOCK_STREAM
            return await super().getaddrinfo(host, port, **options)

        async def create_connection(self, protocol_factory, *address, **options):
            """Connect; for a given ``sock``, finish even if the caller is cancelled.

            If the creation of its transport were cancelled, uvloop would close the file
            descriptor some time after the socket's owner has closed it, by when another
            socket or file may have been given the same number.
            """
            connecting = super().create_connection(
                protocol_factory, *address, **options
            )
            if options.get("sock") is None:
                return await connecting
            task = self.create_task(connecting)
            try:
                return await asyncio.shield(task)
            except asyncio.CancelledError:
                task.add_done_callback(_abort_unwanted)
                raise

    return NumericHostLoop()


def _abort_unwanted(task: asyncio.Task) -> None:
    """Close a connection whose creator was cancelled in the meantime."""
    if not task.cancelled() and task.exception() is None:
        transport, _ = task.result()
        transport.abort()


def io_uring_descriptors(directory: str = OWN_DESCRIPTORS) -> list[str]:
    """Return the targets of a process's descriptors that are io_uring instances."""
    found = []
    for entry in Path(directory).iterdir():
        with contextlib.suppress(OSError):
            target = os.readlink(entry)
            if "io_uring" in target:
                found.append(target)
    return found


def listening_socket(
    host: str, port: int, backlog: int = LISTEN_BACKLOG
) -> socket.socket:
    """Return a non-blocking socket that listens on an IP address.

    What the kernel receives on its connections before it is read has a fixed bound.
    """
    listener = socket.create_server((host, port), family=_family(host), backlog=backlog)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setblocking(False)
    return listener


def datagram_socket(host: str, port: int) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to an IP address."""
    bound = socket.socket(_family(host), socket.SOCK_DGRAM)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


async def connect(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a stream to an IP address."""
    connection = socket.socket(_family(host))
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return await asyncio.open_connection(sock=connection)
