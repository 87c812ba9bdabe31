"""Keeps a mirror current: from the store's feed, or from peers.

Some daemons, the readers, follow the store; the others ask readers, so that the
store's calls don't grow with the daemons. What a reader tells counts only if the store
confirmed it lately; else the store itself is asked, and while that is away any peer.
"""

import asyncio
import math
import random
from typing import Protocol

from result import Result

from marjoramstile.logs import get_logger
from marjoramstile.mirrors.mirror import PeerChanges, TableMirror
from marjoramstile.ports.feeds import Changes, HistoryLostError, TableFeed
from marjoramstile.ports.tables import StoreError
from marjoramstile.utils import loop_time

# Pauses between two calls of the store that fail: the first, and the longest of
# readers and of the others, who hear from readers when it is back.
RETRY_S = 0.25
RETRY_MAX_S = 1.0
RETRY_OTHERS_MAX_S = 4.0
RETRY_SPREAD = 0.25
# The store was away, and rows may have lapsed in it, if no daemon has had its
# confirmation for so long: replicas' rows lapse after three heartbeats at the earliest.
AWAY_MIN_S = 3.0
# Wait of a feed call to a store that did not answer the last one.
PROBE_WAIT_S = 0.1
# Readers that know nothing new which are asked before the store is; after one that does
# not answer there is no time for others.
MISSES_MAX = 3
MISS_PAUSE_S = 0.1
# A reader's confirmation may be older than its feed calls wait by this; it is not taken
# if it is older still.
RELAY_MARGIN_S = 0.3


class MirrorPeers(Protocol):
    """What a follower needs of the other daemons."""

    def reads_store(self) -> bool:
        """Tell whether this daemon is a reader."""

    async def ask_reader(
        self, table: str, after: int, deferrable: bool
    ) -> PeerChanges | None:
        """Ask one of the readers for changes; None if it doesn't answer."""

    async def ask_any(self, table: str, after: int) -> PeerChanges | None:
        """Ask any serving daemon for changes; None if it doesn't answer."""


logger = get_logger(__name__)


class MirrorFollower:
    """Reads one table whole, then follows its feed."""

    def __init__(
        self,
        feed: TableFeed,
        mirror: TableMirror,
        peers: MirrorPeers,
        wait_s: float,
        pause_s: float,
        relay_pause_s: float,
        rng: random.Random,
        deferrable: bool = False,
    ):
        """Feed calls wait ``wait_s``; ``pause_s`` after each gathers changes.

        A daemon that is no reader asks one every ``relay_pause_s``, a ``patient`` one
        together with other tables.
        """
        self._feed = feed
        self._mirror = mirror
        self._peers = peers
        self._wait_s = wait_s
        self._relay_age_max_s = wait_s + RELAY_MARGIN_S
        self._pause_s = pause_s
        self._relay_pause_s = relay_pause_s
        self._rng = rng
        self._patient = deferrable
        self._misses = 0
        self._retry_s = RETRY_S
        self._next_call_at = -math.inf
        self._reload = False
        self._lost_at: float | None = None
        self._regained_at = -math.inf
        self._confirmed_at = -math.inf

    @property
    def mirror(self) -> TableMirror:
        """The mirror that is kept current."""
        return self._mirror

    @property
    def store_reachable(self) -> bool:
        """Whether the store answered the last call."""
        return self._lost_at is None

    @property
    def store_recovered_at(self) -> float:
        """Loop time at which the store last came back for the first of all daemons."""
        return self._regained_at

    def age_s(self, now: float) -> float:
        """Return for how long the mirror was not confirmed by the store or a peer."""
        return now - self._confirmed_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if await self._relayed():
                await asyncio.sleep(self._relay_pause_s)
            elif self._may_call_store():
                await self._call_store()
            else:
                await asyncio.sleep(MISS_PAUSE_S)

    async def _call_store(self) -> None:
        answer = await self._next_changes()
        if answer.is_ok():
            self._store_answered()
            self._apply(answer.unwrap())
            await asyncio.sleep(self._pause_s)
            return
        error = answer.unwrap_err()
        if isinstance(error, HistoryLostError):
            logger.info("history_lost", table=self._mirror.table)
            self._reload = True
            return
        self._store_failed(error)
        await self._catch_up_from_peer()
        if self._peers.reads_store() or not self._mirror.loaded:
            await asyncio.sleep(max(0.0, self._next_call_at - loop_time()))

    def _may_call_store(self) -> bool:
        """Tell whether it is this daemon's turn to ask the store itself.

        Without fresh news from readers it is, but not again and again while the store
        is away.
        """
        if not self._asks_readers():
            return True
        return self._misses >= MISSES_MAX and loop_time() >= self._next_call_at

    def _asks_readers(self) -> bool:
        return (
            self._mirror.loaded and not self._reload and not self._peers.reads_store()
        )

    async def _relayed(self) -> bool:
        """Take changes from a reader; return whether they are fresh enough."""
        if not self._asks_readers():
            return False
        heard = await self._peers.ask_reader(
            self._mirror.table, self._mirror.version, self._patient
        )
        if heard is None or heard.withheld:
            self._misses = MISSES_MAX
            return False
        if heard.age_s > self._relay_age_max_s:
            self._misses += 1
            return False
        self._take_from_peer(heard)
        self._store_answered()
        return True

    def _take_from_peer(self, heard: PeerChanges) -> None:
        self._confirm(loop_time() - heard.age_s)
        self._mirror.apply(heard.changes)

    def _confirm(self, at: float) -> None:
        """Note that the store confirmed the mirror, to this daemon or another."""
        if at - self._confirmed_at > AWAY_MIN_S and self._confirmed_at > -math.inf:
            self._regained_at = at
        self._confirmed_at = max(self._confirmed_at, at)

    async def _next_changes(
        self,
    ) -> Result[Changes, StoreError | HistoryLostError]:
        if self._reload or not self._mirror.loaded:
            answer = await self._feed.read_table(self._mirror.table)
            if answer.is_ok():
                self._reload = False
            return answer
        wait_s = self._wait_s if self.store_reachable else PROBE_WAIT_S
        return await self._feed.wait_for_changes(
            self._mirror.table, self._mirror.version, wait_s
        )

    def _apply(self, changes: Changes) -> None:
        self._confirm(loop_time())
        self._mirror.apply(changes)

    def _store_answered(self) -> None:
        self._misses = 0
        self._retry_s = RETRY_S
        self._next_call_at = -math.inf
        if self._lost_at is None:
            return
        now = loop_time()
        logger.info(
            "store_regained",
            table=self._mirror.table,
            after_s=round(now - self._lost_at, 3),
        )
        self._lost_at = None

    def _store_failed(self, error: StoreError) -> None:
        spread = self._rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        self._next_call_at = loop_time() + spread * self._retry_s
        longest_s = RETRY_OTHERS_MAX_S if self._asks_readers() else RETRY_MAX_S
        self._retry_s = min(2 * self._retry_s, longest_s)
        if self._lost_at is None:
            self._lost_at = loop_time()
            logger.warning("store_lost", table=self._mirror.table, reason=error.message)

    async def _catch_up_from_peer(self) -> None:
        heard = await self._peers.ask_any(self._mirror.table, self._mirror.version)
        if heard is None:
            return
        if heard.changes.version > self._mirror.version:
            logger.info(
                "caught_up_from_peer",
                table=self._mirror.table,
                version=heard.changes.version,
                age_s=round(heard.age_s, 3),
            )
        self._take_from_peer(heard)
