"""Mirrors: the store's feed, its outages, lost history, and changes from peers."""

import asyncio
import math
import random
from collections import deque
from dataclasses import dataclass

from hypothesis import given, strategies as st
from result import Err, Ok

from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.mirrors.mirror import TOMBSTONES_MAX, PeerChanges, TableMirror
from marjoramstile.peers.membership_messages import changes_from_wire, changes_to_wire
from marjoramstile.ports.feeds import Changes, HistoryLostError, StoredRow
from marjoramstile.ports.tables import StoreError

DOWN = Err(StoreError("down"))


def changes(version: int, complete: bool = False, **rows: bytes | None) -> Changes:
    """Return changes whose rows all have the version."""
    stored = tuple(StoredRow(key, version, value) for key, value in rows.items())
    return Changes(stored, version, complete)


class ScriptedFeed:
    """Returns scripted answers; when they are used up, the store is down."""

    def __init__(self, reads=(), feeds=()):
        self.reads = deque(reads)
        self.feeds = deque(feeds)

    async def read_table(self, table):
        """Return the next full read."""
        await asyncio.sleep(0.01)
        return self.reads.popleft() if self.reads else DOWN

    async def wait_for_changes(self, table, after, wait_s):
        """Return the next changes."""
        await asyncio.sleep(0.01)
        return self.feeds.popleft() if self.feeds else DOWN


@dataclass
class FakePeers:
    """A reader and any other daemon, with fixed answers."""

    reader: PeerChanges | None = None
    any_peer: Changes | None = None
    is_reader: bool = True
    any_peer_age_s: float = 9.0

    def reads_store(self):
        """Return whether this daemon is a reader."""
        return self.is_reader

    async def ask_reader(self, table, after, deferrable):
        """Return the reader's answer."""
        return self.reader

    async def ask_any_peer(self, table, after):
        """Return the other daemon's answer."""
        return self.any_peer and PeerChanges(self.any_peer, self.any_peer_age_s)


