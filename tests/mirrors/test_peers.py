"""Readers of the store, and the requests of other daemons to them."""

import asyncio
import random

import pytest
from result import Ok

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.mirrors.mirror import PeerChanges, TableMirror
from marjoramstile.mirrors.peers import PeerChangeSource
from marjoramstile.peers.membership_messages import changes_from_wire
from marjoramstile.peers.peer_types import WireTableVersion
from marjoramstile.peers.router_handler import RELAYED_MAX_BYTES, RouterPeerHandler
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.utils import BackgroundTasks
from tests.mirrors.test_mirrors import DOWN, ScriptedFeed, changes

TABLES = ("configuration", "replicas", "nodes", "orders")


class Reader:
    """Answers for all readers, with the age that a test sets."""

    def __init__(self, age_s: float = 0.5, withheld: bool = False):
        self.age_s = age_s
        self.withheld = withheld
        self.requests: list[dict[str, int]] = []

    async def changes(self, peer, versions, whole):
        """Answer a request for several tables."""
        self.requests.append(dict(versions))
        await asyncio.sleep(0.004)
        return {
            table: PeerChanges(changes(after), self.age_s, self.withheld)
            for table, after in versions.items()
        }


class CountingFeed(ScriptedFeed):
    """A store that is down after the first read of each table; counts feed calls."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.tables_read: set[str] = set()

    async def read_table(self, table):
        """Answer the first read of a table."""
        if table in self.tables_read:
            return DOWN
        self.tables_read.add(table)
        return Ok(changes(1, True, a=b"1"))

    async def wait_for_changes(self, table, after, wait_s):
        """Count a call and fail it."""
        self.calls += 1
        return DOWN


def peers_of_non_reader(reader: Reader, count: int) -> PeerChangeSource:
    """Return the peers of a daemon that is no reader."""
    vms = [
        ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
        for n in range(count)
    ]
    for own in vms:
        view = View(own, f"i-{own.name}")
        view.merge_list(vms, 0.0)
        for vm in vms:
            view.merge_report(Report(vm.name, f"i-{vm.name}", 0, PeerState.ALIVE), 0.0)
        peers = PeerChangeSource(view, reader, BackgroundTasks(), random.Random(1))
        if not peers.reads_store():
            return peers
    raise AssertionError("all are readers")


async def follow_all(reader: Reader, feed: ScriptedFeed, seconds: float) -> None:
    """Follow four tables for a while, as a daemon does."""
    peers = peers_of_non_reader(reader, 60)
    tasks = [
        asyncio.create_task(
            MirrorFollower(
                feed,
                TableMirror(table),
                peers,
                1.2 if number < 2 else 8.0,
                0.0,
                0.35 if number < 2 else 1.0,
                random.Random(number),
                deferrable=number >= 2,
            ).run()
        )
        for number, table in enumerate(TABLES)
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()


async def test_requests_for_all_tables_are_batched():
    reader = Reader()
    feed = CountingFeed()
    await follow_all(reader, feed, 20.0)
    assert len(reader.requests) <= 20.0 / 0.4 + 2
    asked = {table for request in reader.requests for table in request}
    assert asked == set(TABLES)
    assert sum("nodes" in request for request in reader.requests) >= 12
    assert feed.calls == 0


@pytest.mark.parametrize("outage_s", [9.0, 30.0])
async def test_calls_to_the_store_are_limited_during_an_outage(outage_s):
    """The readers' last confirmations are older than the wait of their feed calls."""
    feed = CountingFeed()
    await follow_all(Reader(age_s=20.0), feed, outage_s)
    assert 4 <= feed.calls <= 4 * (5 + outage_s / 3.0)


async def test_a_daemon_calls_the_store_soon_if_it_refuses_the_readers():
    feed = CountingFeed()
    await follow_all(Reader(age_s=20.0), feed, 1.0)
    assert feed.calls >= 2


async def test_a_starting_fleet_has_few_readers_before_any_probe():
    """All daemons know the same rows, but no incarnation of another daemon."""
    vms = [
        ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
        for n in range(195)
    ]
    readers = 0
    for own in vms:
        view = View(own, f"i-{own.name}")
        view.merge_list(vms, 0.0)
        peers = PeerChangeSource(view, Reader(), BackgroundTasks(), random.Random(1))
        readers += peers.reads_store()
    assert readers == 13


async def test_long_rows_are_read_from_the_store_at_once():
    """A reader's link can't carry a large configuration to all that poll it."""
    feed = CountingFeed()
    await follow_all(Reader(withheld=True), feed, 0.3)
    assert feed.calls >= 2


class SilentReader(Reader):
    """Readers whose connections stay open without an answer."""

    async def changes(self, peer, versions, whole):
        """Return None after the timeout of a call."""
        await asyncio.sleep(0.5)
        return


async def test_the_store_is_called_after_one_reader_does_not_answer():
    """The bound for a configuration to be in force leaves no time to try others."""
    feed = CountingFeed()
    await follow_all(SilentReader(), feed, 0.7)
    assert feed.calls >= 2


@pytest.mark.parametrize(
    ("size", "whole", "withheld"),
    [
        (RELAYED_MAX_BYTES, False, False),
        (RELAYED_MAX_BYTES + 1, False, True),
        (RELAYED_MAX_BYTES + 1, True, False),
    ],
)
async def test_a_reader_withholds_long_rows_unless_the_store_is_unavailable(
    size, whole, withheld
):
    mirror = TableMirror("t")
    mirror.apply(changes(7, True, a=b"x" * size))
    follower = MirrorFollower(None, mirror, None, 1.2, 0.0, 0.35, random.Random(1))
    handler = RouterPeerHandler(None, {"t": follower}, None)
    (wire,) = await handler.changes([WireTableVersion(table="t", after=3)], whole)
    received = changes_from_wire(wire)
    assert received.withheld == withheld
    assert len(received.changes.rows) == (not withheld)
    assert received.changes.version == (3 if withheld else 7)
