"""Events that affect 195 daemons and their store together, on the virtual clock.

These are the start of a whole fleet, the failure and recovery of a data centre, a store
that refuses a third of the daemons, and a network partition between data centres. The
bounds are those of the users' large site: a configuration is in force within 4 s, and
the store serves 16,000 read calls a second in total.
"""

import asyncio
import random
from collections import Counter

import pytest_asyncio
from result import Err, Ok

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.mirrors.peers import PeerChangeSource
from marjoramstile.peers.membership_messages import (
    changes_from_wire,
    table_version_to_wire,
)
from marjoramstile.peers.router_handler import RouterPeerHandler
from marjoramstile.ports.feeds import (
    Changes,
    HistoryLostError,
    StoredRow,
    era_of,
    version_in_era,
)
from marjoramstile.ports.tables import StoreError
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes import node_mirrors
from marjoramstile.utils import BackgroundTasks, loop_time

DAEMONS = 195
DATA_CENTRES = 5
IN_FORCE_S = 4.0
STORE_DELAY_S = 0.004
PEER_DELAY_S = 0.004
UNREACHABLE_DELAY_S = 0.3
CONFIGURATION = "configuration"
TABLES = {
    CONFIGURATION: (node_mirrors.FEED_WAIT_S, 0.0, node_mirrors.RELAY_PAUSE_S),
    "replicas": (
        node_mirrors.FEED_WAIT_S,
        node_mirrors.REPLICAS_PAUSE_S,
        node_mirrors.RELAY_PAUSE_S,
    ),
    "nodes": (
        node_mirrors.QUIET_FEED_WAIT_S,
        node_mirrors.NODES_PAUSE_S,
        node_mirrors.QUIET_RELAY_PAUSE_S,
    ),
    "orders": (node_mirrors.QUIET_FEED_WAIT_S, 0.0, node_mirrors.QUIET_RELAY_PAUSE_S),
}
UNAVAILABLE = Err(StoreError("unavailable"))


class Store:
    """The platform's store; calls of the daemons in ``refused_vms`` fail."""

    def __init__(self):
        self.versions = dict.fromkeys(TABLES, 1)
        self.refused_vms: set[str] = set()
        self.calls: Counter[int] = Counter()
        self._changed = asyncio.Event()

    def change(self, table: str) -> None:
        """Write a row of a table."""
        self.versions[table] += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self) -> None:
        """Come back from an older copy, in a new era."""
        era = era_of(self.versions[CONFIGURATION]) + 1
        self.versions = dict.fromkeys(TABLES, version_in_era(era, 1))
        self._changed.set()
        self._changed = asyncio.Event()

    def changes(self, table: str, complete: bool) -> Changes:
        """Return a table's only row."""
        version = self.versions[table]
        return Changes((StoredRow("k", version, b"v"),), version, complete)

    def peak_calls_per_second(self, since: float) -> int:
        """Return the calls in the busiest second since then."""
        return max(
            (n for second, n in self.calls.items() if second >= since), default=0
        )


class StoreFeed:
    """The store's feed for one daemon; counts its calls."""

    def __init__(self, store: Store, vm: str):
        self._store = store
        self._vm = vm

    async def _call(self) -> bool:
        self._store.calls[int(loop_time())] += 1
        await asyncio.sleep(STORE_DELAY_S)
        return self._vm not in self._store.refused_vms

    async def read_table(self, table):
        """Return the whole table."""
        if not await self._call():
            return UNAVAILABLE
        return Ok(self._store.changes(table, complete=True))

    async def wait_for_changes(self, table, after, wait_s):
        """Return changes as soon as there are any."""
        if not await self._call():
            return UNAVAILABLE
        until = loop_time() + wait_s
        while self._store.versions[table] <= after:
            try:
                async with asyncio.timeout_at(until):
                    await self._store._changed.wait()
            except TimeoutError:
                break
        if era_of(self._store.versions[table]) > era_of(after):
            return Err(HistoryLostError())
        if self._store.versions[table] <= after:
            return Ok(Changes((), after, complete=False))
        return Ok(self._store.changes(table, complete=False))


class Daemon:
    """The followers of one daemon; it reaches peers through the fleet."""

    def __init__(self, fleet: "Fleet", vm: ListedVM):
        self.vm = vm
        self.fleet = fleet
        self.tasks = BackgroundTasks()
        self.view = View(vm, f"i-{vm.name}")
        self.view.merge_list(fleet.vms, 0.0)
        for other in fleet.vms:
            report = Report(other.name, f"i-{other.name}", 0, PeerState.ALIVE)
            self.view.merge_report(report, 0.0)
        rng = random.Random(vm.name)
        self.peers = PeerChangeSource(self.view, self, self.tasks, rng)
        feed = StoreFeed(fleet.store, vm.name)
        self.followers = {
            table: MirrorFollower(
                feed,
                TableMirror(table),
                self.peers,
                wait_s,
                pause_s,
                relay_pause_s,
                rng,
                deferrable=relay_pause_s > node_mirrors.RELAY_PAUSE_S,
            )
            for table, (wait_s, pause_s, relay_pause_s) in TABLES.items()
        }
        self.handler = RouterPeerHandler(None, self.followers, None)
        for follower in self.followers.values():
            self.tasks.start(follower.run(), "follow")

    @property
    def version(self) -> int:
        """Version of the configuration that this daemon has."""
        return self.followers[CONFIGURATION].mirror.version

    async def changes(self, peer, versions, whole):
        """Ask another daemon for changes, in place of a MembershipClient."""
        other = self.fleet.reach(self.vm, peer.vm)
        if other is None:
            await asyncio.sleep(UNREACHABLE_DELAY_S)
            return None
        await asyncio.sleep(PEER_DELAY_S)
        wanted = [table_version_to_wire(*item) for item in versions.items()]
        answers = await other.handler.changes(wanted, whole)
        return {
            table: changes_from_wire(item)
            for table, item in zip(versions, answers, strict=True)
        }


