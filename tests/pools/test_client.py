"""Many daemons and their schedulers on the paused clock: losses, silence, takeovers."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.peers.pool_datagrams import decode_message, encode_message
from marjoramstile.pools.client import HeldLease, PoolClient
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.messages import LeaseOutcome, PlacementGrant, PlacementRefusal
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.utils import TaskGroupOwner, loop_time
from tests.pools.support import ENGINE, SERVICE, replica, request

DELAY_S = 0.002


@dataclass
class Network:
    """Carries datagrams between daemons; some are lost or doubled."""

    rng: random.Random = field(default_factory=lambda: random.Random(7))
    loss: float = 0.0
    double: float = 0.0
    dead: set[str] = field(default_factory=set)
    cut: set[frozenset[str]] = field(default_factory=set)
    daemons: dict = field(default_factory=dict)
    sent: int = 0

    def carry(self, sender: str, receiver: str, message) -> None:
        """Deliver a message after a while, unless it is lost."""
        self.sent += 1
        data = encode_message(message)
        assert len(data) < 1400
        copies = 2 if self.rng.random() < self.double else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                asyncio.get_running_loop().call_later(
                    DELAY_S, self._arrive, sender, receiver, data
                )

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        is_cut = frozenset({sender, receiver}) in self.cut
        if not is_cut and not {sender, receiver} & self.dead:
            self.daemons[receiver].handle_message(sender, decode_message(data))


class Daemon:
    """One daemon's client and schedulers."""

    def __init__(self, network: Network, number: int, count: int):
        self.vm = f"vm-{number}"
        self.network = network
        network.daemons[self.vm] = self
        vms = [
            ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
            for n in range(count)
        ]
        self.view = View(vms[number], f"{number}-incarnation")
        self.view.merge_list(vms, 0.0)
        directory = ReplicaDirectory()
        for n in range(2):
            directory.put(replica(f"e{n}", Stage.PREFILL))
        for n in range(3):
            directory.put(replica(f"d{n}", Stage.DECODE))
        shards = PoolShards(directory)
        self.selector = SchedulerSelector(self.view)
        self.host = SchedulerHost(
            shards,
            lambda service: ENGINE if service == SERVICE else None,
            Balancer("a", random.Random(1)),
            random.Random(2),
        )
        self.tasks = TaskGroupOwner()
        self.client = PoolClient(
            self.view.own,
            self.selector,
            shards,
            self.host,
            self,
            self.tasks,
            random.Random(3),
        )

    def send(self, peer, message) -> None:
        """Send a datagram."""
        self.network.carry(self.vm, peer.vm.name, message)

    def handle_message(self, sender: str, message) -> None:
        """Take a datagram."""

        def reply(answer):
            self.network.carry(self.vm, sender, answer)

        if type(message).__name__ in (
            "PlacementGrant",
            "PlacementQueued",
            "PlacementRefusal",
        ):
            self.client.handle_answer(message, reply)
        else:
            self.host.handle_message(message, reply)

    @property
    def granted(self) -> int:
        """Leases that this daemon has granted, without those that lapsed."""
        scheduler = self.host.scheduler(SERVICE, 0)
        scheduler.process_queue(loop_time())
        return len(scheduler.leases)


def fleet(count: int, **changes) -> tuple[Network, list[Daemon]]:
    """Return daemons on one network."""
    network = Network(**changes)
    return network, [Daemon(network, number, count) for number in range(count)]


def scheduler_of(daemons: list[Daemon]) -> Daemon:
    """Return the daemon that schedules for all."""
    first = daemons[0].selector.ranked(SERVICE, 0)[0]
    return next(daemon for daemon in daemons if daemon.vm == first)


def asked(daemon: Daemon, name: str = "", **changes):
    """Return a request for a place by one of the daemon's callers."""
    return request(
        daemon.client.new_id(), content=name or daemon.client.new_id(), **changes
    )


async def test_all_daemons_get_their_places_from_one_scheduler():
    _, daemons = fleet(9)
    leases = [await daemon.client.ask(asked(daemon)) for daemon in daemons]
    assert all(isinstance(lease, HeldLease) for lease in leases)
    assert scheduler_of(daemons).granted == 9
    assert sum(daemon.granted for daemon in daemons) == 9


@pytest.mark.parametrize(("loss", "double"), [(0.2, 0.0), (0.0, 0.5), (0.2, 0.5)])
async def test_lost_and_doubled_messages_place_nothing_twice(loss, double):
    network, daemons = fleet(9, loss=loss, double=double)
    answers = await asyncio.gather(
        *(daemon.client.ask(asked(daemon)) for daemon in daemons for _ in range(2))
    )
    assert len(answers) == 18
    network.loss = 0.0
    leases = [item for item in answers if isinstance(item, HeldLease)]
    owners = {id(lease): daemon for daemon in daemons for lease in leases}
    for daemon in daemons:
        for lease in list(daemon.client._leases.values()):
            daemon.client.end(lease, LeaseOutcome.FINISHED)
    assert owners
    await asyncio.sleep(4.0)
    assert sum(daemon.granted for daemon in daemons) == 0


async def test_a_dead_scheduler_is_followed_by_the_next():
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    network.dead.add(first.vm)
    other = next(daemon for daemon in daemons if daemon is not first)
    began = asyncio.get_running_loop().time()
    lease = await other.client.ask(asked(other))
    assert isinstance(lease, HeldLease)
    assert asyncio.get_running_loop().time() - began < 0.2
    began = asyncio.get_running_loop().time()
    assert isinstance(await other.client.ask(asked(other)), HeldLease)
    assert asyncio.get_running_loop().time() - began < 0.05


