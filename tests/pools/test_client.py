"""Clients and schedulers of many daemons: lost messages, partitions and failover.

They run on the virtual clock.
"""

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
from marjoramstile.utils import BackgroundTasks, loop_time
from tests.pools.support import ENGINE, SERVICE, replica, request

DELAY_S = 0.002


@dataclass
class Network:
    """Carries datagrams between daemons; some are lost or duplicated."""

    rng: random.Random = field(default_factory=lambda: random.Random(7))
    loss: float = 0.0
    duplication: float = 0.0
    dead: set[str] = field(default_factory=set)
    partitions: set[frozenset[str]] = field(default_factory=set)
    daemons: dict = field(default_factory=dict)
    sent: int = 0

    def transmit(self, sender: str, receiver: str, message) -> None:
        """Deliver a message after a delay, unless it is lost."""
        self.sent += 1
        data = encode_message(message)
        assert len(data) < 1400
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                asyncio.get_running_loop().call_later(
                    DELAY_S, self._deliver, sender, receiver, data
                )

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        is_partitioned = frozenset({sender, receiver}) in self.partitions
        if not is_partitioned and not {sender, receiver} & self.dead:
            self.daemons[receiver].handle_message(sender, decode_message(data))


class Daemon:
    """The client and the schedulers of one daemon."""

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
        self.tasks = BackgroundTasks()
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
        self.network.transmit(self.vm, peer.vm.name, message)

    def handle_message(self, sender: str, message) -> None:
        """Handle a datagram."""

        def reply(answer):
            self.network.transmit(self.vm, sender, answer)

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
        """Number of leases that this daemon's scheduler counts."""
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


def new_request(daemon: Daemon, name: str = "", **changes):
    """Return a placement request of a daemon."""
    return request(
        daemon.client.new_id(), content=name or daemon.client.new_id(), **changes
    )


async def test_one_scheduler_grants_the_leases_of_all_daemons():
    _, daemons = fleet(9)
    leases = [await daemon.client.ask(new_request(daemon)) for daemon in daemons]
    assert all(isinstance(lease, HeldLease) for lease in leases)
    assert scheduler_of(daemons).granted == 9
    assert sum(daemon.granted for daemon in daemons) == 9


