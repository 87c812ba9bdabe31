"""Daemons that remember the versions of streams, on a virtual clock."""

import asyncio
import itertools
import json

from marjoramstile.membership.view import PeerState, View
from marjoramstile.pools.shards import SchedulerSelector
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.table import RouteKind
from marjoramstile.streams.keeper import StreamKeeper
from marjoramstile.streams.registry import StreamRegistry
from marjoramstile.streams.storage import RING_PREFIX, StreamStore
from marjoramstile.streams.versions import VersionHistory
from marjoramstile.utils import BackgroundTasks, loop_time, run_every
from tests.network import VirtualNetwork
from tests.routes.support import request, route
from tests.support import MemoryStore

SERVICE = "llm"
PERIOD_S = 0.25
# The longest timeout of a route, and the time after which a stream doesn't matter.
TIMEOUT_S = 14.0
LIFE_S = 17.0
STREAM = route(RouteKind.STREAM)


def replica(name: str, version: str, started_at_ms: int = 1) -> Replica:
    """Return a decode replica of a software version."""
    return Replica(
        id=name,
        service=SERVICE,
        host="10.1.0.1",
        port=80,
        data_centre="a",
        slots=24,
        state=ReplicaState.READY,
        started_at_ms=started_at_ms,
        stage=Stage.DECODE,
        version=version,
    )


class StreamDaemon:
    """The parts of one daemon that remember the versions of streams."""

    def __init__(self, fleet: "StreamFleet", number: int):
        self.fleet = fleet
        self.vm = fleet.vms[number].name
        self.number = number
        self.start()

    def start(self) -> None:
        """Start, or start again without any state but the list of replicas."""
        fleet = self.fleet
        self.tasks = BackgroundTasks()
        self.view = View(fleet.vms[self.number], f"{self.vm}-{loop_time()}")
        self.view.merge_list(fleet.vms, loop_time())
        self.directory = ReplicaDirectory()
        self.registry = StreamRegistry()
        self.history = VersionHistory(self.directory)
        store = StreamStore(fleet.store, fleet.store, self.registry, self.history)
        self.keeper = StreamKeeper(
            self.view,
            SchedulerSelector(self.view),
            self,
            self.registry,
            self.history,
            store,
            lambda: fleet.list_age_s,
            lambda: TIMEOUT_S,
        )
        self.directory.on_ended(self._handle_ended)
        for item in fleet.replicas.values():
            self.directory.put(item)
        self.tasks.start(self.keeper.load(), "load")
        self.tasks.start(run_every(PERIOD_S, self._store, "store"), "store")

    def _handle_ended(self, ended: Replica, following: Replica | None) -> None:
        self.history.record_gone(ended, loop_time())
        if following is not None:
            self.keeper.handle_restart(ended, following)

    async def _store(self) -> None:
        self.history.begin(loop_time())
        self.keeper.expire()
        if self.vm not in self.fleet.dead:
            await self.keeper.store_changes([SERVICE])

    def send(self, peer, message) -> None:
        """Send a datagram."""
        self.fleet.transmit(self.vm, peer.vm.name, message)

    def receive(self, sender: str, message) -> None:
        """Handle a datagram."""
        self.keeper.handle_message(
            message, lambda answer: self.fleet.transmit(self.vm, sender, answer)
        )

    def begin(self, attempt: str, name: str, target: str = "/p/x") -> None:
        """Begin a stream for a caller's attempt at a replica."""
        sent = request(attempt, STREAM, target=target)
        self.keeper.record_begin(sent, self.directory.get(name))

    async def version_of(self, resumes: str | None, target: str = "/p/x"):
        """Return the version at which a client's take-up may go on."""
        sent = request("up", STREAM, target=target, resumes=resumes, resume_after=5)
        return await self.keeper.version_of(sent)


class StreamFleet(VirtualNetwork):
    """Daemons with the same list of replicas, and one store."""

    def __init__(self, daemons: int, *replicas: Replica, loss: float = 0.0):
        super().__init__(daemons, seed=3, loss=loss)
        self.store = MemoryStore()
        self.list_age_s = 0.5
        self.replicas = {item.id: item for item in replicas}
        self.daemons = [StreamDaemon(self, number) for number in range(daemons)]
        self._ids = itertools.count()

    async def close(self) -> None:
        """Stop all daemons."""
        for daemon in self.daemons:
            await daemon.tasks.close()

    def put(self, *replicas: Replica) -> None:
        """Add or change replicas in the list of all living daemons."""
        for item in replicas:
            self.replicas[item.id] = item
            for daemon in self.living:
                daemon.directory.put(item, loop_time())

    def remove(self, *names: str) -> None:
        """Remove replicas from the list of all living daemons."""
        for name in names:
            del self.replicas[name]
            for daemon in self.living:
                daemon.directory.remove(name, 0.0, loop_time())

    async def begin_streams(self, count: int, *names: str) -> dict[str, str]:
        """Begin streams at random daemons and replicas; return versions by attempt."""
        begun = {}
        for _ in range(count):
            attempt = f"a{next(self._ids)}"
            name = self.rng.choice(names)
            self.rng.choice(self.living).begin(attempt, name)
            begun[attempt] = self.replicas[name].version
            await asyncio.sleep(0.01)
        return begun

    async def take_up(self, attempts) -> dict[str, str | None]:
        """Take up streams at random daemons; return the versions by attempt."""
        attempts = list(attempts)
        versions = await asyncio.gather(
            *(self.rng.choice(self.living).version_of(item) for item in attempts)
        )
        return dict(zip(attempts, versions, strict=True))

    async def kill_all(self, down_s: float = 1.0, **changes) -> None:
        """Kill all daemons, and start them again without any state."""
        self.dead = {daemon.vm for daemon in self.daemons}
        for daemon in self.daemons:
            await daemon.tasks.close()
        await asyncio.sleep(down_s)
        self.dead.clear()
        for daemon in self.daemons:
            daemon.start()
        self.report(self.daemons, PeerState.ALIVE)

    def kill(self, *daemons: StreamDaemon) -> None:
        """Kill daemons; the others learn it at once."""
        self.dead |= {daemon.vm for daemon in daemons}
        self.report(daemons, PeerState.DEAD)

    @property
    def ring_rows(self) -> list[dict]:
        """The values of all rows of rings in the store."""
        rows = self.store.rows.items()
        return [json.loads(row.value) for key, row in rows if RING_PREFIX in key]
