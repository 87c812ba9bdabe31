"""Learned speeds of a pool's replicas, relative to the mean of the pool.

Answers pools whose replicas differ in speed for long, as on VMs of different sizes. It
keeps, for each replica and stage, the average ratio of observed to expected durations.
Few observations carry little weight, and a single one has a bounded influence: a share
of slow requests, as noise causes it, is not a slow replica.
"""

import bisect
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from marjoramstile.logs import get_logger
from marjoramstile.routes.replica_types import Replica, Stage

# Time in which the weight of an observation halves.
HALF_LIFE_S = 30.0
# Weight of the assumption that a replica is as fast as the pool, in observations.
PRIOR_WEIGHT = 4.0
# Observations from which a speed is used, and beyond which older ones weigh less.
MIN_WEIGHT = 3.0
MAX_WEIGHT = 40.0
# Bounds of a factor. A replica beyond them has failed rather than is slow.
FACTOR_MIN = 0.3
FACTOR_MAX = 3.0
# Largest ratio by which an observation may differ from the present estimate; beyond
# that, it counts as one of this ratio.
STEP_MAX = 2.0
# A replica counts as faster or slower than the pool from the first ratio on, and until
# its ratio is below the second one. Replicas of the same kind differ by less.
DIFFERENCE_MIN = 1.2
DIFFERENCE_KEPT = 1.1
# Replicas whose speeds are taken over; a message may name some that do not exist.
REPLICAS_MAX = 1024
# Weight of a speed that another scheduler has learned.
ADOPTED_WEIGHT = 8.0
# Period at which replicas without recent observations are dropped, and the weight
# below which they are.
FORGET_PERIOD_S = 10.0
FORGET_WEIGHT = 0.05
# Decoded tokens that count as one observation. A report of fewer counts in part.
DECODE_OBSERVATION_TOKENS = 200.0

# Characters of ids and numbers in one message, which thus stays below 1,200 bytes, and
# those of an entry beside its id.
BATCH_CHARACTERS = 1_000
ENTRY_CHARACTERS = 36

_OTHER_STAGE = {Stage.PREFILL: Stage.DECODE, Stage.DECODE: Stage.PREFILL}

logger = get_logger(__name__)


@dataclass(frozen=True)
class ReplicaSpeed:
    """Speeds of one incarnation of a replica; None where it is as fast as the pool."""

    replica: str
    started_at_ms: int
    prefill: float | None
    decode: float | None


def next_batch(speeds: list[ReplicaSpeed], after: str) -> tuple[ReplicaSpeed, ...]:
    """Return the speeds for the next message, at least one.

    ``speeds`` are sorted by id; the batch begins after the id ``after`` and goes on at
    the first one.
    """
    start = bisect.bisect_right(speeds, after, key=lambda item: item.replica)
    batch: list[ReplicaSpeed] = []
    left = BATCH_CHARACTERS
    for item in speeds[start:] + speeds[:start]:
        left -= ENTRY_CHARACTERS + len(item.replica.encode())
        if batch and left < 0:
            break
        batch.append(item)
    return tuple(batch)


@dataclass(slots=True)
class _Average:
    """An exponentially decaying average of ratios of observed to expected durations."""

    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def add(self, ratio: float, weight: float, now: float) -> None:
        factor = math.exp2(-max(0.0, now - self.at) / HALF_LIFE_S)
        self.at = max(self.at, now)
        self.weight = self.weight * factor + weight
        self.total = self.total * factor + weight * ratio

    def limit_weight(self) -> None:
        if self.weight > MAX_WEIGHT:
            self.total *= MAX_WEIGHT / self.weight
            self.weight = MAX_WEIGHT

    def weight_at(self, now: float) -> float:
        return self.weight * math.exp2(-max(0.0, now - self.at) / HALF_LIFE_S)

    def mean(self, prior: float) -> float:
        """Return the mean, shrunk towards ``prior``."""
        return (PRIOR_WEIGHT * prior + self.total) / (PRIOR_WEIGHT + self.weight)


