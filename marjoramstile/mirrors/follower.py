"""Keeps a mirror current, from the store's change feed or from peers.

A few daemons, the readers, follow the store's feed; the others poll a reader, so that
the calls to the store don't grow with the number of daemons. A reader's answer counts
only if the store confirmed its mirror recently; otherwise the daemon calls the store
itself, and while that fails it accepts changes of any age from any peer.
"""

import asyncio
import math
import random
from typing import Protocol

from result import Result

from marjoramstile.logs import get_logger
from marjoramstile.mirrors.mirror import PeerChanges, TableMirror
from marjoramstile.ports.feeds import (
    Changes,
    HistoryLostError,
    TableFeed,
    era_of,
)
from marjoramstile.ports.tables import StoreError
from marjoramstile.utils import loop_time

# Delays between failed calls to the store: the first one, and the longest of readers
# and of other daemons, which learn from readers that the store has recovered.
RETRY_MIN_S = 0.25
RETRY_MAX_S = 1.0
RETRY_NON_READER_MAX_S = 4.0
RETRY_JITTER = 0.25
# Without a confirmation to any daemon for longer than this, the store counts as having
# been down, and rows may have expired in it: replicas' rows expire after three
# heartbeats at the earliest.
OUTAGE_MIN_S = 3.0
# Least time between two reads of a whole table after a loss of the history.
RELOAD_PERIOD_MIN_S = 0.5
# Wait of a feed call to the store after a failed one.
PROBE_WAIT_S = 0.1
# Stale answers of readers before the store is called. A reader that doesn't answer or
# withholds rows counts as that many: there is no time to ask another.
READER_MISSES_MAX = 3
READER_MISS_PAUSE_S = 0.1
# A reader's confirmation may be older than the wait of its feed calls by this much;
# older ones are stale.
RELAY_MARGIN_S = 0.3


class ChangeSource(Protocol):
    """The other daemons as a source of changes to a mirror."""

    def reads_store(self) -> bool:
        """Return whether this daemon is a reader."""

    async def ask_reader(
        self, table: str, after: int, deferrable: bool
    ) -> PeerChanges | None:
        """Ask one of the readers for changes; None if it doesn't answer."""

    async def ask_any_peer(self, table: str, after: int) -> PeerChanges | None:
        """Ask any serving daemon for changes; None if it doesn't answer."""


logger = get_logger(__name__)


