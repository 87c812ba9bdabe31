"""Readers of the store and the questions of the others."""

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
from marjoramstile.utils import TaskGroupOwner
from tests.mirrors.test_mirrors import DOWN, ScriptedFeed, changes

TABLES = ("configuration", "replicas", "nodes", "orders")


class Reader:
    """Answers for all readers, with the age that a test sets."""

    def __init__(self, age_s: float = 0.5, withheld: bool = False):
        self.age_s = age_s
        self.withheld = withheld
        self.questions: list[dict[str, int]] = []

    async def changes(self, peer, versions, whole):
        """Answer a question for several tables."""
        self.questions.append(dict(versions))
        await asyncio.sleep(0.004)
        return {
            table: PeerChanges(changes(after), self.age_s, self.withheld)
            for table, after in versions.items()
        }


class CountingFeed(ScriptedFeed):
    """A store that is away after the first reading of each table."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.known: set[str] = set()

    async def read_table(self, table):
        """Answer the first reading."""
        if table in self.known:
            return DOWN
        self.known.add(table)
        return Ok(changes(1, True, a=b"1"))

    async def wait_for_changes(self, table, after, wait_s):
        """Count a call in vain."""
        self.calls += 1
        return DOWN


def peers_of(reader: Reader, count: int) -> PeerChangeSource:
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
        peers = PeerChangeSource(view, reader, TaskGroupOwner(), random.Random(1))
        if not peers.reads_store():
            return peers
    raise AssertionError("all are readers")


async def follow_all(reader: Reader, feed: ScriptedFeed, seconds: float) -> None:
    """Follow four tables as a daemon does."""
    peers = peers_of(reader, 60)
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


async def test_one_question_carries_all_tables():
    reader = Reader()
    feed = CountingFeed()
    await follow_all(reader, feed, 20.0)
    assert len(reader.questions) <= 20.0 / 0.4 + 2
    asked = {table for question in reader.questions for table in question}
    assert asked == set(TABLES)
    assert sum("nodes" in question for question in reader.questions) >= 12
    assert feed.calls == 0


@pytest.mark.parametrize("outage_s", [9.0, 30.0])
async def test_an_outage_of_the_store_is_not_answered_by_calls_without_end(outage_s):
    """Readers have heard nothing for longer than their feeds wait."""
    feed = CountingFeed()
    await follow_all(Reader(age_s=20.0), feed, outage_s)
    assert 4 <= feed.calls <= 4 * (5 + outage_s / 3.0)


async def test_a_daemon_asks_the_store_soon_if_the_readers_are_turned_away():
    feed = CountingFeed()
    await follow_all(Reader(age_s=20.0), feed, 1.0)
    assert feed.calls >= 2


async def test_a_fleet_that_starts_has_few_readers_before_its_daemons_have_met():
    """All daemons know the rows; none has heard from another."""
    vms = [
        ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
        for n in range(195)
    ]
    readers = 0
    for own in vms:
        view = View(own, f"i-{own.name}")
        view.merge_list(vms, 0.0)
        peers = PeerChangeSource(view, Reader(), TaskGroupOwner(), random.Random(1))
        readers += peers.reads_store()
    assert readers == 13


async def test_long_rows_are_taken_from_the_store_at_once():
    """A reader's link can't carry a large configuration to all who ask it."""
    feed = CountingFeed()
    await follow_all(Reader(withheld=True), feed, 0.3)
    assert feed.calls >= 2


class SilentReader(Reader):
    """Readers whose connections have gone silent."""

    async def changes(self, peer, versions, whole):
        """Give no answer within the time of a question."""
        await asyncio.sleep(0.5)
        return


async def test_after_a_silent_reader_the_store_is_asked():
    """The bound on a configuration leaves no time to try others."""
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
async def test_a_reader_sends_no_long_rows_unless_the_store_is_away(
    size, whole, withheld
):
    mirror = TableMirror("t")
    mirror.apply(changes(7, True, a=b"x" * size))
    follower = MirrorFollower(None, mirror, None, 1.2, 0.0, 0.35, random.Random(1))
    handler = RouterPeerHandler(None, {"t": follower}, None)
    (wire,) = await handler.changes([WireTableVersion(table="t", after=3)], whole)
    heard = changes_from_wire(wire)
    assert heard.withheld == withheld
    assert len(heard.changes.rows) == (not withheld)
    assert heard.changes.version == (3 if withheld else 7)
