"""Keeps a mirror current: from the store's feed, or from peers while it is away."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Result

from marjoramstile.logs import get_logger
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.ports.feeds import Changes, HistoryLostError, TableFeed
from marjoramstile.ports.tables import StoreError
from marjoramstile.utils import loop_time

RETRY_S = 0.25

AskPeer = Callable[[str, int], Awaitable[Changes | None]]

logger = get_logger(__name__)


class MirrorFollower:
    """Reads one table whole, then follows its feed."""

    def __init__(
        self,
        feed: TableFeed,
        mirror: TableMirror,
        ask_peer: AskPeer,
        wait_s: float,
        pause_s: float,
    ):
        """Feed calls wait ``wait_s``; ``pause_s`` after each gathers changes."""
        self._feed = feed
        self._mirror = mirror
        self._ask_peer = ask_peer
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._reload = False
        self._lost_at: float | None = None
        self._regained_at = float("-inf")
        self._confirmed_at = float("-inf")

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last call."""
        return self._lost_at is None

    @property
    def regained_at(self) -> float:
        """Loop time at which the store last came back."""
        return self._regained_at

    def age_s(self, now: float) -> float:
        """Return for how long the mirror was not confirmed by the store or a peer."""
        return now - self._confirmed_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            answer = await self._next_changes()
            if answer.is_ok():
                self._store_answered()
                self._apply(answer.unwrap())
                await asyncio.sleep(self._pause_s)
                continue
            error = answer.unwrap_err()
            if isinstance(error, HistoryLostError):
                logger.info("history_lost", table=self._mirror.table)
                self._reload = True
                continue
            self._store_failed(error)
            await self._catch_up_from_peer()
            await asyncio.sleep(RETRY_S)

    async def _next_changes(
        self,
    ) -> Result[Changes, StoreError | HistoryLostError]:
        if self._reload or not self._mirror.known:
            answer = await self._feed.read_table(self._mirror.table)
            if answer.is_ok():
                self._reload = False
            return answer
        return await self._feed.wait_for_changes(
            self._mirror.table, self._mirror.version, self._wait_s
        )

    def _apply(self, changes: Changes) -> None:
        self._confirmed_at = loop_time()
        self._mirror.apply(changes)

    def _store_answered(self) -> None:
        if self._lost_at is None:
            return
        now = loop_time()
        logger.info(
            "store_regained",
            table=self._mirror.table,
            after_s=round(now - self._lost_at, 3),
        )
        self._lost_at = None
        self._regained_at = now

    def _store_failed(self, error: StoreError) -> None:
        if self._lost_at is None:
            self._lost_at = loop_time()
            logger.warning("store_lost", table=self._mirror.table, reason=error.message)

    async def _catch_up_from_peer(self) -> None:
        changes = await self._ask_peer(self._mirror.table, self._mirror.version)
        if changes is None or changes.version <= self._mirror.version:
            return
        logger.info(
            "caught_up_from_peer", table=self._mirror.table, version=changes.version
        )
        self._apply(changes)
