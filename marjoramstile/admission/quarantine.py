"""Requests that crash endpoints: counted by content, refused after the limit.

A strike names a content and an endpoint's process lost while it ran there. Strikes
are soft state that daemons tell each other; a content that finishes is cleared on
all of them. Contents that reached the limit are also kept in the platform's table,
so that they outlast every daemon.
"""

from marjoramstile.logs import get_logger
from marjoramstile.membership.gossip import GossipQueue
from marjoramstile.ports.tables import ABSENT, Condition, TableService, Write

QUARANTINE_TABLE = "quarantine"
CLEARED_KEPT = 4096
STRIKES_KEPT = 4096

logger = get_logger(__name__)


class Quarantine:
    """Strikes by content fingerprint."""

    def __init__(self):
        self._strikes: dict[str, frozenset[str]] = {}
        self._cleared: dict[tuple[str, str], None] = {}
        self._blocked: set[str] = set()
        self._news: GossipQueue[tuple[str, str]] = GossipQueue()

    @property
    def strikes(self) -> dict[str, frozenset[str]]:
        """Endpoints lost by content."""
        return dict(self._strikes)

    @property
    def is_empty(self) -> bool:
        """Whether no content has a strike."""
        return not self._strikes and not self._blocked

    def strike(self, content: str, endpoint: str) -> bool:
        """Note an endpoint lost under ``content``; return whether it is new."""
        known = self._strikes.get(content, frozenset())
        if endpoint in known or (content, endpoint) in self._cleared:
            return False
        self._strikes[content] = known | {endpoint}
        while len(self._strikes) > STRIKES_KEPT:
            del self._strikes[next(iter(self._strikes))]
        self._news.put((content, endpoint), (content, endpoint))
        logger.warning("request_struck", content=content[:16], endpoint=endpoint)
        return True

    def clear(self, content: str) -> bool:
        """Forget the strikes of a content that has finished elsewhere.

        The same strikes don't count when they are heard of again. Return whether
        there were any.
        """
        if content in self._blocked or content not in self._strikes:
            return False
        for endpoint in self._strikes.pop(content):
            self._news.discard((content, endpoint))
            self._cleared[content, endpoint] = None
        while len(self._cleared) > CLEARED_KEPT:
            del self._cleared[next(iter(self._cleared))]
        return True

    def is_suspect(self, content: str) -> bool:
        """Tell whether an endpoint was lost under ``content``."""
        return content in self._strikes

    def is_blocked(self, content: str, limit: int) -> bool:
        """Tell whether ``content`` must not run any more."""
        if len(self._strikes.get(content, ())) >= limit:
            self._blocked.add(content)
        return content in self._blocked

    def take_gossip(self, limit: int, member_count: int) -> tuple[tuple[str, str], ...]:
        """Return strikes to pass on with the next message."""
        return self._news.take(limit, member_count)

    async def persist(self, tables: TableService, limit: int) -> None:
        """Exchange blocked contents with the table; run periodically."""
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
