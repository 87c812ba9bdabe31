"""Finds out that a mirror lacks what other daemons have, however it is fed.

Probes carry how new each daemon's mirrors are. A daemon whose own mirror stays behind,
as its feed hangs or a reader passes on an old copy, asks the daemon that is ahead.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer, View
from marjoramstile.mirrors.mirror import PeerChanges, TableMirror
from marjoramstile.utils import BackgroundTasks, loop_time

# Time for which a mirror may be behind another daemon's: readers and feeds are faster.
LAG_MAX_S = 0.8
# Daemons that one asks when it starts.
START_PEERS = 2

Positions = tuple[tuple[str, int], ...]

logger = get_logger(__name__)


class ChangeClient(Protocol):
    """Asks one daemon for changes of its mirrors."""

    async def changes(
        self, peer: Peer, versions: Mapping[str, int], whole: bool
    ) -> dict[str, PeerChanges] | None:
        """Return the changes after versions by table; None if there is no answer."""


class LagDetector:
    """Compares the positions of this daemon's mirrors with those of others."""

    def __init__(
        self,
        mirrors: Mapping[str, TableMirror],
        view: View,
        client: ChangeClient,
        tasks: BackgroundTasks,
    ):
        """``mirrors`` are those by table that must be current."""
        self._mirrors = mirrors
        self._view = view
        self._client = client
        self._tasks = tasks
        self._behind_since: dict[str, float] = {}
        self._asking: set[str] = set()

    def positions(self) -> Positions:
        """Return how new the mirrors are, to be sent with a probe."""
        return tuple(
            (table, mirror.position)
            for table, mirror in self._mirrors.items()
            if mirror.loaded
        )

    def handle_positions(self, vm: str, positions: Positions) -> None:
        """Compare with the positions that a daemon has sent; older builds send none."""
        now = loop_time()
        for table, position in positions:
            mirror = self._mirrors.get(table)
            if mirror is None or not mirror.loaded or mirror.covers(position):
                self._behind_since.pop(table, None)
                continue
            since = self._behind_since.setdefault(table, now)
            if now - since >= LAG_MAX_S and table not in self._asking:
                self._ask(vm, table, now - since)

    def _ask(self, vm: str, table: str, behind_s: float) -> None:
        peer = self._view.get(vm)
        if peer is None:
            return
        logger.warning(
            "mirror_behind", table=table, peer=vm, behind_s=round(behind_s, 3)
        )
        self._asking.add(table)
        self._tasks.start(self._catch_up(peer, table), "catch up")

    async def _catch_up(self, peer: Peer, table: str) -> None:
        try:
            await self._ask_changes(peer, table, whole=True)
        finally:
            self._asking.discard(table)
            self._behind_since.pop(table, None)

    async def ask_at_start(self, table: str, rng: random.Random) -> None:
        """Ask some daemons for a table until one has it; long rows are left out."""
        peers = rng.sample(self._view.others, min(START_PEERS, len(self._view.others)))
        calls = [self._ask_changes(peer, table, whole=False) for peer in peers]
        for answer in asyncio.as_completed(calls):
            if await answer:
                return

    async def _ask_changes(self, peer: Peer, table: str, whole: bool) -> bool:
        """Apply a daemon's changes; return whether it had any."""
        mirror = self._mirrors[table]
        after = {table: mirror.resume_version}
        received = await self._client.changes(peer, after, whole)
        if received is None or not received[table].changes.rows:
            return False
        mirror.apply(received[table].changes)
        return True
