"""Scripted replicas on raw sockets, and requests, for tests of the adapter."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from aiohttp import ClientSession

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.platform.store import PlatformStore
from marjoramstile.routes.replica_types import Replica, ReplicaState
from marjoramstile.routes.requests import Headers, RoutedRequest
from marjoramstile.routes.table import Route, RouteKind, ServiceShare

HOST = "127.0.0.1"
BUFFER_BYTES = 25_000_000

Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_replica(script: Script) -> AsyncIterator[Replica]:
    """Run a replica that reads one request's head and then runs ``script``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            await script(head, writer)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        yield replica(port)


def replica(port: int, replica_id: str = "i-1") -> Replica:
    """Return a plain service's replica on this machine."""
    return Replica(
        replica_id, "ledger", HOST, port, "a", 6, ReplicaState.READY, started_at_ms=1
    )


def store_client(session: ClientSession, address: str, decoders=None) -> PlatformStore:
    """Return a client of a store with a byte budget of its own."""
    budget = BufferBudget(BUFFER_BYTES)
    return PlatformStore(session, address, budget, decoders=decoders)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def route(kind: RouteKind = RouteKind.IDEMPOTENT, **changes) -> Route:
    """Return a route to the plain service."""
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/p/",
        "kind": kind,
        "timeout_s": 1.0,
        "target_latency_s": 0.2,
        "priority": 1,
        "shares": (ServiceShare("ledger", 1.0),),
        "max_attempts": 2,
        "resumable": False,
        "gap_target_s": None,
    }
    return Route(**{**fields, **changes})


def request(
    request_id: str = "q1",
    method: str = "GET",
    target: str = "/p/x",
    headers: Headers = (("Host", "h.example"), ("X-Request-Id", "q1")),
    body: bytes = b"",
    used_route: Route | None = None,
) -> RoutedRequest:
    """Return a request whose deadline is in one second."""
    now = asyncio.get_running_loop().time()
    return RoutedRequest(
        id=request_id,
        method=method,
        target=target,
        headers=headers,
        body=body,
        route=used_route or route(),
        service="ledger",
        arrived=now,
        deadline=now + 1.0,
    )
