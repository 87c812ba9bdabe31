"""A bound on open connections, so that descriptors stay free for everything else.

When it is reached, idle connections are closed to make room: they cost their callers a
new connection at most. If none is idle, new connections are refused.
"""

import asyncio
from collections.abc import Callable
from itertools import islice
from typing import Protocol

from marjoramstile.logs import get_logger

# Share of the bound that connections may hold on which no byte was received.
SILENT_SHARE = 0.5
# Share of the bound by which refused connections may exceed it: requests on them are
# read and answered. Further ones are closed unread.
REFUSED_SHARE = 1 / 16
# Share of the bound that is closed at a time.
CLOSED_AT_ONCE_SHARE = 1 / 64
# Pause after a search that found no idle connection.
SEARCH_PAUSE_S = 0.02
LOG_PERIOD_S = 1.0

logger = get_logger(__name__)


class LimitedConnection(Protocol):
    """A connection that counts towards a limit."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or has been received in part."""

    def close_idle(self) -> None:
        """Close the connection."""


class ConnectionLimit:
    """The open connections of the listeners that share it, and their bound.

    ``on_closed`` is called with ``connections_closed`` or ``connections_refused`` and
    the name of the limit, once for each connection.
    """

    def __init__(self, name: str, max_open: int, on_closed: Callable[[str, str], None]):
        self._name = name
        self._max_open = max_open
        self._on_closed = on_closed
        # Both from the longest without a received byte to the shortest.
        self._silent: dict[LimitedConnection, None] = {}
        self._used: dict[LimitedConnection, None] = {}
        self._refused: set[LimitedConnection] = set()
        self._search_at = 0.0
        self._log_at = 0.0
        self._closed_unlogged = 0
        self._refused_unlogged = 0

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._silent) + len(self._used)

    def add(self, connection: LimitedConnection) -> bool:
        """Count a new connection; false if it must be closed unread.

        Requests on connections that are over the bound are refused, see ``refuses``.
        """
        if self.open >= self._max_open:
            self._make_room()
        if self.open >= self._max_open * (1 + REFUSED_SHARE):
            self._record_refused()
            return False
        if self.open >= self._max_open:
            self._refused.add(connection)
        self._silent[connection] = None
        return True

    def record_received(self, connection: LimitedConnection) -> None:
        """Record that bytes were received on a connection."""
        if connection in self._silent or connection in self._used:
            self._silent.pop(connection, None)
            self._used.pop(connection, None)
            self._used[connection] = None

    def remove(self, connection: LimitedConnection) -> None:
        """Stop counting a connection that was closed."""
        self._silent.pop(connection, None)
        self._used.pop(connection, None)
        self._refused.discard(connection)

    def refuses(self, connection: LimitedConnection) -> bool:
        """Return whether to refuse a request that was received on a connection."""
        if connection not in self._refused:
            return False
        if self.open <= self._max_open:
            self._refused.discard(connection)
            return False
        self._record_refused()
        return True

    def _make_room(self) -> None:
        """Close those that were idle for longest."""
        now = asyncio.get_running_loop().time()
        if now < self._search_at:
            return
        count = max(1, int(self._max_open * CLOSED_AT_ONCE_SHARE))
        found = self._find_idle(count)
        if not found:
            self._search_at = now + SEARCH_PAUSE_S
        for connection in found:
            self.remove(connection)
            connection.close_idle()
            self._on_closed("connections_closed", self._name)
        self._closed_unlogged += len(found)
        self._log()

    def _find_idle(self, count: int) -> list[LimitedConnection]:
        """Return the longest idle ones; silent ones first if they hold their share."""
        kinds = [self._used, self._silent]
        if len(self._silent) >= self._max_open * SILENT_SHARE:
            kinds.reverse()
        for kind in kinds:
            idle = (connection for connection in kind if connection.is_idle)
            if found := list(islice(idle, count)):
                return found
        return []

    def _record_refused(self) -> None:
        self._on_closed("connections_refused", self._name)
        self._refused_unlogged += 1
        self._log()

    def _log(self) -> None:
        """Log what was closed and refused since the last line."""
        now = asyncio.get_running_loop().time()
        if now < self._log_at or not (self._closed_unlogged or self._refused_unlogged):
            return
        logger.warning(
            "connections_at_limit",
            listener=self._name,
            limit=self._max_open,
            closed=self._closed_unlogged,
            refused=self._refused_unlogged,
        )
        self._log_at = now + LOG_PERIOD_S
        self._closed_unlogged = self._refused_unlogged = 0
