"""Parts of a service's pool, and the daemons that schedule them.

All daemons that agree on the view and on the replicas choose alike, without a word.
A pool has one part until it is large; so the work of a scheduler stays the same
however many replicas and daemons there are.
"""

import random

from marjoramstile.membership.view import Peer, View
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.utils import loop_time, rendezvous_weight

# Replicas of a part, about.
SHARD_REPLICAS = 40
# Daemons that may be asked for one part, the first that answers.
MAX_CANDIDATES = 3
# A daemon that did not answer is not asked for this long, doubled each time.
SILENT_BACKOFF_S = 2.0
SILENT_BACKOFF_MAX_S = 60.0


class PoolShards:
    """Which replicas make up a part."""

    def __init__(self, directory: ReplicaDirectory):
        self._directory = directory

    def count(self, service: str) -> int:
        """Return the number of parts of a service's pool."""
        replicas = len(self._directory.expected_stages(service))
        return max(1, round(replicas / SHARD_REPLICAS))

    def usable(self, service: str, shard: int, stage: Stage) -> list[Replica]:
        """Return a part's usable replicas in a stage."""
        shard_count = self.count(service)
        replicas = self._directory.usable(service, stage)
        if shard_count == 1:
            return replicas
        return [item for item in replicas if shard_of(item.id, shard_count) == shard]

    def choose(self, service: str, rng: random.Random) -> int:
        """Return the part that is to serve a new request."""
        return rng.randrange(self.count(service))


def shard_of(replica_id: str, shard_count: int) -> int:
    """Return the part that a replica belongs to."""
    return max(
        range(shard_count), key=lambda shard: rendezvous_weight(str(shard), replica_id)
    )


class SchedulerSelector:
    """The daemons that schedule a part: the first ones by rendezvous."""

    def __init__(self, view: View):
        self._view = view
        self._generation = -1
        self._ranked: dict[tuple[str, int], tuple[str, ...]] = {}
        self._silent_until: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}

    def ranked(self, service: str, shard: int) -> tuple[str, ...]:
        """Return the VMs of the first few daemons for a part, the best first."""
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._ranked.clear()
        key = (service, shard)
        if key not in self._ranked:
            usable = [peer.vm.name for peer in self._view.peers if peer.presumed_alive]
            name = f"pool/{service}/{shard}"
            usable.sort(key=lambda vm: rendezvous_weight(name, vm), reverse=True)
            self._ranked[key] = tuple(usable[:MAX_CANDIDATES])
        return self._ranked[key]

    def candidates(self, service: str, shard: int) -> list[Peer]:
        """Return the daemons to ask, without those that were silent lately."""
        now = loop_time()
        peers = [self._view.get(vm) for vm in self.ranked(service, shard)]
        return [
            peer
            for peer in peers
            if peer is not None and now >= self._silent_until.get(peer.vm.name, 0.0)
        ]

    def get(self, vm: str) -> Peer | None:
        """Return the daemon on a VM."""
        return self._view.get(vm)

    def own_rank(self, service: str) -> int | None:
        """Return this daemon's place among those of a pool's first part, from 0."""
        ranked = self.ranked(service, 0)
        own = self._view.own.vm.name
        return ranked.index(own) if own in ranked else None

    def record_no_answer(self, vm: str) -> None:
        """Note that a daemon did not answer in time."""
        backoff_s = self._backoff_s.get(vm, SILENT_BACKOFF_S)
        self._silent_until[vm] = loop_time() + backoff_s
        self._backoff_s[vm] = min(2 * backoff_s, SILENT_BACKOFF_MAX_S)

    def record_answer(self, vm: str) -> None:
        """Note that a daemon answered."""
        self._silent_until.pop(vm, None)
        self._backoff_s.pop(vm, None)