@dataclass(slots=True)
class _StageSpeed:
    """What is known of one incarnation of a replica in one stage.

    ``factor`` is its speed relative to the pool, exactly 1.0 unless it clearly differs,
    and is valid until ``valid_until``.
    """

    average: _Average = field(default_factory=_Average)
    factor: float = 1.0
    valid_until: float = -math.inf

    def factor_at(self, now: float) -> float | None:
        """Return the factor; None if there are too few observations."""
        return self.factor if now < self.valid_until else None

    def update(self, pool_ratio: float) -> bool:
        """Compute the factor; return whether the replica began or ceased to differ."""
        average = self.average
        ratio = pool_ratio / average.mean(pool_ratio)
        weight = max(average.weight, FORGET_WEIGHT)
        half_lives = math.log2(weight / MIN_WEIGHT)
        self.valid_until = average.at + HALF_LIFE_S * half_lives
        differed = self.factor != 1.0
        limit = DIFFERENCE_KEPT if differed else DIFFERENCE_MIN
        differs = weight >= MIN_WEIGHT and not 1 / limit < ratio < limit
        self.factor = min(max(ratio, FACTOR_MIN), FACTOR_MAX) if differs else 1.0
        return differs != differed


@dataclass(slots=True)
class _KnownReplica:
    """The speeds of one incarnation of a replica."""

    started_at_ms: int
    stages: dict[Stage, _StageSpeed] = field(
        default_factory=lambda: {stage: _StageSpeed() for stage in Stage}
    )

    def factor(self, stage: Stage, now: float) -> float | None:
        return self.stages[stage].factor_at(now)


