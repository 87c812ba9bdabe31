"""Daemons in front of replicas that some requests crash, on a virtual clock."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from marjoramstile.crashes.blocklist import Blocklist
from marjoramstile.crashes.coordinator import CrashCoordinator
from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.crashes.sharing import BlocklistSharing
from marjoramstile.membership.view import PeerState, View
from marjoramstile.pools.shards import SchedulerSelector
from marjoramstile.routes.replica_types import Replica, ReplicaState
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import RequestRefusedError, RoutedRequest
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import BackgroundTasks, loop_time
from tests.network import DELAY_S, VirtualNetwork
from tests.routes.support import request, route
from tests.support import MemoryStore

SERVICE = "llm"
PROBE_PERIOD_S = 0.4
CONNECT_TIMEOUT_S = 0.35
# Time from a send to the begin of the answer, and from there to its end.
BEGIN_S = 0.1
RUN_S = 0.9
DOWN_S = 3.0
CONTACT_S = 3.0
CRASHES_KNOWN = 5
REQUESTS_LATER = 3
STREAM = route(RouteKind.STREAM)


@dataclass
class Outcomes:
    """What became of the requests with one part, or of the sound ones."""

    refused: int = 0
    begun: int = 0
    lost: int = 0
    sent_at: list[float] = field(default_factory=list)

    @property
    def total(self) -> int:
        """All requests."""
        return self.refused + self.begun + self.lost


class FleetReplicas:
    """Replicas that crash and come back as new incarnations."""

    def __init__(self, count: int, services: tuple[str, ...]):
        self.replicas: dict[str, Replica] = {}
        self.down_until: dict[str, float] = {}
        self.crashed_at: list[float] = []
        self.running: dict[str, set[asyncio.Future]] = {}
        for service in services:
            for number in range(count):
                name = f"{service}-{number}"
                self.replicas[name] = Replica(
                    name, service, "10.1.0.1", 80, "a", 64, ReplicaState.READY, 1
                )
                self.running[name] = set()

    def up(self, service: str) -> list[Replica]:
        """Return the replicas of a service that are up."""
        now = loop_time()
        return [
            item
            for item in self.replicas.values()
            if item.service == service
            and item.state == ReplicaState.READY
            and self.down_until.get(item.id, 0.0) <= now
        ]

    def is_up(self, replica: Replica) -> bool:
        """Return whether an incarnation is up."""
        now = loop_time()
        same = self.replicas[replica.id].started_at_ms == replica.started_at_ms
        return same and self.down_until.get(replica.id, 0.0) <= now

    def crash(self, name: str, for_s: float = DOWN_S) -> None:
        """End an incarnation; what runs on it is lost."""
        self.crashed_at.append(loop_time())
        old = self.replicas[name]
        self.replicas[name] = replace(
            old, started_at_ms=old.started_at_ms + 1, state=ReplicaState.READY
        )
        self.down_until[name] = loop_time() + for_s
        for future in self.running[name]:
            if not future.done():
                future.set_result(True)
        self.running[name].clear()


class CrashDaemon:
    """The parts of one daemon that find out what crashes replicas."""

    def __init__(self, fleet: "CrashFleet", number: int):
        self.fleet = fleet
        self.vm = fleet.vms[number].name
        self.number = number
        self.start()

    def start(self) -> None:
        """Start, or start again without any state."""
        fleet = self.fleet
        self.tasks = BackgroundTasks()
        self.view = View(fleet.vms[self.number], f"{self.vm}-{loop_time()}")
        self.view.merge_list(fleet.vms, loop_time())
        self.directory = ReplicaDirectory()
        self.blocklist = Blocklist()
        self.sharing = BlocklistSharing(
            self.blocklist, self.view, self, fleet.store, fleet.store, self.tasks
        )
        self.coordinator = CrashCoordinator(
            self.view,
            SchedulerSelector(self.view),
            self.directory,
            self,
            self.blocklist,
            self.sharing,
            self,
            self.tasks,
        )
        self.detector = CrashDetector(
            self.blocklist, self.sharing, self.coordinator, self, self.tasks
        )
        self.tasks.start(self.sharing.load(), "load")

    async def accepts_connections(self, replica: Replica) -> bool:
        """Return whether this daemon can connect to a replica's address."""
        if self.vm in self.fleet.cut_from_replicas:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return False
        await asyncio.sleep(DELAY_S)
        now = loop_time()
        return self.fleet.replicas.down_until.get(replica.id, 0.0) <= now

    def send(self, peer, message) -> None:
        """Send a datagram."""
        self.fleet.transmit(self.vm, peer.vm.name, message)

    def receive(self, sender: str, message) -> None:
        """Handle a datagram."""
        self.coordinator.handle_message(
            message, lambda answer: self.fleet.transmit(self.vm, sender, answer)
        )

    async def request(self, sent: RoutedRequest, outcomes: Outcomes) -> None:
        """Send a request, unless it is blocked, and record its outcome."""
        try:
            await self.detector.check(sent)
        except RequestRefusedError:
            outcomes.refused += 1
            return
        try:
            await self._run(sent, outcomes)
        finally:
            self.detector.end(sent)

    async def _run(self, sent: RoutedRequest, outcomes: Outcomes) -> None:
        replicas = self.fleet.replicas
        up = replicas.up(sent.service)
        for item in up:
            self.directory.put(item)
        if not up:
            outcomes.refused += 1
            return
        replica = self.fleet.rng.choice(up)
        sent_at = loop_time()
        outcomes.sent_at.append(sent_at)
        if self.vm in self.fleet.cut_from_replicas:
            outcomes.lost += 1
            await self.detector.has_crashed(sent, replica)
            return
        lost = asyncio.get_running_loop().create_future()
        replicas.running[replica.id].add(lost)
        if await self._is_lost(lost, BEGIN_S):
            outcomes.lost += 1
            await self.detector.has_crashed(sent, replica)
        elif self.fleet.deadly.get(sent.service, set()).intersection(sent.shared_parts):
            replicas.crash(replica.id)
            outcomes.lost += 1
            await self.detector.has_crashed(sent, replica)
        else:
            outcomes.begun += 1
            self.detector.record_begin(sent, sent_at)
            await self._is_lost(lost, RUN_S)
        replicas.running[replica.id].discard(lost)

    @staticmethod
    async def _is_lost(lost: asyncio.Future, for_s: float) -> bool:
        await asyncio.wait([lost], timeout=for_s)
        return lost.done()


