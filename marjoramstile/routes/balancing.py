"""Choice among replicas by outstanding work, latency and recent failures."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstile.routes.loads import PrefillLoads
from marjoramstile.routes.replica_types import Replica

# Weight of the newest sample in the moving average of a replica's latency.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.05
# Time in which the weight of a failure halves.
FAILURE_HALF_LIFE_S = 2.0
FAILURE_COST = 3.0
# Cost of a replica in another data centre, in outstanding requests.
REMOTE_COST = 0.3
# Recent failures above which a replica is suspect: used only if there is no other.
SUSPECT_FAILURES = 0.5
# Replicas drawn at random, of which the least loaded is chosen.
SAMPLE_SIZE = 3


@dataclass
class ReplicaStats:
    """This daemon's statistics of one incarnation of a replica."""

    outstanding: int = 0
    latency_s: float = INITIAL_LATENCY_S
    failures: float = 0.0
    failures_at: float = 0.0

    def recent_failures(self, now: float) -> float:
        """Return the number of failures, decayed exponentially by age."""
        age = now - self.failures_at
        return self.failures * math.exp2(-age / FAILURE_HALF_LIFE_S)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a failure."""
        self.failures = self.recent_failures(now) + weight
        self.failures_at = now

    def observe_latency(self, latency_s: float) -> None:
        """Add a response time to the moving average."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)


class Balancer:
    """Keeps statistics of each incarnation and chooses replicas by them."""

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng
        self._stats: dict[tuple[str, int], ReplicaStats] = {}

    def stats(self, replica: Replica) -> ReplicaStats:
        """Return the statistics of a replica's incarnation."""
        return self._stats.setdefault(
            (replica.id, replica.started_at_ms), ReplicaStats()
        )

    def is_suspect(self, replica: Replica, now: float) -> bool:
        """Return whether a replica's recent failures exceed SUSPECT_FAILURES."""
        return self.stats(replica).recent_failures(now) > SUSPECT_FAILURES

    def forget_missing(self, known: Iterable[Replica]) -> None:
        """Drop statistics of incarnations not in ``known``, once they are idle."""
        kept = {(replica.id, replica.started_at_ms) for replica in known}
        for key in self._stats.keys() - kept:
            if self._stats[key].outstanding == 0:
                del self._stats[key]

    def forgive(self) -> None:
        """Forget recent failures: this VM's links were lost, not the replicas."""
        for stats in self._stats.values():
            stats.failures = 0.0

    def choose(self, replicas: Iterable[Replica], now: float) -> Replica | None:
        """Return the replica with the lowest estimated cost; None if there is none."""
        return min(
            replicas,
            key=lambda replica: (self._cost(replica, now), self._rng.random()),
            default=None,
        )

    def choose_by_tokens(
        self, replicas: list[Replica], loads: PrefillLoads, near: str, now: float
    ) -> Replica | None:
        """Return the replica with the fewest prompt tokens in a random sample.

        Ties go to the data centre ``near``, to which the KV cache is transferred:
        links between data centres are slower and more expensive. Only this daemon's
        load is known; sampling keeps all daemons from choosing the same replica.
        """
        healthy = [item for item in replicas if not self.is_suspect(item, now)]
        candidates = healthy or replicas
        sampled = self._rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        return min(
            sampled,
            key=lambda replica: (
                loads.in_flight_tokens(replica.id),
                replica.data_centre != near,
            ),
            default=None,
        )

    def _cost(self, replica: Replica, now: float) -> float:
        stats = self.stats(replica)
        remote = REMOTE_COST if replica.data_centre != self._data_centre else 0.0
        queue = 1 + stats.outstanding + remote
        return queue * stats.latency_s * (1 + FAILURE_COST * stats.recent_failures(now))
