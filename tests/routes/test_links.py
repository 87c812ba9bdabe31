"""How a VM finds out that it reaches no replica, and what that costs."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.carrying import CarrierPeers
from marjoramstile.routes.links import LinkMonitor, LinkState, ReplicaLinks
from marjoramstile.routes.replica_types import Replica, ReplicaState
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.utils import loop_time

CONNECT_TIMEOUT_S = 0.35
REPLICAS = 12


@dataclass
class Connections:
    """Connections of one VM; ``down`` replicas refuse, ``silent`` ones time out."""

    down: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    tries: list[float] = field(default_factory=list)

    async def accepts_connections(self, replica) -> bool:
        """Return whether a replica accepts a connection."""
        self.tries.append(loop_time())
        if replica.id in self.silent:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return False
        await asyncio.sleep(0.001)
        return replica.id not in self.down


class Watched:
    """The links of one VM and what watches them."""

    def __init__(self, count: int = REPLICAS):
        self.links = ReplicaLinks()
        self.connections = Connections()
        self.regained = 0
        directory = ReplicaDirectory()
        self.names = [f"r{number}" for number in range(count)]
        for name in self.names:
            directory.put(Replica(name, "s", "h", 1, "a", 6, ReplicaState.READY, 1))
        self.monitor = LinkMonitor(
            self.links,
            directory,
            self.connections,
            random.Random(1),
            self._count_regained,
        )
        self.task = asyncio.create_task(self.monitor.run())

    def _count_regained(self) -> None:
        self.regained += 1

    async def fail(self, seconds: float) -> None:
        """Let a connection fail every 0.1 s."""
        for _ in range(round(seconds / 0.1)):
            self.links.record_failure()
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("kind", ["down", "silent"])
async def test_lost_links_are_found_late(kind):
    watched = Watched()
    setattr(watched.connections, kind, set(watched.names))
    watched.links.record_failure()
    assert not await watched.links.hold()
    assert loop_time() <= CONNECT_TIMEOUT_S + 0.01
    assert watched.links.state(loop_time()) == LinkState.LOST
    watched.task.cancel()


async def test_some_replicas_that_crash_are_taken_for_lost_links():
    """A fifth of them at once, while connections to them go on failing."""
    watched = Watched()
    watched.connections.down = {"r0", "r1"}
    for _ in range(50):
        await watched.fail(0.1)
        assert not watched.links.lost
    assert await watched.links.hold()
    assert len(watched.connections.tries) <= 3 * (round(5.0 / 0.3) + 1)
    watched.task.cancel()


async def test_a_failure_is_judged_late_though_another_replica_was_just_reached():
    """Calls wait for the verdict after their first failed connection."""
    watched = Watched()
    watched.connections.down = {"r0"}
    for _ in range(20):
        watched.links.record_failure()
        started = loop_time()
        assert await watched.links.hold()
        assert loop_time() - started <= 0.01
        await asyncio.sleep(0.04)
    watched.task.cancel()


async def test_a_vm_that_reaches_some_replicas_is_taken_for_cut_off_for_long():
    watched = Watched()
    watched.connections.silent = set(watched.names[2:])
    await watched.fail(10.0)
    lost = 0.0
    for _ in range(100):
        await watched.fail(0.1)
        lost += 0.1 * watched.links.lost
    assert lost < 9.0
    watched.task.cancel()


async def test_links_that_stay_lost_cost_many_connections():
    watched = Watched()
    watched.connections.silent = set(watched.names)
    await watched.fail(1.0)
    before = len(watched.connections.tries)
    await watched.fail(10.0)
    assert len(watched.connections.tries) - before <= 10.0 / 0.3 + 1
    watched.task.cancel()


async def test_links_that_hold_cost_connections():
    watched = Watched()
    await asyncio.sleep(60.0)
    assert watched.connections.tries == []
    watched.task.cancel()


@pytest.mark.parametrize("flaps", [1, 5])
async def test_links_are_found_again_late_after_the_heal(flaps):
    watched = Watched()
    for _ in range(flaps):
        watched.connections.silent = set(watched.names)
        await watched.fail(1.0)
        assert watched.links.lost
        watched.connections.silent = set()
        await asyncio.sleep(1.0)
        assert not watched.links.lost
    assert watched.regained == flaps
    watched.task.cancel()


def peers_of(count: int) -> CarrierPeers:
    """Return what a daemon knows of others that serve."""
    listed = [
        ListedVM(f"vm-{n}", "h", "a", "r", ListedState.LIVE) for n in range(count)
    ]
    view = View(listed[0], "i")
    view.merge_list(listed, 0.0)
    for vm in listed[1:]:
        view.merge_report(Report(vm.name, f"i-{vm.name}", 0, PeerState.ALIVE), 0.0)
    entries = {vm.name: NodeEntry("h", f"{vm.name}:80", "a", "r", "i") for vm in listed}
    return CarrierPeers(view, lambda: entries, ReplicaLinks(), random.Random(1))


@pytest.mark.parametrize("count", [7, 58, 195, 400])
async def test_requests_go_to_vms_that_are_cut_off_too(count):
    """Five probes a second are heard; most VMs of all zones are cut."""
    peers = peers_of(count)
    rng = random.Random(2)
    reach = {f"vm-{n}" for n in range(1, count) if n % 5 == 0}
    for _ in range(10):
        vm = f"vm-{rng.randrange(1, count)}"
        state = LinkState.HELD if vm in reach else LinkState.LOST
        peers.handle_state(vm, int(state))
        await asyncio.sleep(0.2)
    if any(vm in peers._heard for vm in reach):
        assert peers.candidates()[0].vm in reach
    lost = {vm for vm, (state, _) in peers._heard.items() if state == LinkState.LOST}
    assert not lost & {carrier.vm for carrier in peers.candidates()}


async def test_a_vm_whose_state_is_old_or_unknown_is_not_asked():
    peers = peers_of(4)
    peers.handle_state("vm-1", int(LinkState.LOST))
    peers.handle_state("vm-2", 77)
    assert {item.vm for item in peers.candidates()} == {"vm-2", "vm-3"}
    await asyncio.sleep(4.0)
    assert {item.vm for item in peers.candidates()} == {"vm-1", "vm-2", "vm-3"}