class Fleet:
    """Daemons in several data centres that share one store."""

    def __init__(self):
        self.store = Store()
        self.vms = [
            ListedVM(
                f"vm-{n}",
                f"10.0.0.{n}",
                f"dc-{n % DATA_CENTRES}",
                "r",
                ListedState.LIVE,
            )
            for n in range(DAEMONS)
        ]
        self.daemons: dict[str, Daemon] = {}
        self.partitioned = False

    def start(self, vms) -> None:
        """Start daemons, all at the same moment."""
        for vm in vms:
            self.daemons[vm.name] = Daemon(self, vm)

    async def kill(self, vms) -> None:
        """Stop daemons; the others' views don't change."""
        for vm in vms:
            await self.daemons.pop(vm.name).tasks.close()

    def reach(self, vm: ListedVM, other: ListedVM) -> Daemon | None:
        """Return the daemon on ``other``; None if ``vm`` can't reach it."""
        if self.partitioned and vm.data_centre != other.data_centre:
            return None
        return self.daemons.get(other.name)

    def vms_in(self, number: int) -> list[ListedVM]:
        """Return the VMs of a data centre."""
        return [vm for vm in self.vms if vm.data_centre == f"dc-{number}"]

    async def wait_until_in_force(self) -> float:
        """Wait until all have the newest configuration; return how long it took."""
        waiting_since = loop_time()
        while any(
            daemon.version < self.store.versions[CONFIGURATION]
            for daemon in self.daemons.values()
        ):
            await asyncio.sleep(0.02)
        return loop_time() - waiting_since

    async def change_and_time(self) -> float:
        """Change the configuration; return how long it takes to reach all."""
        self.store.change(CONFIGURATION)
        return await self.wait_until_in_force()


@pytest_asyncio.fixture
async def fleet():
    """A fleet in its steady state."""
    fleet = Fleet()
    fleet.start(fleet.vms)
    await asyncio.sleep(5.0)
    yield fleet
    await fleet.kill([vm for vm in fleet.vms if vm.name in fleet.daemons])


async def test_a_starting_fleet_reads_each_table_once_per_daemon():
    fleet = Fleet()
    fleet.start(fleet.vms)
    assert await fleet.wait_until_in_force() < 0.1
    await asyncio.sleep(1.0)
    assert sum(fleet.store.calls.values()) <= DAEMONS * (len(TABLES) + 1)
    await fleet.kill(fleet.vms)


async def test_only_readers_call_the_store_in_the_steady_state(fleet):
    started = loop_time()
    await asyncio.sleep(10.0)
    readers = sum(d.peers.reads_store() for d in fleet.daemons.values())
    assert readers == 13
    assert fleet.store.peak_calls_per_second(started) <= 4 * readers
    assert await fleet.change_and_time() < 1.0


async def test_daemons_that_the_store_refuses_follow_the_others(fleet):
    started = loop_time()
    fleet.store.refused_vms = {vm.name for vm in fleet.vms[::3]}
    assert await fleet.change_and_time() < IN_FORCE_S
    await asyncio.sleep(5.0)
    assert await fleet.change_and_time() < IN_FORCE_S
    assert fleet.store.peak_calls_per_second(started) <= 4 * DAEMONS
    fleet.store.refused_vms = set()
    await asyncio.sleep(5.0)
    returned = loop_time()
    await asyncio.sleep(5.0)
    assert fleet.store.peak_calls_per_second(returned) <= 4 * 13


async def test_a_data_centre_that_fails_and_recovers_delays_no_configuration(fleet):
    failed = fleet.vms_in(2)
    started = loop_time()
    await fleet.kill(failed)
    assert await fleet.change_and_time() < IN_FORCE_S
    await asyncio.sleep(3.0)
    fleet.start(failed)
    assert await fleet.change_and_time() < IN_FORCE_S
    assert fleet.store.peak_calls_per_second(started) <= 4 * DAEMONS


async def test_a_partition_of_data_centres_delays_no_configuration(fleet):
    """Most readers can't be reached: all daemons call the store instead."""
    started = loop_time()
    fleet.partitioned = True
    assert await fleet.change_and_time() < IN_FORCE_S
    await asyncio.sleep(6.0)
    assert await fleet.change_and_time() < IN_FORCE_S
    assert fleet.store.peak_calls_per_second(started) <= 8 * DAEMONS
    fleet.partitioned = False
    await asyncio.sleep(10.0)
    healed = loop_time()
    await asyncio.sleep(5.0)
    assert fleet.store.peak_calls_per_second(healed) <= 4 * 13


async def test_a_store_that_is_down_for_all_is_not_flooded(fleet):
    started = loop_time()
    fleet.store.refused_vms = {vm.name for vm in fleet.vms}
    await asyncio.sleep(9.0)
    assert fleet.store.peak_calls_per_second(started + 3) <= 4 * DAEMONS
    fleet.store.refused_vms = set()
    assert await fleet.change_and_time() < IN_FORCE_S


async def test_a_store_that_is_restored_is_read_by_the_readers(fleet):
    """All others take the new era from them, also a change right after it."""
    await fleet.change_and_time()
    before = sum(fleet.store.calls.values())
    fleet.store.restore()
    assert await fleet.wait_until_in_force() < 1.0
    assert await fleet.change_and_time() < 1.0
    await asyncio.sleep(1.0)
    calls = sum(fleet.store.calls.values()) - before
    assert calls <= 13 * len(TABLES) * 4