async def follow(
    feed: ScriptedFeed,
    peer: Changes | None = None,
    for_s: float = 1.0,
    peers: FakePeers | None = None,
    wait_s: float = 1.2,
):
    """Follow a feed for a while; return mirror, follower, and rows notified."""
    mirror = TableMirror("t")
    seen: list[StoredRow] = []
    mirror.subscribe(seen.append)

    follower = MirrorFollower(
        feed,
        mirror,
        peers or FakePeers(any_peer=peer),
        wait_s,
        0.0,
        0.35,
        random.Random(1),
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(for_s)
    task.cancel()
    return mirror, follower, seen


async def test_the_feed_is_followed():
    feed = ScriptedFeed([Ok(changes(1, True, a=b"1"))], [Ok(changes(2, b=b"2"))])
    mirror, follower, seen = await follow(feed)
    assert {key: row.value for key, row in mirror.rows.items()} == {
        "a": b"1",
        "b": b"2",
    }
    assert not follower.store_reachable
    assert len(seen) == 2


async def test_lost_history_leads_to_a_full_read():
    feed = ScriptedFeed(
        [Ok(changes(1, True, a=b"1", b=b"1")), Ok(changes(9, True, b=b"9"))],
        [Err(HistoryLostError())],
    )
    mirror, _, seen = await follow(feed)
    assert {key: row.value for key, row in mirror.rows.items()} == {"b": b"9"}
    assert StoredRow("a", 9, None) in seen


async def test_a_daemon_that_the_store_refuses_catches_up_from_a_peer():
    feed = ScriptedFeed([Ok(changes(1, True, a=b"1"))])
    mirror, follower, _ = await follow(feed, peer=changes(5, a=b"5"))
    assert mirror.rows["a"].value == b"5"
    assert not follower.store_reachable


async def test_a_peer_with_an_older_version_changes_nothing():
    feed = ScriptedFeed([Ok(changes(7, True, a=b"7"))])
    mirror, _, _ = await follow(feed, peer=changes(5, a=b"5"))
    assert mirror.rows["a"].value == b"7"


async def test_a_recovery_of_the_store_is_recorded_if_rows_may_have_expired():
    reads = [Ok(changes(1, True, a=b"1"))]
    feed = ScriptedFeed(reads, [*[DOWN] * 6, Ok(changes(2)), Ok(changes(3))])
    _, follower, _ = await follow(feed, for_s=6.0)
    assert 3.0 < follower.store_recovered_at < 6.0


async def test_the_end_of_a_short_outage_is_not_recorded_as_a_recovery():
    reads = [Ok(changes(1, True, a=b"1"))]
    feed = ScriptedFeed(reads, [DOWN, Ok(changes(2)), Ok(changes(3))])
    _, follower, _ = await follow(feed, for_s=0.5)
    assert follower.store_recovered_at == -math.inf


async def test_an_outage_for_one_daemon_only_is_not_recorded_as_a_recovery():
    """Rows deleted at that time stay deleted: they did not expire in an outage."""
    reads = [Ok(changes(1, True, a=b"1"))]
    feed = ScriptedFeed(reads, [*[DOWN] * 8, Ok(changes(2, a=None))])
    peers = FakePeers(any_peer=changes(1), any_peer_age_s=1.2)
    mirror, follower, _ = await follow(feed, peers=peers, for_s=9.0)
    assert mirror.rows == {}
    assert follower.store_recovered_at == -math.inf


@given(st.permutations([changes(n, a=b"%d" % n) for n in range(1, 6)]))
def test_a_mirror_never_returns_to_an_older_version(order):
    mirror = TableMirror("t")
    newest = 0
    for item in order:
        mirror.apply(item)
        newest = max(newest, item.version)
        assert mirror.version == newest
        assert mirror.rows["a"].value == b"%d" % newest


def test_deletions_reach_peers():
    mirror = TableMirror("t")
    mirror.apply(changes(1, True, a=b"1", b=b"1"))
    mirror.apply(changes(2, a=None))
    peer = TableMirror("t")
    peer.apply(changes(1, True, a=b"1", b=b"1"))
    peer.apply(mirror.changes_after(1))
    assert set(peer.rows) == {"b"}


def test_changes_survive_the_wire():
    sent = Changes(
        (StoredRow("a", 1, b"\xff\x00"), StoredRow("b", 2, None)), 2, complete=True
    )
    wire = changes_to_wire(sent, 0.5)
    assert changes_from_wire(wire) == PeerChanges(sent, 0.5)


async def test_a_daemon_that_is_no_reader_does_not_call_the_store():
    feed = ScriptedFeed([Ok(changes(1, True, a=b"1"))], [Ok(changes(9, a=b"9"))])
    reader = PeerChanges(changes(5, a=b"5"), age_s=1.0)
    peers = FakePeers(reader=reader, is_reader=False)
    mirror, follower, _ = await follow(feed, peers=peers)
    assert mirror.rows["a"].value == b"5"
    assert len(feed.feeds) == 1
    assert follower.store_reachable


async def test_a_stale_confirmation_of_a_reader_is_not_accepted():
    feed = ScriptedFeed([Ok(changes(1, True, a=b"1"))], [Ok(changes(9, a=b"9"))])
    reader = PeerChanges(changes(5, a=b"5"), age_s=1.6)
    peers = FakePeers(reader=reader, is_reader=False)
    mirror, _, _ = await follow(feed, peers=peers)
    assert mirror.rows["a"].value == b"9"


async def test_a_table_whose_feed_waits_long_is_relayed_too():
    """Readers confirm such a table only as often as their feed calls return."""
    feed = ScriptedFeed([Ok(changes(1, True, a=b"1"))], [Ok(changes(9, a=b"9"))])
    reader = PeerChanges(changes(5, a=b"5"), age_s=7.9)
    peers = FakePeers(reader=reader, is_reader=False)
    mirror, _, _ = await follow(feed, peers=peers, wait_s=8.0)
    assert mirror.rows["a"].value == b"5"
    assert len(feed.feeds) == 1


def test_the_deletion_of_a_row_that_lived_long_is_dropped_before_older_ones():
    """A peer that had not seen it kept the row, and sent to that replica for good."""
    mirror = TableMirror("servers")
    mirror.apply(Changes((StoredRow("old", 1, b"x"),), 1, complete=True))
    version = 1
    for number in range(TOMBSTONES_MAX + 100):
        for value in (b"x", None):
            version += 1
            row = StoredRow(f"k{number}", version, value)
            mirror.apply(Changes((row,), version, complete=False))
    behind = version
    deletion = StoredRow("old", version + 1, None)
    mirror.apply(Changes((deletion,), version + 1, complete=False))
    assert mirror.changes_after(behind).rows == (deletion,)


def test_a_peer_that_lacks_a_dropped_deletion_keeps_its_row():
    """It gets all rows that exist in place of the changes since its copy."""
    mirror, peer = TableMirror("servers"), TableMirror("servers")
    rows = tuple(
        StoredRow(f"k{number}", 1, b"x") for number in range(2 * TOMBSTONES_MAX)
    )
    for copy in (mirror, peer):
        copy.apply(Changes(rows, 1, complete=True))
    for number in range(2 * TOMBSTONES_MAX - 1):
        row = StoredRow(f"k{number}", 2 + number, None)
        mirror.apply(Changes((row,), 2 + number, complete=False))
    peer.apply(mirror.changes_after(peer.version))
    assert set(peer.rows) == {f"k{2 * TOMBSTONES_MAX - 1}"}