@pytest.mark.parametrize(("loss", "duplication"), [(0.2, 0.0), (0.0, 0.5), (0.2, 0.5)])
async def test_lost_and_duplicated_messages_leave_no_lease_behind(loss, duplication):
    network, daemons = fleet(9, loss=loss, duplication=duplication)
    answers = await asyncio.gather(
        *(
            daemon.client.ask(new_request(daemon))
            for daemon in daemons
            for _ in range(2)
        )
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


async def test_the_next_scheduler_is_asked_when_the_first_is_dead():
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    network.dead.add(first.vm)
    other = next(daemon for daemon in daemons if daemon is not first)
    began = asyncio.get_running_loop().time()
    lease = await other.client.ask(new_request(other))
    assert isinstance(lease, HeldLease)
    assert asyncio.get_running_loop().time() - began < 0.2
    began = asyncio.get_running_loop().time()
    assert isinstance(await other.client.ask(new_request(other)), HeldLease)
    assert asyncio.get_running_loop().time() - began < 0.05


async def test_a_daemon_schedules_itself_when_no_other_answers():
    network, daemons = fleet(5)
    own = daemons[0]
    network.dead.update(daemon.vm for daemon in daemons[1:])
    lease = await own.client.ask(new_request(own))
    assert isinstance(lease, HeldLease)
    assert own.granted == 1


async def test_the_next_scheduler_knows_all_leases_within_a_second():
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    others = [daemon for daemon in daemons if daemon is not first]
    leases = [await daemon.client.ask(new_request(daemon)) for daemon in others]
    network.dead.add(first.vm)
    for daemon in others:
        daemon.view.merge_report(Report(first.vm, "i", 1, PeerState.DEAD), 1.0)
    await asyncio.sleep(1.2)
    second = scheduler_of(others)
    assert second.granted == len(leases)


async def fill_pool(daemons: list[Daemon]) -> int:
    """Request leases until the pool is full; return how many were granted."""
    for granted in range(200):
        daemon = daemons[granted % len(daemons)]
        lease = await daemon.client.ask(new_request(daemon))
        if isinstance(lease, PlacementRefusal):
            return granted
        await asyncio.sleep(0.06)
    raise AssertionError("the pool never becomes full")


async def test_a_second_scheduler_grants_no_memory_that_is_leased():
    """The pool is full, and the second scheduler has granted none of its leases.

    A daemon that is partitioned from the first scheduler asks the second one, which
    would grant leased memory again if it did not know the leases.
    """
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    ranked = daemons[0].selector.ranked(SERVICE, 0)
    *others, partitioned = [daemon for daemon in daemons if daemon.vm not in ranked]
    assert await fill_pool(others) > 10
    await asyncio.sleep(1.2)
    network.partitions = {frozenset({partitioned.vm, first.vm})}
    for _ in range(3):
        assert isinstance(
            await partitioned.client.ask(new_request(partitioned)), PlacementRefusal
        )


async def test_alternating_schedulers_both_know_all_leases():
    """Half of the daemons get no answer from the first or the second scheduler in turn.

    Leases that only one scheduler knows would be granted again by the other.
    """
    network, daemons = fleet(9)
    ranked = daemons[0].selector.ranked(SERVICE, 0)
    others = [daemon for daemon in daemons if daemon.vm not in ranked]
    leases = {}
    for turn in range(6):
        silent = ranked[turn % 2]
        network.partitions = {frozenset({daemon.vm, silent}) for daemon in others[::2]}
        for daemon in others:
            leases[daemon.vm, turn] = await daemon.client.ask(new_request(daemon))
        network.partitions = set()
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


async def test_a_late_grant_of_a_stalled_scheduler_is_released():
    """The daemon has a lease of another scheduler by then and must not hold two."""
    network, daemons = fleet(9)
    first = scheduler_of(daemons)
    other = next(daemon for daemon in daemons if daemon is not first)
    handle = first.handle_message
    delayed = []
    first.handle_message = lambda sender, message: delayed.append((sender, message))
    lease = await other.client.ask(new_request(other))
    assert isinstance(lease, HeldLease)
    first.handle_message = handle
    for sender, message in delayed:
        first.handle_message(sender, message)
    assert first.granted == 1
    await asyncio.sleep(0.1)
    assert first.granted == 0


async def test_a_cancelled_request_leaves_no_queue_entry_or_lease():
    _, daemons = fleet(9)
    first = scheduler_of(daemons)
    other = next(daemon for daemon in daemons if daemon is not first)
    for _ in range(40):
        waiting = asyncio.create_task(other.client.ask(new_request(other)))
        await asyncio.sleep(0.004)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
    await asyncio.sleep(0.1)
    queued = first.host.scheduler(SERVICE, 0).queued
    assert queued == 0
    assert first.granted == other.client.leases


async def test_a_refusal_is_immediate_and_has_a_retry_time():
    _, daemons = fleet(9)
    refused = []
    began = asyncio.get_running_loop().time()
    for number in range(60):
        daemon = daemons[number % 9]
        task = asyncio.create_task(daemon.client.ask(new_request(daemon)))
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
    lease = await daemons[0].client.ask(new_request(daemons[0]))
    daemons[0].client.end(lease, LeaseOutcome.FINISHED)
    await asyncio.sleep(2.0)
    sent = network.sent
    await asyncio.sleep(30.0)
    assert network.sent == sent


async def test_a_grant_that_no_request_waits_for_is_released():
    _, daemons = fleet(2)
    cancelled = []
    grant = PlacementGrant("unknown", SERVICE, 0, "d0", None, 1)
    daemons[0].client.handle_answer(grant, cancelled.append)
    assert [message.id for message in cancelled] == ["unknown"]


async def test_the_speeds_of_replicas_reach_only_the_scheduler_that_is_next():
    """Else its first choices after a failover would be those of an even pool."""
    network, daemons = fleet(5)
    first = scheduler_of(daemons)
    second, third = (
        network.daemons[vm] for vm in first.selector.ranked(SERVICE, 0)[1:]
    )
    for daemon in daemons:
        daemon.client.share_speeds(SERVICE)
    assert network.sent == 0
    speeds = first.host.scheduler(SERVICE, 0).speeds
    for _ in range(20):
        for name, ratio in (("d0", 2.0), ("d1", 0.9), ("d2", 0.9)):
            speeds.observe(name, 1, Stage.DECODE, ratio, loop_time())
    for daemon in daemons:
        daemon.client.share_speeds(SERVICE)
    assert network.sent == 1
    await asyncio.sleep(2 * DELAY_S)
    slow = replica("d0", Stage.DECODE)
    factor = first.host.speed(slow, Stage.DECODE)
    assert factor < 0.8
    assert second.host.speed(slow, Stage.DECODE) == pytest.approx(factor, abs=0.01)
    assert third.host.speed(slow, Stage.DECODE) is None