class MirrorFollower:
    """Reads one table in full, then keeps its mirror current."""

    def __init__(
        self,
        feed: TableFeed,
        mirror: TableMirror,
        peers: ChangeSource,
        wait_s: float,
        pause_s: float,
        relay_pause_s: float,
        rng: random.Random,
        deferrable: bool = False,
    ):
        """Feed calls wait ``wait_s``; ``pause_s`` after each one batches changes.

        A daemon that isn't a reader polls one every ``relay_pause_s``; requests of a
        ``deferrable`` follower are sent along with those for other tables.
        """
        self._feed = feed
        self._mirror = mirror
        self._peers = peers
        self._wait_s = wait_s
        self._relay_age_max_s = wait_s + RELAY_MARGIN_S
        self._pause_s = pause_s
        self._relay_pause_s = relay_pause_s
        self._rng = rng
        self._deferrable = deferrable
        self._reader_misses = 0
        self._retry_s = RETRY_MIN_S
        self._next_call_at = -math.inf
        self._needs_reload = False
        self._ignores_changes = False
        self._history_lost_at = -math.inf
        self._store_lost_at: float | None = None
        self._store_recovered_at = -math.inf
        self._confirmed_at = -math.inf

    @property
    def mirror(self) -> TableMirror:
        """The mirror that this follower updates."""
        return self._mirror

    @property
    def store_reachable(self) -> bool:
        """Whether no call to the store has failed since the last answer.

        An answer is one of the store, or of a reader that it confirmed recently.
        """
        return self._store_lost_at is None

    @property
    def store_recovered_at(self) -> float:
        """Loop time at which the last outage for all daemons ended, or -inf."""
        return self._store_recovered_at

    def age_s(self, now: float) -> float:
        """Return the time since the store confirmed the mirror, also through a peer."""
        return now - self._confirmed_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if await self._apply_from_reader():
                await asyncio.sleep(self._relay_pause_s)
            elif self._may_call_store():
                await self._call_store()
            else:
                await asyncio.sleep(READER_MISS_PAUSE_S)

    async def _call_store(self) -> None:
        answer = await self._next_changes()
        if answer.is_ok():
            self._record_store_answer()
            self._apply(answer.unwrap())
            await asyncio.sleep(self._pause_s)
            return
        error = answer.unwrap_err()
        if isinstance(error, HistoryLostError):
            logger.info("history_lost", table=self._mirror.table)
            self._needs_reload = True
            await self._pause_between_reloads()
            return
        self._record_store_failure(error)
        await self._catch_up_from_any_peer()
        if self._peers.reads_store() or not self._mirror.loaded:
            await asyncio.sleep(max(0.0, self._next_call_at - loop_time()))

    async def _pause_between_reloads(self) -> None:
        """Wait if the history was lost right after the last time."""
        pause_s = self._history_lost_at + RELOAD_PERIOD_MIN_S - loop_time()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        self._history_lost_at = loop_time()

    def _may_call_store(self) -> bool:
        """Return whether to call the store rather than a reader.

        A daemon that isn't a reader does so after enough stale answers of readers, and
        waits for the retry delay while the store fails.
        """
        if not self._asks_readers():
            return True
        return (
            self._reader_misses >= READER_MISSES_MAX
            and loop_time() >= self._next_call_at
        )

    def _asks_readers(self) -> bool:
        return (
            self._mirror.loaded
            and not self._needs_reload
            and not self._peers.reads_store()
        )

    async def _apply_from_reader(self) -> bool:
        """Apply a reader's changes if recent enough; return whether they were."""
        if not self._asks_readers():
            return False
        received = await self._peers.ask_reader(
            self._mirror.table, self._mirror.version, self._deferrable
        )
        if received is None or received.withheld:
            self._reader_misses = READER_MISSES_MAX
            return False
        stale = received.age_s > self._relay_age_max_s
        if stale or not self._mirror.accepts(received.changes):
            self._reader_misses += 1
            return False
        self._apply_from_peer(received)
        self._record_store_answer()
        return True

    def _apply_from_peer(self, received: PeerChanges) -> None:
        self._record_confirmation(loop_time() - received.age_s)
        self._apply_to_mirror(received.changes)

    def _record_confirmation(self, at: float) -> None:
        """Record that the store confirmed the mirror, to this daemon or another."""
        if at - self._confirmed_at > OUTAGE_MIN_S and self._confirmed_at > -math.inf:
            self._store_recovered_at = at
        self._confirmed_at = max(self._confirmed_at, at)

    def _record_new_era(self) -> None:
        """Record that the store is back from a copy, which may lack rows."""
        if self._mirror.loaded:
            self._store_recovered_at = loop_time()

    async def _next_changes(
        self,
    ) -> Result[Changes, StoreError | HistoryLostError]:
        if self._needs_reload or not self._mirror.loaded:
            answer = await self._feed.read_table(self._mirror.table)
            if answer.is_ok():
                self._needs_reload = False
            return answer
        wait_s = self._wait_s if self.store_reachable else PROBE_WAIT_S
        return await self._feed.wait_for_changes(
            self._mirror.table, self._mirror.version, wait_s
        )

    def _apply(self, changes: Changes) -> None:
        self._record_confirmation(loop_time())
        self._apply_to_mirror(changes)

    def _apply_to_mirror(self, changes: Changes) -> None:
        """Apply changes; log whole reads that are older than the mirror."""
        if era_of(changes.version) > era_of(self._mirror.version):
            self._record_new_era()
        ignored = changes.complete and changes.version < self._mirror.version
        if ignored and not self._ignores_changes:
            logger.warning(
                "older_changes_ignored",
                table=self._mirror.table,
                version=changes.version,
                mirror_version=self._mirror.version,
            )
        self._ignores_changes = ignored
        self._mirror.apply(changes)

    def _record_store_answer(self) -> None:
        self._reader_misses = 0
        self._retry_s = RETRY_MIN_S
        self._next_call_at = -math.inf
        if self._store_lost_at is None:
            return
        now = loop_time()
        logger.info(
            "store_regained",
            table=self._mirror.table,
            after_s=round(now - self._store_lost_at, 3),
        )
        self._store_lost_at = None

    def _record_store_failure(self, error: StoreError) -> None:
        jitter = self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        self._next_call_at = loop_time() + jitter * self._retry_s
        longest_s = RETRY_NON_READER_MAX_S if self._asks_readers() else RETRY_MAX_S
        self._retry_s = min(2 * self._retry_s, longest_s)
        if self._store_lost_at is None:
            self._store_lost_at = loop_time()
            logger.warning("store_lost", table=self._mirror.table, reason=error.message)

    async def _catch_up_from_any_peer(self) -> None:
        received = await self._peers.ask_any_peer(
            self._mirror.table, self._mirror.version
        )
        if received is None:
            return
        if not self._mirror.accepts(received.changes):
            logger.info("peer_of_another_era", table=self._mirror.table)
            return
        if received.changes.version > self._mirror.version:
            logger.info(
                "caught_up_from_peer",
                table=self._mirror.table,
                version=received.changes.version,
                age_s=round(received.age_s, 3),
            )
        self._apply_from_peer(received)
