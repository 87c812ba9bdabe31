"""The HTTP listeners of a routing daemon: opened at its start, drained at its stop."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

from aiohttp import web

from marjoramstile.fronts.caller_connection import CallerConnection
from marjoramstile.fronts.closing import ClosingReport
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.draining import drain
from marjoramstile.fronts.listening import (
    CallerServer,
    default_limits,
    refuse_connection,
)
from marjoramstile.fronts.received import HeldBytes, ReadLimits
from marjoramstile.fronts.turns import Turns
from marjoramstile.listeners import acquire_listener, acquire_optional_listener
from marjoramstile.routes.settings import Address

LINGERING_TIME_S = 1.0
# Timeout for closing a server's connections when a start is abandoned.
SERVER_SHUTDOWN_S = 0.2


@dataclass(frozen=True)
class Listener:
    """An address, and what handles the requests that arrive there.

    ``refuse`` returns the response to requests on connections that exceed ``limit``.
    ``read_limits`` returns the limits in force on what connections send.
    """

    name: str
    address: Address
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    limit: ConnectionLimit
    refuse: Callable[[], web.Response] = refuse_connection
    read_limits: Callable[[], ReadLimits] = default_limits


class ListenerGroup:
    """The listeners of one daemon that are served now, in the order of their start."""

    def __init__(
        self, backlog: int, closings: ClosingReport, held: HeldBytes | None = None
    ):
        """``closings`` gets the ends of all connections; ``held`` their bytes."""
        self._backlog = backlog
        self._closings = closings
        self._held = held
        self._turns = Turns()
        self._served: list[tuple[CallerServer, asyncio.Server]] = []

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        return any(server.is_busy for server, _ in self._served)

    @property
    def connections(self) -> Iterator[CallerConnection]:
        """The open connections of all listeners."""
        for server, _ in self._served:
            yield from server.connections

    async def acquire(self, listener: Listener) -> socket.socket:
        """Return a listening socket, waiting until the address is free.

        Raises UnusableAddressError if no wait will help.
        """
        return await acquire_listener(listener.name, listener.address, self._backlog)

    async def listen(self, listener: Listener) -> None:
        """Serve a listener as soon as its address is free."""
        await self.serve(listener, await self.acquire(listener))

    async def listen_unless(self, listener: Listener, stopping: asyncio.Event) -> None:
        """Serve a listener that the daemon can do without, unless it stops first."""
        listening = await acquire_optional_listener(
            listener.name, listener.address, self._backlog, stopping
        )
        if listening is not None:
            await self.serve(listener, listening)

    async def serve(self, listener: Listener, listening: socket.socket) -> None:
        """Serve the connections of a listening socket."""
        server = CallerServer(
            listener.handler,
            name=listener.name,
            closings=self._closings,
            limit=listener.limit,
            refuse=listener.refuse,
            read_limits=listener.read_limits,
            held=self._held,
            turns=self._turns,
            handler_cancellation=True,
            lingering_time=LINGERING_TIME_S,
            access_log=None,
            auto_decompress=False,
        )
        loop = asyncio.get_running_loop()
        served = await loop.create_server(server, sock=listening, backlog=self._backlog)
        self._served.append((server, served))

    async def drain(self, names: tuple[str, ...], deadline: float) -> None:
        """End the listeners of some names together; see ``draining.drain``."""
        named = [item for item in self._served if item[0].name in names]
        await asyncio.gather(*(drain(*item, deadline) for item in named))
        self._served = [item for item in self._served if item not in named]

    async def drain_others(self, deadline: float) -> None:
        """End the listeners that are left, in reverse order of their start."""
        while self._served:
            await drain(*self._served.pop(), deadline)

    async def close(self) -> None:
        """End all listeners without waiting for their connections."""
        for _, listening in self._served:
            listening.close()
        shutdowns = [server.shutdown(SERVER_SHUTDOWN_S) for server, _ in self._served]
        await asyncio.gather(*shutdowns)
        self._served.clear()
