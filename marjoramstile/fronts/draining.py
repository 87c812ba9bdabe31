"""Ends a listener so that each request that was read on it gets its answer.

What the kernel has accepted is served as well, since its callers count as connected.
A connection is closed only while nothing is left to answer on it and none of its bytes
wait to be read: closing such a socket would reset it.
"""

import asyncio
import socket

from marjoramstile.fronts.listening import CallerServer
from marjoramstile.logs import get_logger
from marjoramstile.utils import loop_time

POLL_S = 0.01
# Time in which handlers end whose connections were cut off.
SETTLE_S = 0.05

logger = get_logger(__name__)


async def stop_listening(protocol_factory, listener: asyncio.Server) -> None:
    """Stop listening; connections that the kernel has accepted already are kept.

    Returns when all of them have their protocol.
    """
    accepted = [
        connection
        for listening in listener.sockets
        for connection in _accept_all(listening.fileno())
    ]
    listener.close()
    loop = asyncio.get_running_loop()
    await asyncio.gather(
        *(
            loop.connect_accepted_socket(protocol_factory, connection)
            for connection in accepted
        )
    )
    # Those that the loop itself has accepted get their protocol in its next round.
    await asyncio.sleep(0)


def _accept_all(descriptor: int) -> list[socket.socket]:
    """Accept connections until none waits, or until there is no descriptor left."""
    accepted = []
    listening = socket.socket(fileno=descriptor)
    try:
        while True:
            connection, _ = listening.accept()
            connection.setblocking(False)
            accepted.append(connection)
    except BlockingIOError:
        return accepted
    except OSError as error:
        logger.warning("backlog_not_accepted", reason=str(error))
        return accepted
    finally:
        listening.detach()


async def drain(
    server: CallerServer, listener: asyncio.Server, deadline: float
) -> None:
    """Stop listening, and close each connection when nothing is left to answer on it.

    Those that are not done by ``deadline`` (loop time) are cut off.
    """
    server.close_when_idle()
    await stop_listening(server, listener)
    while server.connections and loop_time() < deadline:
        await asyncio.sleep(POLL_S)
    server.cut_off()
    settled_by = loop_time() + SETTLE_S
    while server.connections and loop_time() < settled_by:
        await asyncio.sleep(0)