class CrashFleet(VirtualNetwork):
    """Daemons, one store, and replicas."""

    def __init__(
        self,
        daemons: int,
        replicas: int = 5,
        services: tuple[str, ...] = (SERVICE,),
        seed: int = 1,
        loss: float = 0.0,
    ):
        super().__init__(daemons, seed, loss)
        self.store = MemoryStore()
        self.replicas = FleetReplicas(replicas, services)
        self.deadly: dict[str, set[str]] = {}
        self.cut_from_replicas: set[str] = set()
        self._ids = itertools.count()
        self.daemons = [CrashDaemon(self, number) for number in range(daemons)]
        self._probing = [
            asyncio.get_running_loop().create_task(self._probe_periodically(daemon))
            for daemon in self.daemons
        ]

    async def close(self) -> None:
        """Stop all daemons."""
        for task in self._probing:
            task.cancel()
        for daemon in self.daemons:
            await daemon.tasks.close()

    async def _probe_periodically(self, daemon: CrashDaemon) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, PROBE_PERIOD_S))
        while True:
            other = self.rng.choice(self.daemons)
            if other is not daemon and self.reaches(daemon.vm, other.vm):
                other.sharing.handle_digest(daemon.vm, daemon.sharing.digest)
                daemon.sharing.handle_digest(other.vm, other.sharing.digest)
            await asyncio.sleep(PROBE_PERIOD_S)

    def coordinators(self, service: str = SERVICE) -> list[CrashDaemon]:
        """Return the daemons that collect reports, as the first one sees them."""
        return [
            self.daemon(vm) for vm in self.daemons[0].coordinator._coordinators(service)
        ]

    def drain(self, name: str) -> None:
        """Let a replica say in its row that it is draining."""
        replica = replace(self.replicas.replicas[name], state=ReplicaState.DRAINING)
        self.replicas.replicas[name] = replica
        for daemon in self.daemons:
            daemon.directory.put(replica)

    def kill(self, *daemons: CrashDaemon) -> None:
        """Kill daemons; the others learn it at once."""
        self.dead |= {daemon.vm for daemon in daemons}
        self.report(daemons, PeerState.DEAD)

    async def restart(self, *daemons: CrashDaemon) -> None:
        """Start killed daemons again without any state."""
        for daemon in daemons:
            await daemon.tasks.close()
            self.dead.discard(daemon.vm)
            daemon.start()
        self.report(daemons, PeerState.ALIVE)

    def request(
        self, parts: tuple[str, ...], outcomes: Outcomes, service: str = SERVICE
    ) -> asyncio.Task:
        """Send a request, like no other, at a random daemon."""
        daemon = self.rng.choice(self.living)
        sent = request(
            f"q{next(self._ids)}", STREAM, shared_parts=parts, service=service
        )
        return asyncio.create_task(daemon.request(sent, outcomes))

    async def load(self, seconds: float, *streams) -> None:
        """Send requests for some seconds and wait for their ends.

        Each stream is a rate a second, a function that returns the parts of the next
        request, its outcomes, and optionally its service.
        """
        await asyncio.gather(*(self._stream(seconds, *stream) for stream in streams))

    async def _stream(self, seconds, per_s, parts, outcomes, service=SERVICE) -> None:
        tasks = []
        end = loop_time() + seconds
        while loop_time() < end:
            await asyncio.sleep(self.rng.expovariate(per_s))
            tasks.append(self.request(parts(), outcomes, service))
        await asyncio.gather(*tasks)

    def later(self, deadly: Outcomes) -> int:
        """Return how many deadly requests the rule counts."""
        crashed_at = sorted(self.replicas.crashed_at)
        if len(crashed_at) < CRASHES_KNOWN:
            return 0
        known_at = crashed_at[CRASHES_KNOWN - 1] + CONTACT_S
        return sum(at > known_at for at in deadly.sent_at)

    def blocked(self) -> list[set[str]]:
        """Return the keys that each living daemon blocks."""
        return [
            {entry.key for entry in daemon.blocklist.entries if entry.blocked}
            for daemon in self.living
        ]
