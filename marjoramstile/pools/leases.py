"""Leases that a scheduler counts, and their totals by replica and by workspace."""

import itertools
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramstile.pools.memory import Generation
from marjoramstile.pools.messages import LeaseUsage, PlacementGrant
from marjoramstile.pools.statistics import PoolStatistics

# Time after which a lease expires: since the grant if its daemon has never confirmed
# it, and otherwise since its last renewal.
UNCONFIRMED_TTL_S = 1.5
CONFIRMED_TTL_S = 3.0
# Tokens that a generation beyond its expected length is still expected to produce, as
# a fraction of those that it has produced.
OVERRUN_FRACTION = 0.3


@dataclass
class Lease:
    """A lease on memory and a slot of a decode replica, for one generation.

    ``tokens`` is the expected memory, averaged over the generation's duration, and
    ``output_tokens`` the expected length of its output. ``prefill_pending`` means that
    a prefill replica has the prompt and the duration of the prefill is not yet known,
    ``prefill_started_at_once`` that no other prompt was ahead of it.
    ``local_prefill_until`` is when a local prefill by the decode replica is expected
    to end. ``prefill_s`` is the expected time of the prefill without the wait for it,
    by a replica of speed ``prefill_speed`` relative to the pool; ``prefill_unit_s`` is
    that of the wait and the prefill together if it had the pool's speed. The starts of
    the replicas tell their incarnations; 0 if that is not known. ``workspace`` is empty
    if its caller named none. Times are those of the
    event loop's clock.
    """

    id: str
    grant: PlacementGrant
    tokens: int
    prompt_tokens: int
    output_tokens: int
    granted_at: float
    prefill_pending: bool = False
    prefill_started_at_once: bool = False
    local_prefill_until: float = 0.0
    prefill_s: float = 0.0
    prefill_speed: float = 1.0
    prefill_unit_s: float = 0.0
    prefill_started_at_ms: int = 0
    decode_started_at_ms: int = 0
    produced_tokens: int = 0
    decode_s: float = 0.0
    renewed_at: float = 0.0
    confirmed: bool = False
    workspace: str = ""

    @property
    def decode(self) -> str:
        """Id of the decode replica."""
        return self.grant.decode

    @property
    def kv_tokens(self) -> int:
        """Memory of the lease: what is expected, or what is in use if that is more."""
        return max(self.tokens, self.prompt_tokens + self.produced_tokens)

    def generation(
        self, now: float, statistics: PoolStatistics, speed: float = 1.0
    ) -> Generation:
        """Return the expected present state of the generation.

        ``speed`` is that of its decode replica relative to the pool.
        """
        produced = self._produced_tokens(now, statistics, speed)
        remaining = max(self.output_tokens - produced, OVERRUN_FRACTION * produced)
        return Generation(
            self.prompt_tokens + round(produced),
            round(remaining),
            round(produced + remaining),
        )

    def _produced_tokens(
        self, now: float, statistics: PoolStatistics, speed: float
    ) -> float:
        """Return the tokens produced: those reported and those estimated since then."""
        since = self.renewed_at
        if not self.produced_tokens:
            since = (
                self.granted_at + self.prompt_tokens / statistics.prefill_tokens_per_s
            )
        tokens_per_s = speed / statistics.decode_s_per_token
        return self.produced_tokens + max(0.0, now - since) * tokens_per_s

    def is_expired(self, now: float) -> bool:
        """Return whether the lease's daemon has not confirmed or renewed it in time."""
        limit_s = CONFIRMED_TTL_S if self.confirmed else UNCONFIRMED_TTL_S
        return now - self.renewed_at > limit_s


@dataclass(frozen=True)
class LeaseTotals:
    """Number of leases at one replica and their memory, in tokens."""

    requests: int = 0
    tokens: int = 0

    def plus(self, requests: int, tokens: int) -> "LeaseTotals":
        """Return the totals with ``requests`` and ``tokens`` added."""
        return LeaseTotals(self.requests + requests, self.tokens + tokens)


NO_LEASES = LeaseTotals()


class LeaseTable:
    """Leases by id, with totals by replica and workspace that follow each change.

    ``workspace_tokens`` is the memory of the leases by workspace.
    """

    def __init__(self):
        self._leases: dict[str, Lease] = {}
        self._totals: dict[str, LeaseTotals] = defaultdict(LeaseTotals)
        self._by_replica: dict[str, dict[str, Lease]] = defaultdict(dict)
        self._changes: dict[str, int] = {}
        self._change_numbers = itertools.count(1)
        self.workspace_tokens: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._leases)

    def __iter__(self) -> Iterator[Lease]:
        return iter(self._leases.values())

    def get(self, lease_id: str) -> Lease | None:
        """Return a lease by id."""
        return self._leases.get(lease_id)

    def lease_totals(self, replica_id: str) -> LeaseTotals:
        """Return the totals of the leases at a replica."""
        return self._totals.get(replica_id, NO_LEASES)

    def changes(self, replica_id: str) -> int:
        """Return a number that is new after each change of a replica's leases.

        It is 0 for a replica without leases.
        """
        return self._changes.get(replica_id, 0)

    def add(self, lease: Lease) -> None:
        """Add a lease."""
        self._leases[lease.id] = lease
        self._by_replica[lease.decode][lease.id] = lease
        self._count(lease, 1, lease.kv_tokens)

    def remove(self, lease_id: str) -> Lease | None:
        """Remove a lease and return it."""
        lease = self._leases.pop(lease_id, None)
        if lease is not None:
            self._count(lease, -1, -lease.kv_tokens)
            at_replica = self._by_replica[lease.decode]
            del at_replica[lease.id]
            if not at_replica:
                del self._by_replica[lease.decode]
        return lease

    def renew(self, lease: Lease, usage: LeaseUsage, now: float) -> None:
        """Renew a lease with the usage that its daemon reports."""
        before = lease.kv_tokens
        lease.produced_tokens = max(lease.produced_tokens, usage.produced_tokens)
        lease.decode_s = max(lease.decode_s, usage.decode_s)
        lease.renewed_at = now
        lease.confirmed = True
        self._count(lease, 0, lease.kv_tokens - before)

    def expire(self, now: float) -> list[Lease]:
        """Remove the expired leases and return them."""
        expired = [lease for lease in self if lease.is_expired(now)]
        for lease in expired:
            self.remove(lease.id)
        return expired

    def generations(
        self,
        replica_id: str,
        now: float,
        statistics: PoolStatistics,
        speed: float = 1.0,
    ) -> tuple[Generation, ...]:
        """Return the expected present states of the generations at a replica.

        ``speed`` is the replica's in decoding, relative to the pool.
        """
        leases = self._by_replica.get(replica_id, {}).values()
        return tuple(lease.generation(now, statistics, speed) for lease in leases)

    def local_prefills(self, now: float) -> set[str]:
        """Return the ids of the decode replicas that run a local prefill."""
        return {lease.decode for lease in self if lease.local_prefill_until > now}

    def _count(self, lease: Lease, requests: int, tokens: int) -> None:
        self._changes[lease.decode] = next(self._change_numbers)
        total = self._totals[lease.decode].plus(requests, tokens)
        if total == NO_LEASES:
            del self._totals[lease.decode]
            del self._changes[lease.decode]
        else:
            self._totals[lease.decode] = total
        held = self.workspace_tokens.get(lease.workspace, 0) + tokens
        if held:
            self.workspace_tokens[lease.workspace] = held
        else:
            self.workspace_tokens.pop(lease.workspace, None)
