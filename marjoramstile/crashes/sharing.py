"""Keeps the blocklist equal on all daemons, and in the store.

A change is sent to all daemons at once. Daemons compare the digests of their lists with
each probe and send each other their entries if these differ; so a daemon that starts or
was cut off learns what the others know. Entries are stored when they change, and read
by each daemon that starts: after a start of the whole fleet nobody else knows them.
"""

import asyncio
import time
from dataclasses import asdict

from result import Result

from marjoramstile.crashes.blocklist import BY_OPERATOR, BlockEntry, Blocklist
from marjoramstile.crashes.messages import BlockUpdate
from marjoramstile.json_fields import MalformedJSONError, parse_object
from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer, View
from marjoramstile.pools.client import PoolSender
from marjoramstile.ports.feeds import StoredRow, TableFeed, unchanged
from marjoramstile.ports.tables import Committed, StoreError, Write
from marjoramstile.routes.order_ports import OrderStore
from marjoramstile.utils import (
    BackgroundTasks,
    content_fingerprint,
    loop_time,
    rendezvous_owner,
)

BLOCKLIST_TABLE = "marjoramstile-blocklist"
ROW_KEY_CHARACTERS = 32
ENTRIES_PER_MESSAGE = 6
# Sent in place of a digest by a daemon that doesn't know yet what is blocked.
UNKNOWN_DIGEST = "?"
# Least time between two lists that are sent to the same daemon.
RESEND_S = 0.3
RETRY_S = 0.5
RETRY_MAX_S = 8.0

logger = get_logger(__name__)


