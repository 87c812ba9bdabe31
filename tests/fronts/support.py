"""A front over fake replicas, served on a real socket."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from marjoramstile.fronts.bodies import BodyReader
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.closing import ClosedConnection, ClosingReport
from marjoramstile.fronts.listening import CallerServer
from marjoramstile.loops import listening_socket
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.table import (
    EntryLimits,
    RoutedService,
    RouteKind,
    RoutingTable,
)
from standins.replica_pool import ReplicaModel
from tests.platform.support import HOST
from tests.routes.support import ENGINE, LLM, PLAIN, RoutingCore, route

FAST = ReplicaModel(step_s=0.0005, work_s=0.01)


class KeptClosings(ClosingReport):
    """Keeps the ends of connections as well."""

    def __init__(self):
        self.metrics = Metrics()
        super().__init__(self.metrics)
        self.closed: list[ClosedConnection] = []

    def record(self, closed: ClosedConnection) -> None:
        """Record an end and keep it."""
        super().record(closed)
        self.closed.append(closed)


class FrontHarness:
    """A front over fake replicas: two stream routes and one to a plain service.

    The route ``once`` allows one attempt and no resumption.
    """

    def __init__(self):
        self.buffers = BufferBudget(100_000)
        self.bodies = BodyReader(self.buffers)
        self.closings = KeptClosings()
        self.core = RoutingCore()
        self.core.add_engines(1, 2, FAST)
        self.core.add_plain(2)
        self.table = RoutingTable(
            1,
            (
                route(RouteKind.STREAM, name="s", prefix="/stream/"),
                route(
                    RouteKind.STREAM,
                    name="once",
                    prefix="/once/",
                    resumable=False,
                    max_attempts=1,
                ),
                route(RouteKind.NON_IDEMPOTENT, name="p", prefix="/plain/"),
            ),
            {
                LLM: RoutedService(LLM, ENGINE),
                PLAIN: RoutedService(PLAIN, None),
            },
            EntryLimits(1000),
        )
        self.metrics = Metrics()
        self.entry = self.core.dispatcher(lambda: self.table, self.metrics)

    @asynccontextmanager
    async def serve(self, handler) -> AsyncIterator[None]:
        """Serve a handler on HOST at a free port, which is stored in ``port``."""
        server = CallerServer(
            handler, name="front", closings=self.closings, handler_cancellation=True
        )
        self.server = server
        listener = listening_socket(HOST, 0)
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server, sock=listener)
        yield
        listening.close()
        await server.shutdown(0.1)
        await self.core.tasks.close()

    async def exchange(self, data: bytes, for_s: float = 2.0) -> bytes:
        """Send bytes on a new connection and return what is received.

        Reads until the connection ends, for at most ``for_s`` seconds.
        """
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(data)
        received = b""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(for_s):
                while chunk := await reader.read(65536):
                    received += chunk
        writer.close()
        return received
