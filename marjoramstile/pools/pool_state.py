"""State of a shard's replicas, and snapshots of their capacity."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramstile.pools.backoff import ReplicaBackoff
from marjoramstile.pools.decisions import (
    LOCAL_PREFILL_FACTOR,
    PREFILL_LOOKAHEAD_S,
    DecodeSnapshot,
    PoolSnapshot,
    PrefillSnapshot,
)
from marjoramstile.pools.estimator import PoolEstimator
from marjoramstile.pools.leases import Lease, LeaseTable
from marjoramstile.pools.messages import PlacementGrant
from marjoramstile.pools.permits import ReplicaPermits
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.table import EngineTraits

# Time for which a snapshot of a replica whose leases have not changed is used again:
# each generation adds a few tokens meanwhile.
SNAPSHOT_MAX_AGE_S = 0.1
# Digits of the spread of outputs that count; each output that ends changes the others.
SPREAD_DIGITS = 2


@dataclass(frozen=True)
class _KeptSnapshot:
    """A snapshot of a replica, and the conditions under which it holds."""

    taken_at: float
    conditions: tuple
    snapshot: DecodeSnapshot


class PoolState:
    """The usable replicas of a shard with their leases, prefills and backoff.

    It owns the expected ends of prefills; the rest belongs to the scheduler.
    """

    def __init__(
        self,
        replicas: Callable[[Stage], list[Replica]],
        balancer: Balancer,
        leases: LeaseTable,
        backoff: ReplicaBackoff,
        estimator: PoolEstimator,
        permits: ReplicaPermits,
    ):
        """``replicas`` returns the usable replicas of the shard in a stage."""
        self._replicas = replicas
        self._permits = permits
        self._balancer = balancer
        self._leases = leases
        self._backoff = backoff
        self._estimator = estimator
        self._prefill_free_at: dict[str, float] = {}
        self._kept: dict[str, _KeptSnapshot] = {}
        self.engine: EngineTraits | None = None

    @property
    def can_decode(self) -> bool:
        """Whether there is any usable decode replica."""
        return bool(self._replicas(Stage.DECODE))

    @property
    def permit_wait_s(self) -> float | None:
        """Time until the limit of a decode replica allows a request.

        None unless there are decode replicas and the limits of all allow none now.
        """
        waits = [self._permits.wait_s(item) for item in self._replicas(Stage.DECODE)]
        return None if 0.0 in waits else min(waits, default=None)

    def _permitted(self, stage: Stage) -> list[Replica]:
        """Return the usable replicas to which a request may be sent now."""
        return [
            replica
            for replica in self._replicas(stage)
            if self._permits.wait_s(replica) == 0.0
        ]

    def _granted_replicas(self, grant: PlacementGrant) -> list[Replica]:
        names = {grant.decode, grant.prefill}
        return [
            replica
            for stage in Stage
            for replica in self._replicas(stage)
            if replica.id in names
        ]

    def use_permits(self, grant: PlacementGrant) -> None:
        """Count the requests of a new lease under its replicas' limits."""
        for replica in self._granted_replicas(grant):
            self._permits.record_use(replica)

    def give_back_permits(self, grant: PlacementGrant) -> None:
        """Undo ``use_permits`` for a lease that ended before a request was sent."""
        for replica in self._granted_replicas(grant):
            self._permits.give_back(replica)

    def snapshot(self, now: float, queued_prompt_tokens: int) -> PoolSnapshot:
        """Return a snapshot of the replicas to which a request may be sent now."""
        if self.engine is None:
            return PoolSnapshot((), ())
        local_prefills = self._leases.local_prefills(now)
        spread = round(self._estimator.spread, SPREAD_DIGITS)
        speeds = self._estimator.speeds
        prefill_speed = sum(
            speeds.factor(replica, Stage.PREFILL, now)
            for replica in self._replicas(Stage.PREFILL)
        )
        return PoolSnapshot(
            tuple(
                self._decode_snapshot(
                    replica, replica.id in local_prefills, spread, now
                )
                for replica in self._permitted(Stage.DECODE)
                if not self._backoff.is_unreachable(replica.id, now)
            ),
            self._prefill_snapshots(now),
            self._estimator.prefill_s(queued_prompt_tokens) / (prefill_speed or 1.0),
        )

    def _decode_snapshot(
        self, replica: Replica, prefilling: bool, spread: float, now: float
    ) -> DecodeSnapshot:
        """Return a replica's snapshot, a recent one if nothing has changed since.

        The load it answers: a burst of requests, each of which asks all replicas.
        """
        conditions = (
            self._leases.changes(replica.id),
            replica,
            prefilling,
            spread,
            self._balancer.is_suspect(replica, now),
            self._backoff.in_backoff(replica.id, now),
            self._permits.is_limited(replica),
        )
        kept = self._kept.get(replica.id)
        if (
            kept is not None
            and kept.conditions == conditions
            and 0 <= now - kept.taken_at <= SNAPSHOT_MAX_AGE_S
        ):
            return kept.snapshot
        snapshot = self._take_snapshot(replica, prefilling, spread, now)
        self._kept[replica.id] = _KeptSnapshot(now, conditions, snapshot)
        return snapshot

    def _take_snapshot(
        self, replica: Replica, prefilling: bool, spread: float, now: float
    ) -> DecodeSnapshot:
        lease_totals = self._leases.lease_totals(replica.id)
        speeds = self._estimator.speeds
        speed = speeds.factor(replica, Stage.DECODE, now)
        return DecodeSnapshot(
            replica_id=replica.id,
            data_centre=replica.data_centre,
            kv_tokens=self.engine.kv_tokens,
            free_tokens=self.engine.kv_tokens - lease_totals.tokens,
            generations=self._leases.generations(
                replica.id, now, self._estimator.statistics, speed
            ),
            slots=self.engine.slots,
            spread=spread,
            suspect=self._balancer.is_suspect(replica, now),
            prefilling=prefilling,
            in_backoff=self._backoff.in_backoff(replica.id, now),
            version=replica.version,
            limited=self._permits.is_limited(replica),
            speed=speed,
            prefill_speed=speeds.likely_factor(replica, Stage.PREFILL, now),
        )

    def _prefill_snapshots(self, now: float) -> tuple[PrefillSnapshot, ...]:
        return tuple(
            PrefillSnapshot(
                replica.id,
                replica.data_centre,
                max(0.0, self._prefill_free_at.get(replica.id, 0.0) - now),
                self._balancer.is_suspect(replica, now),
                replica.version,
                self._estimator.speeds.factor(replica, Stage.PREFILL, now),
            )
            for replica in self._permitted(Stage.PREFILL)
        )

    def forget_missing(self) -> None:
        """Drop what is kept of replicas that are not usable any more."""
        usable = {item.id for stage in Stage for item in self._replicas(stage)}
        for kept in (self._kept, self._prefill_free_at):
            for replica_id in kept.keys() - usable:
                del kept[replica_id]

    def prefill_delay_s(self, now: float) -> float:
        """Return by how much a prompt is prefilled later than now at the pool's speed.

        It is the wait for the replica that would prefill a typical prompt first, at
        most PREFILL_LOOKAHEAD_S, and what it takes longer than the mean replica;
        negative if a fast one is free. 0 if there is no prefill replica.
        """
        prompt, _ = self._estimator.statistics.typical
        prefill_s = self._estimator.prefill_s(prompt)
        replicas = self._prefill_snapshots(now)
        if not replicas:
            return 0.0
        first = min(replicas, key=lambda item: item.completion_s(prefill_s))
        extra_s = prefill_s / first.speed - prefill_s
        return min(first.busy_s, PREFILL_LOOKAHEAD_S) + extra_s

    def _find(self, replica_id: str | None, stage: Stage) -> Replica | None:
        """Return a usable replica of a stage by id."""
        return next(
            (item for item in self._replicas(stage) if item.id == replica_id), None
        )

    def started_at_ms(self, decode: str) -> int:
        """Return the start of a usable decode replica; 0 if it isn't usable."""
        replica = self._find(decode, Stage.DECODE)
        return 0 if replica is None else replica.started_at_ms

    def begin_prefill(self, lease: Lease, now: float) -> None:
        """Add the prompt of a new lease to the work of its prefill replica."""
        prefill = lease.grant.prefill
        mean_s = self._estimator.prefill_s(lease.prompt_tokens)
        self._record_speeds(lease, now)
        if prefill is None:
            local_s = LOCAL_PREFILL_FACTOR * mean_s / lease.prefill_speed
            lease.local_prefill_until = now + local_s
            return
        starts_at = max(now, self._prefill_free_at.get(prefill, 0.0))
        lease.prefill_s = mean_s / lease.prefill_speed
        lease.prefill_unit_s = mean_s + (starts_at - now) * lease.prefill_speed
        self._prefill_free_at[prefill] = starts_at + lease.prefill_s
        lease.prefill_pending = True
        lease.prefill_started_at_once = starts_at == now

    def _record_speeds(self, lease: Lease, now: float) -> None:
        """Record a new lease's incarnations and the speed of its prefill."""
        speeds = self._estimator.speeds
        decode = self._find(lease.decode, Stage.DECODE)
        prefill = self._find(lease.grant.prefill, Stage.PREFILL)
        if decode is not None:
            lease.decode_started_at_ms = decode.started_at_ms
        if prefill is not None:
            lease.prefill_started_at_ms = prefill.started_at_ms
            lease.prefill_speed = speeds.factor(prefill, Stage.PREFILL, now)
        elif decode is not None:
            lease.prefill_speed = speeds.likely_factor(decode, Stage.PREFILL, now)

    def cancel_prefill(self, lease: Lease) -> None:
        """Remove the prompt of an ended lease from its prefill replica's work.

        Without effect once the duration of the prefill is known.
        """
        prefill = lease.grant.prefill
        if prefill is not None and lease.prefill_pending:
            free_at = self._prefill_free_at.get(prefill, 0.0)
            self._prefill_free_at[prefill] = free_at - lease.prefill_s

    def record_decode_failure(self, replica_id: str, now: float) -> None:
        """Record a failure of a decode replica."""
        for replica in self._replicas(Stage.DECODE):
            if replica.id == replica_id:
                self._balancer.stats(replica).record_failure(now)
