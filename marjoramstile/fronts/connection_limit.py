"""A bound on open connections, so that descriptors stay free for everything else.

When it is reached, connections are closed to make room: those on which the rest of a
request has been awaited for long, and idle ones, which cost their callers a new
connection at most. If there is none, new connections are refused.
"""

import asyncio
from collections.abc import Callable
from heapq import nsmallest
from itertools import chain, islice
from operator import itemgetter
from typing import Protocol

from marjoramstile.logs import get_logger

# Share of the bound that connections may hold on which no byte was received.
SILENT_SHARE = 0.5
# Share of these, and of those that have sent a part of a request or what was refused.
# If they hold more, connections in use are not closed for them.
INCOMPLETE_SHARE = 0.5
# Time for the rest of a request before its connection is closed in place of idle ones.
STALLED_MIN_S = 0.5
# Share of the bound by which refused connections may exceed it: requests on them are
# read and answered. Further ones are closed unread.
REFUSED_SHARE = 1 / 16
# Share of the bound that is closed at a time.
CLOSED_AT_ONCE_SHARE = 1 / 64
# Time for the first byte of a connection while others can wait to be accepted.
FIRST_BYTE_S = 0.1
# Pause after a search that found no idle connection.
SEARCH_PAUSE_S = 0.02
LOG_PERIOD_S = 1.0

logger = get_logger(__name__)


class LimitedConnection(Protocol):
    """A connection that counts towards a limit."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or has been received in part."""

    @property
    def stalled_since(self) -> float | None:
        """Loop time since which only the rest of a request is awaited, if it is."""

    @property
    def is_ending(self) -> bool:
        """Whether it closes after an answer, as what was received was refused."""

    def close_idle(self) -> None:
        """Close the connection."""

    def close_stalled(self) -> None:
        """Refuse the request that has been received in part, and close."""


class ConnectionLimit:
    """The open connections of the listeners that share it, and their bound.

    ``on_closed`` is called with ``connections_closed`` or ``connections_refused`` and
    the name of the limit, once for each connection.
    """

    def __init__(self, name: str, max_open: int, on_closed: Callable[[str, str], None]):
        self._name = name
        self._max_open = max_open
        self._on_closed = on_closed
        # Both from the longest without a received byte to the shortest; the silent ones
        # with the loop time of their start.
        self._silent: dict[LimitedConnection, float] = {}
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
        self._silent[connection] = asyncio.get_running_loop().time()
        return True

    def has_room(self) -> bool:
        """Make room for a connection that can wait to be accepted.

        Return whether there is some. Unlike ``add``, this closes no connection that was
        opened just now, and may be about to send its first request.
        """
        if self.open >= self._max_open:
            self._make_room(FIRST_BYTE_S)
        return self.open < self._max_open

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

    def _make_room(self, silent_min_s: float = 0.0) -> None:
        """Close those that wait for the rest of a request or are idle for longest.

        Silent ones are closed only if they were opened ``silent_min_s`` ago.
        """
        now = asyncio.get_running_loop().time()
        if now < self._search_at:
            return
        count = max(1, int(self._max_open * CLOSED_AT_ONCE_SHARE))
        stalled = self._stalled()
        holds_share = self._holds_share(stalled)
        if not holds_share:
            stalled = [item for item in stalled if item[0] <= now - STALLED_MIN_S]
        if stalled:
            for _, connection in nsmallest(count, stalled, key=itemgetter(0)):
                self._close(connection, connection.close_stalled)
        elif idle := self._find_idle(count, holds_share, now - silent_min_s):
            for connection in idle:
                self._close(connection, connection.close_idle)
        else:
            self._search_at = now + SEARCH_PAUSE_S
        self._log()

    def _close(self, connection: LimitedConnection, close: Callable[[], None]) -> None:
        self.remove(connection)
        close()
        self._on_closed("connections_closed", self._name)
        self._closed_unlogged += 1

    def _stalled(self) -> list[tuple[float, LimitedConnection]]:
        """Return those that wait for the rest of a request, and since when."""
        return [
            (since, connection)
            for connection in chain(self._used, self._silent)
            if (since := connection.stalled_since) is not None
        ]

    def _holds_share(self, stalled: list[tuple[float, LimitedConnection]]) -> bool:
        """Return whether those without a proper request hold more than their share."""
        ending = (connection for connection in self._used if connection.is_ending)
        incomplete = {connection for _, connection in stalled}.union(ending)
        incomplete |= self._silent.keys()
        return len(incomplete) > self._max_open * INCOMPLETE_SHARE

    def _find_idle(
        self, count: int, only_silent: bool, opened_by: float
    ) -> list[LimitedConnection]:
        """Return the longest idle ones; silent ones first if they hold their share.

        Silent ones that were opened after the loop time ``opened_by`` are left out.
        """
        silent = [item for item, opened in self._silent.items() if opened <= opened_by]
        kinds = [silent] if only_silent else [self._used, silent]
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
