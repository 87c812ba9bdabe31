"""Shards of a service's pool, and the daemons that schedule them.

Daemons with the same view of the fleet and the same replicas make the same choices
without communication. A small pool has a single shard and a large one has several, so
that the work of a scheduler doesn't grow with the number of replicas and daemons.
"""

import random

from marjoramstile.membership.view import Peer, View
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.utils import loop_time, rendezvous_weight

# Approximate number of replicas in a shard.
SHARD_REPLICAS = 40
# Daemons that may schedule a shard; the first one that answers does.
MAX_CANDIDATES = 3
# Backoff after which a daemon that did not answer is asked again, doubled each time.
SILENT_BACKOFF_S = 2.0
SILENT_BACKOFF_MAX_S = 60.0


class PoolShards:
    """Divides the replicas of a service's pool into shards."""

    def __init__(self, directory: ReplicaDirectory):
        self._directory = directory

    def count(self, service: str) -> int:
        """Return the number of shards of a service's pool."""
        replicas = len(self._directory.expected_stages(service))
        return max(1, round(replicas / SHARD_REPLICAS))

    def usable(self, service: str, shard: int, stage: Stage) -> list[Replica]:
        """Return a shard's usable replicas in a stage."""
        shard_count = self.count(service)
        replicas = self._directory.usable(service, stage)
        if shard_count == 1:
            return replicas
        return [item for item in replicas if shard_of(item.id, shard_count) == shard]

    def shard_of(self, replica: Replica) -> int:
        """Return the shard of a replica; plain services have only one."""
        shard_count = self.count(replica.service)
        return 0 if shard_count == 1 else shard_of(replica.id, shard_count)

    def choose(
        self, service: str, rng: random.Random, avoid: frozenset[str] = frozenset()
    ) -> int:
        """Return a random shard for a new request.

        If it may not use the replicas in ``avoid``, it is one with a usable decode
        replica, each of which is as likely as the others.
        """
        if avoid and self.count(service) > 1:
            usable = self._directory.usable(service, Stage.DECODE)
            allowed = [replica for replica in usable if replica.id not in avoid]
            if allowed:
                return self.shard_of(rng.choice(allowed))
        return rng.randrange(self.count(service))


def shard_of(replica_id: str, shard_count: int) -> int:
    """Return the shard that a replica belongs to, by rendezvous hashing."""
    return max(
        range(shard_count), key=lambda shard: rendezvous_weight(str(shard), replica_id)
    )


class SchedulerSelector:
    """Selects the daemons that may schedule a shard, by rendezvous hashing.

    It also keeps the backoff of daemons that did not answer.
    """

    def __init__(self, view: View):
        self._view = view
        self._generation = -1
        self._ranked: dict[tuple[str, int], tuple[str, ...]] = {}
        self._backoff_until: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}

    def ranked(self, service: str, shard: int) -> tuple[str, ...]:
        """Return the VMs of the daemons that may schedule a shard, best first."""
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
        """Return the daemons to ask, without those in backoff."""
        now = loop_time()
        peers = [self._view.get(vm) for vm in self.ranked(service, shard)]
        return [
            peer
            for peer in peers
            if peer is not None and now >= self._backoff_until.get(peer.vm.name, 0.0)
        ]

    def get(self, vm: str) -> Peer | None:
        """Return the daemon on a VM."""
        return self._view.get(vm)

    def own_rank(self, service: str) -> int | None:
        """Return this daemon's rank for a pool's first shard, from 0, or None."""
        ranked = self.ranked(service, 0)
        own = self._view.own.vm.name
        return ranked.index(own) if own in ranked else None

    def record_no_answer(self, vm: str) -> None:
        """Record that a daemon did not answer in time, and start its backoff."""
        backoff_s = self._backoff_s.get(vm, SILENT_BACKOFF_S)
        self._backoff_until[vm] = loop_time() + backoff_s
        self._backoff_s[vm] = min(2 * backoff_s, SILENT_BACKOFF_MAX_S)

    def record_answer(self, vm: str) -> None:
        """Record that a daemon answered, and end its backoff."""
        self._backoff_until.pop(vm, None)
        self._backoff_s.pop(vm, None)