class ReplicaSpeeds:
    """Speed factors of the replicas of one shard; its scheduler owns it.

    A factor of 2 means half of the pool's mean duration. It is 1.0 for replicas that
    are unknown, were observed too rarely, or hardly differ from the pool.
    """

    def __init__(self):
        self._known: dict[str, _KnownReplica] = {}
        self._pool = {stage: _Average() for stage in Stage}
        self._next_forget = -math.inf
        self._changes = 0

    def __len__(self) -> int:
        return len(self._known)

    def pop_changes(self) -> int:
        """Return how often replicas began or ceased to differ since the last call."""
        changes, self._changes = self._changes, 0
        return changes

    def observe(
        self,
        replica_id: str,
        started_at_ms: int,
        stage: Stage,
        ratio: float,
        now: float,
        weight: float = 1.0,
    ) -> None:
        """Add a duration, as a ratio of what the mean replica is expected to take.

        One of an earlier incarnation than the known one is ignored.
        """
        self._forget_idle(now)
        known = self._replica(replica_id, started_at_ms)
        if known is None:
            return
        speed = known.stages[stage]
        pool = self._pool[stage]
        expected = speed.average.mean(pool.mean(1.0))
        ratio = min(max(ratio, expected / STEP_MAX), expected * STEP_MAX)
        pool.add(ratio, weight, now)
        speed.average.add(ratio, weight, now)
        speed.average.limit_weight()
        if speed.update(pool.mean(1.0)):
            self._record_change(replica_id, stage, speed.factor)

    def observe_decode(
        self,
        replica_id: str,
        started_at_ms: int,
        tokens: int,
        ratio: float,
        now: float,
    ) -> None:
        """Add the duration of decoded tokens as a ratio, weighted by their number."""
        weight = min(1.0, tokens / DECODE_OBSERVATION_TOKENS)
        self.observe(replica_id, started_at_ms, Stage.DECODE, ratio, now, weight)

    def factor(self, replica: Replica, stage: Stage, now: float) -> float:
        """Return a replica's speed in a stage relative to the pool's mean."""
        factor = self.known_factor(replica, stage, now)
        return 1.0 if factor is None else factor

    def known_factor(self, replica: Replica, stage: Stage, now: float) -> float | None:
        """Return a replica's speed in a stage; None if it was observed too rarely."""
        known = self._known.get(replica.id)
        if known is None or known.started_at_ms != replica.started_at_ms:
            return None
        return known.factor(stage, now)

    def likely_factor(self, replica: Replica, stage: Stage, now: float) -> float:
        """Return a replica's speed in a stage, or else that in the other stage.

        A replica that is slow in one stage mostly is slow in the other, too.
        """
        known = self._known.get(replica.id)
        if known is None or known.started_at_ms != replica.started_at_ms:
            return 1.0
        factor = known.factor(stage, now)
        if factor is None:
            factor = known.factor(_OTHER_STAGE[stage], now)
        return 1.0 if factor is None else factor

    def differing(self, now: float) -> list[ReplicaSpeed]:
        """Return the speeds of the replicas that clearly differ, in a stable order."""
        found = []
        for replica_id in sorted(self._known):
            known = self._known[replica_id]
            prefill = known.factor(Stage.PREFILL, now)
            decode = known.factor(Stage.DECODE, now)
            if (prefill or 1.0, decode or 1.0) != (1.0, 1.0):
                found.append(
                    ReplicaSpeed(
                        replica_id,
                        known.started_at_ms,
                        None if prefill in (None, 1.0) else round(prefill, 2),
                        None if decode in (None, 1.0) else round(decode, 2),
                    )
                )
        return found

    def adopt(self, speeds: Iterable[ReplicaSpeed], now: float) -> None:
        """Take over what another scheduler has learned, where less is known here."""
        self._forget_idle(now)
        for item in speeds:
            if len(self._known) >= REPLICAS_MAX and item.replica not in self._known:
                continue
            known = self._replica(item.replica, item.started_at_ms)
            if known is None:
                continue
            for stage, factor in (
                (Stage.PREFILL, item.prefill),
                (Stage.DECODE, item.decode),
            ):
                if factor is not None:
                    self._adopt(item.replica, known.stages[stage], stage, factor, now)

    def _adopt(
        self,
        replica_id: str,
        speed: _StageSpeed,
        stage: Stage,
        factor: float,
        now: float,
    ) -> None:
        if speed.average.weight_at(now) >= ADOPTED_WEIGHT or factor <= 0.0:
            return
        factor = min(max(factor, FACTOR_MIN), FACTOR_MAX)
        pool_ratio = self._pool[stage].mean(1.0)
        # The average that gives this factor after it is shrunk towards the pool's.
        shrunk = pool_ratio / factor
        ratio = shrunk + PRIOR_WEIGHT / ADOPTED_WEIGHT * (shrunk - pool_ratio)
        speed.average = _Average(ADOPTED_WEIGHT, ADOPTED_WEIGHT * ratio, now)
        if speed.update(pool_ratio):
            self._record_change(replica_id, stage, speed.factor)

    def _replica(self, replica_id: str, started_at_ms: int) -> _KnownReplica | None:
        """Return what is known of an incarnation; None if there is a newer one."""
        known = self._known.get(replica_id)
        if known is None or known.started_at_ms < started_at_ms:
            known = _KnownReplica(started_at_ms)
            self._known[replica_id] = known
        return known if known.started_at_ms == started_at_ms else None

    def _record_change(self, replica_id: str, stage: Stage, factor: float) -> None:
        self._changes += 1
        logger.info(
            "replica_speed_changed",
            replica=replica_id,
            stage=stage,
            factor=round(factor, 2),
        )

    def _forget_idle(self, now: float) -> None:
        """Drop replicas without recent observations, once a period."""
        if now < self._next_forget:
            return
        self._next_forget = now + FORGET_PERIOD_S
        for replica_id, known in list(self._known.items()):
            averages = [speed.average for speed in known.stages.values()]
            if all(
                item.at < now and item.weight_at(now) < FORGET_WEIGHT
                for item in averages
            ):
                del self._known[replica_id]
