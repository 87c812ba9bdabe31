"""Accepts the connections of a listening socket one in each iteration of the loop.

The loop's own servers accept the whole backlog at once. With more connections than
there is room for, none of them could be told apart by what it has sent.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from marjoramstile.log_summaries import EventSummary
from marjoramstile.logs import get_logger

# Pause after a failure, which mostly is a lack of descriptors.
FAILURE_PAUSE_S = 0.1
# Longest wait for room, after which a connection is closed if there is none.
ROOM_WAIT_S = 0.5
ROOM_PAUSE_S = 0.01

logger = get_logger(__name__)


class Acceptor:
    """Accepts connections until it is closed."""

    def __init__(
        self,
        listener: socket.socket,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        has_room: Callable[[], bool],
    ):
        """``listener`` listens, and is closed with this.

        While ``has_room`` returns false, connections wait for some time.
        """
        self._has_room = has_room
        self._listener = listener
        self._create_protocol = create_protocol
        self._failed = EventSummary(logger, "connection_not_accepted")
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def port(self) -> int:
        """The port that connections are accepted on."""
        return self._listener.getsockname()[1]

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(self._listener)
                await self._serve(accepted)
            except OSError as error:
                self._failed.count({"error": repr(error)})
                await asyncio.sleep(FAILURE_PAUSE_S)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            await self._wait_for_room()
        except asyncio.CancelledError:
            accepted.close()
            raise
        # A transport whose creation is cancelled may close another's socket.
        await asyncio.shield(self._connect(accepted))

    async def _wait_for_room(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ROOM_WAIT_S):
                while not self._has_room():
                    await asyncio.sleep(ROOM_PAUSE_S)

    async def _connect(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._create_protocol, sock=accepted)
        except BaseException:
            accepted.close()
            raise

    async def close(self) -> None:
        """Accept no more connections."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._listener.close()
