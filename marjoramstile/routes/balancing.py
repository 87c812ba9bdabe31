"""Choice among replicas by outstanding work, latency and recent failures.

A replica's latency is the median of its last calls, so that a share of slow calls, as
noise causes it, does not make a replica slow. It counts only if it clearly exceeds that
of the fastest replica, and is forgotten in some seconds without calls: a replica that
is avoided would never show that it is fast again.
"""

import math
import random
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from marjoramstile.routes.loads import PrefillLoads
from marjoramstile.routes.replica_types import Replica

# Calls of which the median is a replica's latency, and fewest for which it is known.
LATENCY_SAMPLES = 5
MIN_LATENCY_SAMPLES = 2
# Two calls in a row of so many medians are taken for a change of the replica rather
# than for noise, which makes calls two to three times as long; older calls are dropped.
SLOWDOWN_RATIO = 3.0
# The same for one call of so small a part of the median: a replica that is avoided gets
# few calls to show that it is fast again.
RECOVERY_RATIO = 0.5
# Ratio to the lowest latency up to which replicas count as equally fast.
LATENCY_TOLERANCE = 1.5
# Time without a call in which what a latency exceeds the lowest one by halves.
LATENCY_HALF_LIFE_S = 10.0
# Least latency that is compared: shorter ones differ by what the daemon itself does.
MIN_LATENCY_S = 0.001
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
    failures: float = 0.0
    failures_at: float = 0.0
    answered_at: float = -math.inf
    _latencies: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCY_SAMPLES)
    )
    _latency_s: float | None = None

    @property
    def latency_s(self) -> float | None:
        """Median latency of the last calls; None if there were too few."""
        return self._latency_s

    def recent_failures(self, now: float) -> float:
        """Return the number of failures, decayed exponentially by age."""
        age = now - self.failures_at
        return self.failures * math.exp2(-age / FAILURE_HALF_LIFE_S)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a failure."""
        self.failures = self.recent_failures(now) + weight
        self.failures_at = now

    def observe_latency(self, latency_s: float, now: float) -> None:
        """Add the latency of a call that was answered."""
        self.answered_at = now
        self._latencies.append(max(latency_s, MIN_LATENCY_S))
        self._drop_calls_before_change()
        self._latency_s = None
        if len(self._latencies) >= MIN_LATENCY_SAMPLES:
            self._latency_s = statistics.median(self._latencies)

    def _drop_calls_before_change(self) -> None:
        before = self._latency_s
        if before is None:
            return
        last = list(self._latencies)[-2:]
        if min(last) >= SLOWDOWN_RATIO * before:
            self._latencies = deque(last, maxlen=LATENCY_SAMPLES)
        elif last[-1] <= RECOVERY_RATIO * before:
            self._latencies = deque(last[-1:], maxlen=LATENCY_SAMPLES)

    def slowness(self, lowest_s: float, now: float) -> float:
        """Return the latency relative to the lowest one; 1 if they hardly differ."""
        if self._latency_s is None:
            return 1.0
        excess = self._latency_s / lowest_s - 1.0
        age_s = max(0.0, now - self.answered_at)
        ratio = 1.0 + excess * math.exp2(-age_s / LATENCY_HALF_LIFE_S)
        return 1.0 if ratio < LATENCY_TOLERANCE else ratio


class Balancer:
    """Keeps statistics of each incarnation and chooses replicas by them."""

    def __init__(self, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng
        self._stats: dict[tuple[str, int], ReplicaStats] = {}

    def stats(self, replica: Replica) -> ReplicaStats:
        """Return the statistics of a replica's incarnation."""
        key = (replica.id, replica.started_at_ms)
        stats = self._stats.get(key)
        if stats is None:
            stats = self._stats[key] = ReplicaStats()
        return stats

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
        candidates = list(replicas)
        latencies = (self.stats(replica).latency_s for replica in candidates)
        known = [latency_s for latency_s in latencies if latency_s is not None]
        lowest_s = min(known, default=MIN_LATENCY_S)
        return min(
            candidates,
            key=lambda replica: (
                self._cost(replica, lowest_s, now),
                self._rng.random(),
            ),
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

    def _cost(self, replica: Replica, lowest_s: float, now: float) -> float:
        stats = self.stats(replica)
        remote = REMOTE_COST if replica.data_centre != self._data_centre else 0.0
        queue = 1 + stats.outstanding + remote
        failures = 1 + FAILURE_COST * stats.recent_failures(now)
        return queue * stats.slowness(lowest_s, now) * failures
