"""Connections to replicas that remember whether they were reset.

aiohttp takes the end of a connection for the end of an answer without a length,
also if the connection was reset.
"""

from functools import partial

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler


class ReplicaConnection(ResponseHandler):
    """aiohttp's client protocol that keeps the way in which it ended."""

    def __init__(self, loop):
        super().__init__(loop)
        self.was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the connection ended by a reset."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class ReplicaConnector(TCPConnector):
    """Opens connections to replicas."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = partial(ReplicaConnection, loop=self._loop)
