"""Snapshots of the replicas of a part: what leases and prefills leave of them."""

from collections.abc import Callable

from marjoramstile.pools.backoff import ReplicaPauses
from marjoramstile.pools.decisions import DecodeRoom, PoolRoom, PrefillRoom
from marjoramstile.pools.estimator import PoolKnowledge
from marjoramstile.pools.leases import LOCAL_PREFILL_FACTOR, Lease, LeaseBook
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.table import EngineTraits


class Rooms:
    """The usable replicas of a part with their leases, prefills and pauses."""

    def __init__(
        self,
        replicas: Callable[[Stage], list[Replica]],
        balancer: Balancer,
        leases: LeaseBook,
        backoff: ReplicaPauses,
        estimator: PoolKnowledge,
    ):
        """``replicas`` returns the usable replicas of the part in a stage."""
        self._replicas = replicas
        self._balancer = balancer
        self._leases = leases
        self._pauses = backoff
        self._knowledge = estimator
        self._prefill_free_at: dict[str, float] = {}
        self.engine: EngineTraits | None = None

    @property
    def can_decode(self) -> bool:
        """Whether there is any usable decode replica."""
        return bool(self._replicas(Stage.DECODE))

    def snapshot(self, now: float, queued_prompt_tokens: int) -> PoolRoom:
        """Return the rooms of all usable replicas."""
        if self.engine is None:
            return PoolRoom((), ())
        own_prefills = self._leases.own_prefills(now)
        spread = self._knowledge.spread
        replicas = max(1, len(self._replicas(Stage.PREFILL)))
        return PoolRoom(
            tuple(
                self._decode_room(replica, replica.id in own_prefills, spread, now)
                for replica in self._replicas(Stage.DECODE)
                if not self._pauses.is_lost(replica.id, now)
            ),
            self._prefill_rooms(now),
            self._knowledge.prefill_s(queued_prompt_tokens) / replicas,
        )

    def _decode_room(
        self, replica: Replica, prefilling: bool, spread: float, now: float
    ) -> DecodeRoom:
        lease_totals = self._leases.lease_totals(replica.id)
        return DecodeRoom(
            replica_id=replica.id,
            data_centre=replica.data_centre,
            kv_tokens=self.engine.kv_tokens,
            free_tokens=self.engine.kv_tokens - lease_totals.tokens,
            runs=self._leases.runs(replica.id, now, self._knowledge.statistics),
            slots=self.engine.slots,
            spread=spread,
            doubtful=self._balancer.is_suspect(replica, now),
            prefilling=prefilling,
            full=self._pauses.is_paused(replica.id, now),
        )

    def _prefill_rooms(self, now: float) -> tuple[PrefillRoom, ...]:
        return tuple(
            PrefillRoom(
                replica.id,
                replica.data_centre,
                max(0.0, self._prefill_free_at.get(replica.id, 0.0) - now),
                self._balancer.is_suspect(replica, now),
            )
            for replica in self._replicas(Stage.PREFILL)
        )

    def prefill_busy_s(self, now: float) -> float:
        """Return the time until a prefill replica is free; 0 without any."""
        return min((room.busy_s for room in self._prefill_rooms(now)), default=0.0)

    def begin_prefill(self, lease: Lease, now: float) -> None:
        """Count the prompt of a new lease at the replica that prefills it."""
        prefill = lease.grant.prefill
        prefill_s = self._knowledge.prefill_s(lease.prompt_tokens)
        if prefill is None:
            lease.own_prefill_until = now + LOCAL_PREFILL_FACTOR * prefill_s
            return
        starts_at = max(now, self._prefill_free_at.get(prefill, 0.0))
        self._prefill_free_at[prefill] = starts_at + prefill_s
        lease.prefill_pending = True
        lease.prefilled_at_once = starts_at == now

    def drop_prefill(self, lease: Lease) -> None:
        """Take a prompt that was never prefilled off its replica's work."""
        prefill = lease.grant.prefill
        if prefill is not None and lease.prefill_pending:
            self._prefill_free_at[prefill] -= self._knowledge.prefill_s(
                lease.prompt_tokens
            )

    def record_failure(self, replica_id: str, now: float) -> None:
        """Note that a decode replica did not do what it should."""
        for replica in self._replicas(Stage.DECODE):
            if replica.id == replica_id:
                self._balancer.stats(replica).record_failure(now)
