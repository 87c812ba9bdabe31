"""Quarantine of requests that crash endpoints, identified by their content.

A strike records that an endpoint's process was lost while it ran a content. A content
is refused once its strikes reach a limit. Strikes are soft state that daemons gossip;
the strikes of a content that finishes are cleared on all daemons. Contents that reached
the limit are also stored in the platform's table, so that they survive a restart of all
daemons.
"""

from marjoramstile.logs import get_logger
from marjoramstile.membership.gossip import GossipQueue
from marjoramstile.ports.tables import ABSENT, Condition, TableService, Write

QUARANTINE_TABLE = "quarantine"
MAX_CLEARED_STRIKES = 4096
MAX_STRUCK_CONTENTS = 4096
# Strikes of one content, and characters of a content's fingerprint or an endpoint.
MAX_ENDPOINTS = 64
MAX_TEXT = 1024

logger = get_logger(__name__)


class Quarantine:
    """Strikes and blocked contents known to one daemon, by content fingerprint."""

    def __init__(self):
        self._strikes: dict[str, frozenset[str]] = {}
        self._cleared: dict[tuple[str, str], None] = {}
        self._blocked: set[str] = set()
        self._gossip: GossipQueue[tuple[str, str]] = GossipQueue()

    @property
    def strikes(self) -> dict[str, frozenset[str]]:
        """The endpoints' processes lost, by content."""
        return dict(self._strikes)

    @property
    def is_empty(self) -> bool:
        """Whether no content has a strike or is blocked."""
        return not self._strikes and not self._blocked

    def strike(self, content: str, endpoint: str) -> bool:
        """Record an endpoint lost while it ran ``content``; return whether it is new.

        A strike that has been cleared is not recorded again, nor is one whose texts
        are too long, or one more than a content can have.
        """
        known = self._strikes.get(content, frozenset())
        if endpoint in known or (content, endpoint) in self._cleared:
            return False
        is_full = len(known) >= MAX_ENDPOINTS
        if is_full or len(content) > MAX_TEXT or len(endpoint) > MAX_TEXT:
            return False
        self._strikes[content] = known | {endpoint}
        while len(self._strikes) > MAX_STRUCK_CONTENTS:
            self._forget(next(iter(self._strikes)))
        self._gossip.put((content, endpoint), (content, endpoint))
        logger.warning("request_struck", content=content[:16], endpoint=endpoint)
        return True

    def _forget(self, content: str) -> None:
        """Drop the strikes of a content, also those that wait to be sent."""
        for endpoint in self._strikes.pop(content):
            self._gossip.discard((content, endpoint))

    def clear(self, content: str) -> bool:
        """Remove the strikes of a content that has finished elsewhere.

        Cleared strikes are remembered, so that late gossip doesn't restore them. A
        blocked content keeps its strikes. Return whether any were removed.
        """
        if content in self._blocked or content not in self._strikes:
            return False
        for endpoint in self._strikes.pop(content):
            self._gossip.discard((content, endpoint))
            self._cleared[content, endpoint] = None
        while len(self._cleared) > MAX_CLEARED_STRIKES:
            del self._cleared[next(iter(self._cleared))]
        return True

    def is_suspect(self, content: str) -> bool:
        """Return whether an endpoint was lost while it ran ``content``."""
        return content in self._strikes

    def is_blocked(self, content: str, limit: int) -> bool:
        """Return whether ``content`` must be refused; it stays blocked once it is."""
        if len(self._strikes.get(content, ())) >= limit:
            self._blocked.add(content)
        return content in self._blocked

    def take_gossip(self, limit: int, member_count: int) -> tuple[tuple[str, str], ...]:
        """Return strikes to gossip with the next message."""
        return self._gossip.take(limit, member_count)

    async def persist(self, tables: TableService, limit: int) -> None:
        """Store blocked contents in the table and load those of other daemons.

        Called periodically; does nothing if the table can't be read.
        """
        stored = await tables.scan(QUARANTINE_TABLE)
        if stored.is_err():
            return
        known = {row.key for row in stored.unwrap()}
        over_limit = {
            content
            for content, endpoints in self._strikes.items()
            if len(endpoints) >= limit
        }
        for content in (self._blocked | over_limit) - known:
            await tables.transact(
                [Condition(QUARANTINE_TABLE, content, ABSENT)],
                [Write(QUARANTINE_TABLE, content, {"blocked": True})],
            )
        self._blocked |= known