class BlocklistSharing:
    """Changes a daemon's blocklist, and exchanges it with the others and the store."""

    def __init__(
        self,
        blocklist: Blocklist,
        view: View,
        sender: PoolSender,
        feed: TableFeed,
        store: OrderStore,
        tasks: BackgroundTasks,
    ):
        self._blocklist = blocklist
        self._view = view
        self._sender = sender
        self._feed = feed
        self._store = store
        self._tasks = tasks
        self._loaded = False
        self._sent_at: dict[str, float] = {}

    @property
    def loaded(self) -> bool:
        """Whether this daemon knows what the store or another daemon knows."""
        return self._loaded

    @property
    def digest(self) -> str:
        """The digest to send with probes."""
        return self._blocklist.digest if self._loaded else UNKNOWN_DIGEST

    async def load(self) -> None:
        """Read the store, retrying until another daemon's list has arrived."""
        pause_s = RETRY_S
        while not self._loaded:
            answer = await self._feed.read_table(BLOCKLIST_TABLE)
            if answer.is_ok():
                self._take_rows(answer.unwrap().rows)
                return
            logger.info("blocklist_not_read", reason=answer.unwrap_err().message)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _take_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            entry = _decode(row)
            if entry is not None:
                self._blocklist.merge(entry, loop_time())
        self._loaded = True
        logger.info("blocklist_read", entries=len(self._blocklist.entries))

    def handle_digest(self, vm: str, digest: str) -> None:
        """Handle the digest that a daemon has sent with a probe; empty if it has none.

        Daemons of an older build send none.
        """
        if not digest or (digest == UNKNOWN_DIGEST and not self._loaded):
            return
        if digest == self._blocklist.digest:
            self._loaded = True
            return
        peer = self._view.get(vm)
        now = loop_time()
        if peer is None or now < self._sent_at.get(vm, -RESEND_S) + RESEND_S:
            return
        self._sent_at[vm] = now
        self._send_all(peer)

    def _send_all(self, peer: Peer) -> None:
        """Send a daemon the whole list, in parts that fit into datagrams."""
        entries = self._blocklist.entries
        for start in range(0, max(1, len(entries)), ENTRIES_PER_MESSAGE):
            chunk = entries[start : start + ENTRIES_PER_MESSAGE]
            is_last = start + ENTRIES_PER_MESSAGE >= len(entries)
            self._sender.send(peer, BlockUpdate(chunk, self.digest if is_last else ""))

    def handle_update(self, update: BlockUpdate) -> None:
        """Merge entries of another daemon."""
        for entry in update.entries:
            self._blocklist.merge(entry, loop_time())
        if update.digest == self._blocklist.digest:
            self._loaded = True

    def publish(self, entry: BlockEntry) -> None:
        """Put an entry in force on all daemons, and store it."""
        if self._blocklist.merge(entry, loop_time()):
            self._broadcast(entry)
            self._tasks.start(self._persist(entry), "store a block")

    def store_again(self) -> None:
        """Store the entries again that fall to this daemon.

        A restored store may lack them.
        """
        alive = [peer.vm.name for peer in self._view.peers if peer.presumed_alive]
        for entry in self._blocklist.entries:
            owner = rendezvous_owner(_row_key(entry), alive)
            if owner == self._view.own.vm.name:
                self._tasks.start(self._persist(entry), "store a block again")

    def set_block(self, service: str, key: str, blocked: bool) -> BlockEntry:
        """Block a key, or lift its block, as an operator has asked."""
        known = self._blocklist.find(service, key)
        entry = BlockEntry(
            service=service,
            key=key,
            revision=1 if known is None else known.revision + 1,
            blocked=blocked,
            trials=0,
            since_s=round(time.time(), 3),
            crashes=() if known is None else known.crashes,
            by=BY_OPERATOR,
        )
        self.publish(entry)
        return entry

    def _broadcast(self, entry: BlockEntry) -> None:
        for peer in self._view.others:
            if peer.presumed_alive:
                self._sender.send(peer, BlockUpdate((entry,)))

    async def _persist(self, entry: BlockEntry) -> None:
        """Store an entry, retrying until it or a newer one is stored."""
        pause_s = RETRY_S
        while self._blocklist.find(*entry.id) == entry:
            stored = await self._replace_row(entry)
            if stored.is_ok() and stored.unwrap():
                logger.info("block_stored", service=entry.service, key=entry.key)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def _replace_row(self, entry: BlockEntry) -> Result[bool, StoreError]:
        """Replace an entry's row if it is older; return whether it is stored now.

        A newer row is merged.
        """
        key = _row_key(entry)
        answer = await self._store.read_row(BLOCKLIST_TABLE, key)
        if answer.is_err():
            logger.info("block_not_stored", reason=answer.unwrap_err().message)
            return answer
        row = answer.unwrap().row
        stored = None if row is None else _decode(row)
        if stored is not None and stored.revision >= entry.revision:
            self._blocklist.merge(stored, loop_time())
            return answer.map(lambda _: stored == entry)
        written = await self._store.transact(
            [unchanged(BLOCKLIST_TABLE, key, row)],
            [Write(BLOCKLIST_TABLE, key, asdict(entry))],
        )
        return written.map(lambda committed: isinstance(committed, Committed))

    async def claim_trial(self, entry: BlockEntry) -> bool:
        """Claim the next trial of an entry for one request of this daemon.

        The store grants it to one daemon only; there is none without the store.
        """
        claimed = entry.changed(trials=entry.trials + 1)
        granted = (await self._replace_row(claimed)).unwrap_or(False)
        if granted and self._blocklist.merge(claimed, loop_time()):
            self._broadcast(claimed)
            return True
        return False


def _row_key(entry: BlockEntry) -> str:
    return content_fingerprint(entry.service, entry.key)[:ROW_KEY_CHARACTERS]


def _decode(row: StoredRow) -> BlockEntry | None:
    """Return a row's entry; None if it was deleted or is malformed."""
    if row.value is None:
        return None
    try:
        body = parse_object(row.value)
        return BlockEntry(
            service=body.text("service"),
            key=body.text("key"),
            revision=body.integer("revision"),
            blocked=body.flag("blocked"),
            trials=body.integer("trials"),
            since_s=float(body.number("since_s")),
            crashes=body.texts("crashes"),
            by=body.text("by"),
        )
    except MalformedJSONError as error:
        logger.warning("block_row_unreadable", row=row.key, reason=str(error))
        return None
