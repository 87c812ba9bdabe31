"""Ends a sanic listener so that each request that was read on it gets its answer."""

import asyncio
from collections.abc import Callable
from functools import partial

from sanic import Request, Sanic
from sanic.http import Stage
from sanic.server.async_server import AsyncioServer
from sanic.server.protocols.http_protocol import HttpProtocol

from marjoramstile.entry.connections import is_idle
from marjoramstile.fronts import draining
from marjoramstile.fronts.reading import has_unread_bytes
from marjoramstile.logs import get_logger
from marjoramstile.results import Failure, Ran, RequestFailedError, ResultCode
from marjoramstile.utils import loop_time

POLL_S = 0.01
# Time for the answers to requests that are ended at the deadline.
LAST_ANSWERS_S = 0.2

logger = get_logger(__name__)


async def stop_listening(
    app: Sanic, server: AsyncioServer, protocol: Callable[..., HttpProtocol]
) -> None:
    """Stop listening; connections that the kernel has accepted already are kept.

    They get what ``protocol`` returns.
    """
    protocol_factory = partial(
        protocol,
        loop=asyncio.get_running_loop(),
        app=app,
        connections=server.connections,
    )
    await draining.stop_listening(protocol_factory, server.server)


def has_more_to_answer(request: Request) -> bool:
    """Return whether more than a request has arrived on its connection."""
    connection = request.stream.protocol
    return bool(connection.recv_buffer) or has_unread_bytes(connection.transport)


async def close_connections(server: AsyncioServer, deadline: float) -> None:
    """Close each connection when nothing is left to answer on it.

    Requests in progress at ``deadline`` (loop time) end as not known; the rest is cut.
    """
    await _close_idle(server, deadline)
    for connection in list(server.connections):
        _end_request(connection)
    await _close_idle(server, loop_time() + LAST_ANSWERS_S)
    for connection in list(server.connections):
        logger.warning("caller_connection_closed", reason="forced_at_stop")
        connection.abort()
    await asyncio.sleep(0)


async def _close_idle(server: AsyncioServer, deadline: float) -> None:
    while server.connections and loop_time() < deadline:
        for connection in list(server.connections):
            if is_idle(connection):
                connection.close()
        await asyncio.sleep(POLL_S)


def _end_request(connection: HttpProtocol) -> None:
    """End the request in progress with an answer, unless that has begun."""
    http = connection.http
    if http is None or http.stage is not Stage.HANDLER or connection._task is None:
        return
    failure = Failure(ResultCode.INTERNAL, "the daemon has stopped", ran=Ran.UNKNOWN)
    http.exception = RequestFailedError(failure)
    connection._task.cancel()
