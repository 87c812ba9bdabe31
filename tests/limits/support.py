"""A fleet of daemons that share the limits of replicas, on the virtual clock."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from marjoramstile.limits.client import PermitClient
from marjoramstile.limits.coordinator import LimitCoordinator
from marjoramstile.limits.messages import PermitAnswer
from marjoramstile.membership.view import View
from marjoramstile.peers.pool_datagrams import decode_message, encode_message
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.replica_types import Replica, ReplicaState
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.utils import loop_time

DELAY_S = 0.002
ANSWER_S = 0.025
SERVICE = "ledger"
# The rule: from CONTACT_S after the first naming on, in each WINDOW_S.
CONTACT_S = 3.0
WINDOW_S = 4.0
# Requests that a daemon may send before it has been told, and a little longer.
TOLD_S = 0.5


def allowed(limit_per_s: float) -> float:
    """Return the requests that the rule allows in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_in_a_window(times: list[float]) -> int:
    """Return the most of some times that lie within one window."""
    return max(
        (sum(0 <= at - first <= WINDOW_S for at in times) for first in times),
        default=0,
    )


@dataclass
class LimitedReplicaModel:
    """A replica that names a limit and doesn't enforce it; records arrivals."""

    limit_per_s: float | None
    replica: Replica = Replica(
        "p0", SERVICE, "10.1.0.1", 80, "a", 6, ReplicaState.READY, 1
    )
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    told_at: dict[str, float] = field(default_factory=dict)

    def counted(self, since: float) -> list[float]:
        """Return the times of requests from daemons that had been told."""
        return [
            at
            for at, vm in self.arrivals
            if at >= since and at >= self.told_at.get(vm, at) + TOLD_S
        ]

    def sent(self, since: float) -> int:
        """Return how many requests have arrived since a loop time."""
        return sum(at >= since for at, _ in self.arrivals)

    def most_in_a_window(self, since: float, told_only: bool = True) -> int:
        """Return the most requests in a window from loop time ``since`` on."""
        times = self.counted(since)
        if not told_only:
            times = [at for at, _ in self.arrivals if at >= since]
        return most_in_a_window(times)


class LimitDaemon:
    """The coordinator and the permit client of one daemon."""

    def __init__(self, fleet: "LimitFleet", number: int, vms: list[ListedVM]):
        self.vm = vms[number].name
        self.vms = vms
        self.number = number
        self.fleet = fleet
        self.start()

    def start(self, known: bool = True) -> None:
        """Start, or start again without any state; ``known``: with the list of VMs."""
        self.view = View(self.vms[self.number], f"{self.vm}-{loop_time()}")
        if known:
            self.view.merge_list(self.vms, loop_time())
        directory = ReplicaDirectory()
        for model in self.fleet.models:
            directory.put(model.replica)
        shards = PoolShards(directory)
        selector = SchedulerSelector(self.view)
        rng = random.Random(self.number)
        count = len(self.vms) if known else None
        self.coordinator = LimitCoordinator(
            self.view, selector, shards, self, lambda: count, rng
        )
        self.metrics = Metrics()
        self.client = PermitClient(
            self.view.own, selector, self.coordinator, self, self.metrics
        )

    def send(self, peer, message) -> None:
        """Send a datagram."""
        self.fleet.transmit(self.vm, peer.vm.name, message)

    def receive(self, sender: str, message) -> None:
        """Handle a datagram."""
        if isinstance(message, PermitAnswer):
            self.client.handle_answer(message)
            return
        self.coordinator.handle_message(
            message, lambda answer: self.fleet.transmit(self.vm, sender, answer)
        )

    async def request(self, model: LimitedReplicaModel) -> float:
        """Send a request if a permit allows it; return the wait, 0 if it was sent."""
        decision = await self.client.acquire(model.replica, "q")
        if not decision.granted:
            return decision.wait_s
        coordinator = self.coordinator
        sent_at = loop_time()
        await asyncio.sleep(DELAY_S)
        model.arrivals.append((loop_time(), self.vm))
        named = model.limit_per_s
        await asyncio.sleep(ANSWER_S)
        if named is not None:
            model.told_at.setdefault(self.vm, loop_time())
        if coordinator is not self.coordinator or self.vm in self.fleet.dead:
            return 0.0
        if named is None:
            coordinator.record_no_limit(model.replica, sent_at)
        else:
            coordinator.record_limit(model.replica, named)
        return 0.0


class LimitFleet:
    """Daemons on a network that may lose messages, and replicas that name limits."""

    def __init__(self, daemons: int, *limits_per_s: float | None, loss: float = 0.0):
        self.models = [LimitedReplicaModel(limit) for limit in limits_per_s]
        self.rng = random.Random(11)
        self.loss = loss
        self.dead: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.received: Counter[str] = Counter()
        self.bytes_received: Counter[str] = Counter()
        vms = [
            ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
            for n in range(daemons)
        ]
        self.daemons = [LimitDaemon(self, n, vms) for n in range(daemons)]
        self._by_vm = {daemon.vm: daemon for daemon in self.daemons}

    def transmit(self, sender: str, receiver: str, message) -> None:
        """Deliver a message after a delay, unless it is lost."""
        data = encode_message(message)
        assert len(data) < 1400
        if self.rng.random() >= self.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, self._deliver, sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if {sender, receiver} & self.dead or frozenset({sender, receiver}) in self.cut:
            return
        self.received[receiver] += 1
        self.bytes_received[receiver] += len(data)
        self._by_vm[receiver].receive(sender, decode_message(data))

    def coordinator(self, rank: int = 0) -> LimitDaemon:
        """Return the daemon that coordinates the first replica's limit."""
        first = self.daemons[0].coordinator
        vms = first.coordinators(first.describe(self.models[0].replica))
        return self._by_vm[vms[rank]]

    async def load(self, per_s: float, seconds: float) -> list[float]:
        """Send requests at a rate from random daemons; return the waits."""
        tasks = []
        end = loop_time() + seconds
        while loop_time() < end:
            daemon = self.rng.choice(self.daemons)
            if daemon.vm not in self.dead:
                model = self.rng.choice(self.models)
                tasks.append(asyncio.create_task(daemon.request(model)))
            await asyncio.sleep(self.rng.expovariate(per_s))
        return await asyncio.gather(*tasks)