async def test_without_any_other_daemon_each_schedules_itself():
    network, daemons = fleet(5)
    own = daemons[0]
    network.dead.update(daemon.vm for daemon in daemons[1:])
    lease = await own.client.ask(asked(own))
    assert isinstance(lease, HeldLease)
    assert own.granted == 1


async def test_the_next_scheduler_learns_what_runs_within_a_second():
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    others = [daemon for daemon in daemons if daemon is not first]
    leases = [await daemon.client.ask(asked(daemon)) for daemon in others]
    network.dead.add(first.vm)
    for daemon in others:
        daemon.view.merge_report(Report(first.vm, "i", 1, PeerState.DEAD), 1.0)
    await asyncio.sleep(1.2)
    second = scheduler_of(others)
    assert second.granted == len(leases)


async def take_all(daemons: list[Daemon]) -> int:
    """Ask until the pool is full; return the leases that were granted."""
    for granted in range(200):
        daemon = daemons[granted % len(daemons)]
        lease = await daemon.client.ask(asked(daemon))
        if isinstance(lease, PlacementRefusal):
            return granted
        await asyncio.sleep(0.06)
    raise AssertionError("the pool never fills")


async def test_a_daemon_that_finds_the_scheduler_silent_gives_away_nothing_twice():
    """Load: a full pool, of which the next scheduler has granted nothing."""
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    ranked = daemons[0].selector.ranked(SERVICE, 0)
    *others, lone = [daemon for daemon in daemons if daemon.vm not in ranked]
    assert await take_all(others) > 10
    await asyncio.sleep(1.2)
    network.cut = {frozenset({lone.vm, first.vm})}
    for _ in range(3):
        assert isinstance(await lone.client.ask(asked(lone)), PlacementRefusal)


async def test_schedulers_that_take_turns_all_know_the_leases():
    """Load: daemons that find now one scheduler silent and now another."""
    network, daemons = fleet(9)
    ranked = daemons[0].selector.ranked(SERVICE, 0)
    others = [daemon for daemon in daemons if daemon.vm not in ranked]
    leases = {}
    for turn in range(6):
        silent = ranked[turn % 2]
        network.cut = {frozenset({daemon.vm, silent}) for daemon in others[::2]}
        for daemon in others:
            leases[daemon.vm, turn] = await daemon.client.ask(asked(daemon))
        network.cut = set()
        await asyncio.sleep(1.2)
    held = sum(isinstance(lease, HeldLease) for lease in leases.values())
    assert held > 20
    first_two = [daemon for daemon in daemons if daemon.vm in ranked[:2]]
    assert [daemon.granted for daemon in first_two] == [held, held]
    for daemon in others:
        for lease in list(daemon.client._leases.values()):
            daemon.client.end(lease, LeaseOutcome.FINISHED)
    await asyncio.sleep(0.1)
    assert [daemon.granted for daemon in daemons] == [0] * 9


async def test_a_scheduler_that_stood_still_costs_no_second_lease():
    """Its late grant is given back by the daemon that went elsewhere meanwhile."""
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    other = next(daemon for daemon in daemons if daemon is not first)
    taken = first.handle_message
    held = []
    first.handle_message = lambda sender, message: held.append((sender, message))
    lease = await other.client.ask(asked(other))
    assert isinstance(lease, HeldLease)
    first.handle_message = taken
    for sender, message in held:
        first.handle_message(sender, message)
    assert first.granted == 1
    await asyncio.sleep(0.1)
    assert first.granted == 0


async def test_a_caller_who_leaves_the_queue_leaves_nothing_behind():
    _, daemons = fleet(9)
    first = scheduler_of(daemons)
    other = next(daemon for daemon in daemons if daemon is not first)
    for _ in range(40):
        waiting = asyncio.create_task(other.client.ask(asked(other)))
        await asyncio.sleep(0.004)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
    await asyncio.sleep(0.1)
    queued = first.host.scheduler(SERVICE, 0).queued
    assert queued == 0
    assert first.granted == other.client.leases


async def test_a_refusal_comes_with_a_time_and_within_milliseconds():
    _, daemons = fleet(9)
    refused = []
    began = asyncio.get_running_loop().time()
    for number in range(60):
        daemon = daemons[number % 9]
        task = asyncio.create_task(daemon.client.ask(asked(daemon)))
        await asyncio.sleep(0.01)
        if task.done() and isinstance(task.result(), PlacementRefusal):
            refused.append(task.result())
    assert asyncio.get_running_loop().time() - began < 1.0
    assert refused
    assert all(item.retry_after_s >= 1.0 for item in refused)


async def test_an_idle_daemon_sends_nothing():
    network, daemons = fleet(9)
    await asyncio.sleep(5.0)
    assert network.sent == 0
    lease = await daemons[0].client.ask(asked(daemons[0]))
    daemons[0].client.end(lease, LeaseOutcome.FINISHED)
    await asyncio.sleep(2.0)
    sent = network.sent
    await asyncio.sleep(30.0)
    assert network.sent == sent


async def test_a_grant_that_nobody_awaits_is_given_back():
    _, daemons = fleet(2)
    cancelled = []
    grant = PlacementGrant("unknown", SERVICE, 0, "d0", None, 1)
    daemons[0].client.handle_answer(grant, cancelled.append)
    assert [message.id for message in cancelled] == ["unknown"]
