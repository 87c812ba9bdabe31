"""Leases that a scheduler has granted, and what they promise at each replica."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramstile.pools.decisions import Generation
from marjoramstile.pools.messages import LeaseUsage, PlacementGrant
from marjoramstile.pools.statistics import PoolStatistics

# A lease that its daemon never confirmed, and one that it stopped renewing.
UNCONFIRMED_TTL_S = 1.5
CONFIRMED_TTL_S = 3.0
# What a generation that outgrew its estimate still needs, in parts of what it has.
OVERRUN_FRACTION = 0.3
# A decode replica prefills at half the speed.
LOCAL_PREFILL_FACTOR = 2.0


@dataclass
class Lease:
    """A place that was granted at ``granted_at``.

    ``prefill_pending`` means that a prefill replica has its prompt and the time that
    this took is not known, ``prefill_started_at_once`` that no other prompt was before
    it.
    ``local_prefill_until`` is when the decode replica will have prefilled it itself.
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
    produced_tokens: int = 0
    decode_s: float = 0.0
    renewed_at: float = 0.0
    confirmed: bool = False

    @property
    def decode(self) -> str:
        """The decode replica."""
        return self.grant.decode

    @property
    def kv_tokens(self) -> int:
        """Memory to count for the lease: what was reserved, or more if it has more."""
        return max(self.tokens, self.prompt_tokens + self.produced_tokens)

    def generation(self, now: float, statistics: PoolStatistics) -> Generation:
        """Return the generation as it is expected to be now."""
        produced = self._produced_tokens(now, statistics)
        remaining = max(self.output_tokens - produced, OVERRUN_FRACTION * produced)
        return Generation(
            self.prompt_tokens + round(produced),
            round(remaining),
            round(produced + remaining),
        )

    def _produced_tokens(self, now: float, statistics: PoolStatistics) -> float:
        """Return the tokens produced so far: those told and those since."""
        since = self.renewed_at
        if not self.produced_tokens:
            since = (
                self.granted_at + self.prompt_tokens / statistics.prefill_tokens_per_s
            )
        return (
            self.produced_tokens + max(0.0, now - since) / statistics.decode_s_per_token
        )

    def is_expired(self, now: float) -> bool:
        """Tell whether the daemon that had the lease has forgotten it."""
        limit_s = CONFIRMED_TTL_S if self.confirmed else UNCONFIRMED_TTL_S
        return now - self.renewed_at > limit_s


@dataclass(frozen=True)
class LeaseTotals:
    """Requests and memory, in tokens, that leases promise at one replica."""

    requests: int = 0
    tokens: int = 0

    def plus(self, requests: int, tokens: int) -> "LeaseTotals":
        """Return the sum."""
        return LeaseTotals(self.requests + requests, self.tokens + tokens)


NO_LEASES = LeaseTotals()


class LeaseTable:
    """Leases by id; totals are kept up to date with each change."""

    def __init__(self):
        self._leases: dict[str, Lease] = {}
        self._promised: dict[str, LeaseTotals] = defaultdict(LeaseTotals)
        self._by_replica: dict[str, dict[str, Lease]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._leases)

    def __iter__(self) -> Iterator[Lease]:
        return iter(self._leases.values())

    def get(self, lease_id: str) -> Lease | None:
        """Return a lease by id."""
        return self._leases.get(lease_id)

    def lease_totals(self, replica_id: str) -> LeaseTotals:
        """Return what is promised at a replica."""
        return self._promised.get(replica_id, NO_LEASES)

    def add(self, lease: Lease) -> None:
        """Add a lease."""
        self._leases[lease.id] = lease
        self._by_replica[lease.decode][lease.id] = lease
        self._count(lease.decode, 1, lease.kv_tokens)

    def remove(self, lease_id: str) -> Lease | None:
        """Remove a lease and return it."""
        lease = self._leases.pop(lease_id, None)
        if lease is not None:
            self._count(lease.decode, -1, -lease.kv_tokens)
            at_replica = self._by_replica[lease.decode]
            del at_replica[lease.id]
            if not at_replica:
                del self._by_replica[lease.decode]
        return lease

    def renew(self, lease: Lease, usage: LeaseUsage, now: float) -> None:
        """Take what a daemon says of its lease."""
        before = lease.kv_tokens
        lease.produced_tokens = max(lease.produced_tokens, usage.produced_tokens)
        lease.decode_s = max(lease.decode_s, usage.decode_s)
        lease.renewed_at = now
        lease.confirmed = True
        self._count(lease.decode, 0, lease.kv_tokens - before)

    def expire(self, now: float) -> list[Lease]:
        """Remove the leases that are no longer renewed and return them."""
        expired = [lease for lease in self if lease.is_expired(now)]
        for lease in expired:
            self.remove(lease.id)
        return expired

    def generations(
        self, replica_id: str, now: float, statistics: PoolStatistics
    ) -> tuple[Generation, ...]:
        """Return the generations at a replica as they are expected to be now."""
        leases = self._by_replica.get(replica_id, {}).values()
        return tuple(lease.generation(now, statistics) for lease in leases)

    def local_prefills(self, now: float) -> set[str]:
        """Return the decode replicas that prefill a prompt themselves."""
        return {lease.decode for lease in self if lease.local_prefill_until > now}

    def _count(self, replica_id: str, requests: int, tokens: int) -> None:
        total = self._promised[replica_id].plus(requests, tokens)
        if total == NO_LEASES:
            del self._promised[replica_id]
        else:
            self._promised[replica_id] = total
