"""Connections to the other daemons, kept open for reuse."""

import asyncio
from typing import Any, Protocol

from thriftpy2.thrift import TException

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.logs import get_logger
from marjoramstile.peers.transport import PeerConnection

IDLE_CONNECTIONS_PER_PEER = 2
IDLE_ADDRESSES_MAX = 128
CONNECT_TIMEOUT_S = 0.5

logger = get_logger(__name__)


class Connections(Protocol):
    """Calls to peers by address."""

    async def call(
        self, address: str, method: str, *arguments: Any, timeout_s: float
    ) -> Any | None:
        """Call ``method`` of the daemon at ``address``; None if it fails."""


class PeerConnections:
    """Calls peers by address; a call that fails in any way returns None.

    A call that gets no answer in time closes the idle connections to its peer as well:
    they may have fallen silent together, and each would cost one more call.
    """

    def __init__(
        self,
        max_frame_bytes: int,
        buffers: BufferBudget,
        idle_addresses_max: int = IDLE_ADDRESSES_MAX,
    ):
        """Answers are read into ``buffers``.

        ``idle_addresses_max`` is the number of peers whose connections are kept.
        """
        self._idle_addresses_max = idle_addresses_max
        self._max_frame_bytes = max_frame_bytes
        self._buffers = buffers
        self._idle: dict[str, list[PeerConnection]] = {}

    async def call(
        self, address: str, method: str, *arguments: Any, timeout_s: float
    ) -> Any | None:
        """Call ``method`` of the daemon at ``address`` (host:port)."""
        connection = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._acquire(address)
                answer = await connection.call(method, *arguments)
        except (TException, OSError, EOFError, TimeoutError, ValueError) as error:
            logger.debug("peer_call_failed", peer=address, method=method, error=error)
            if connection is not None:
                connection.close()
            if isinstance(error, TimeoutError):
                self._close_all(self._idle.pop(address, []))
            return None
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._release(address, connection)
        return answer

    async def _acquire(self, address: str) -> PeerConnection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
        host, port = address.rsplit(":", 1)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await PeerConnection.open(
                host, int(port), self._max_frame_bytes, self._buffers
            )

    def _release(self, address: str, connection: PeerConnection) -> None:
        """Keep the connection for reuse; evict the least recently used address."""
        idle = self._idle.pop(address, [])
        self._idle[address] = idle
        if len(idle) < IDLE_CONNECTIONS_PER_PEER:
            idle.append(connection)
        else:
            connection.close()
        if len(self._idle) > self._idle_addresses_max:
            oldest = next(iter(self._idle))
            self._close_all(self._idle.pop(oldest))

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            self._close_all(idle)
        self._idle.clear()

    @staticmethod
    def _close_all(connections: list[PeerConnection]) -> None:
        for connection in connections:
            connection.close()
