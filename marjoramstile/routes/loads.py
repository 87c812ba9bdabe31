"""Work that all daemons have at each replica, as far as this one has heard.

Each daemon tells the others its own part in short digests. A digest replaces the one
before; one that was not renewed for a while no longer counts, so that the work of a
daemon that ended is forgotten.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field

# Digests are renewed at least this often, and count for a few renewals.
RENEW_S = 0.5
EXPIRY_S = 1.6


@dataclass(frozen=True)
class ReplicaLoad:
    """Work at one replica: running generations, their memory, prompts to prefill."""

    requests: int = 0
    kv_tokens: int = 0
    prefill_tokens: int = 0

    def __add__(self, other: "ReplicaLoad") -> "ReplicaLoad":
        return ReplicaLoad(
            self.requests + other.requests,
            self.kv_tokens + other.kv_tokens,
            self.prefill_tokens + other.prefill_tokens,
        )

    def __sub__(self, other: "ReplicaLoad") -> "ReplicaLoad":
        return ReplicaLoad(
            self.requests - other.requests,
            self.kv_tokens - other.kv_tokens,
            self.prefill_tokens - other.prefill_tokens,
        )


NO_LOAD = ReplicaLoad()


@dataclass(frozen=True)
class LoadDigest:
    """One daemon's work by replica id, and timely requests waiting by service."""

    vm: str
    incarnation: str
    sequence: int
    replicas: Mapping[str, ReplicaLoad]
    waiting: Mapping[str, int]


@dataclass
class _Heard:
    digest: LoadDigest
    at: float


@dataclass
class FleetLoads:
    """This daemon's own work and the digests of the others."""

    vm: str
    incarnation: str
    _own: dict[str, ReplicaLoad] = field(default_factory=dict)
    _waiting: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    _heard: dict[str, _Heard] = field(default_factory=dict)
    _sequence: int = 0
    _changed: bool = False

    @property
    def changed(self) -> bool:
        """Whether own work changed since the last digest."""
        return self._changed

    def add(self, replica_id: str, load: ReplicaLoad) -> None:
        """Add own work at a replica."""
        total = self._own.get(replica_id, NO_LOAD) + load
        if total == NO_LOAD:
            self._own.pop(replica_id, None)
        else:
            self._own[replica_id] = total
        self._changed = True

    def remove(self, replica_id: str, load: ReplicaLoad) -> None:
        """Take own work at a replica away."""
        self.add(replica_id, NO_LOAD - load)

    @contextmanager
    def counted(self, replica_id: str, load: ReplicaLoad) -> Iterator[None]:
        """Count own work at a replica for as long as the block runs."""
        self.add(replica_id, load)
        try:
            yield
        finally:
            self.remove(replica_id, load)

    @contextmanager
    def waiting(self, service: str) -> Iterator[None]:
        """Count a timely request that waits for room."""
        self._waiting[service] += 1
        self._changed = True
        try:
            yield
        finally:
            self._waiting[service] -= 1
            self._changed = True

    def digest(self) -> LoadDigest:
        """Return the next digest of own work."""
        self._sequence += 1
        self._changed = False
        waiting = {service: count for service, count in self._waiting.items() if count}
        return LoadDigest(
            self.vm, self.incarnation, self._sequence, dict(self._own), waiting
        )

    def hear(self, digest: LoadDigest, now: float) -> None:
        """Take another daemon's digest unless a newer one was heard."""
        if digest.vm == self.vm:
            return
        known = self._heard.get(digest.vm)
        if (
            known is not None
            and known.digest.incarnation == digest.incarnation
            and known.digest.sequence >= digest.sequence
        ):
            return
        self._heard[digest.vm] = _Heard(digest, now)

    def _current(self, now: float) -> Iterator[LoadDigest]:
        for vm, heard in list(self._heard.items()):
            if now - heard.at > EXPIRY_S:
                del self._heard[vm]
            else:
                yield heard.digest

    def load_of(self, replica_id: str, now: float) -> ReplicaLoad:
        """Return the work of all daemons at a replica."""
        total = self._own.get(replica_id, NO_LOAD)
        for digest in self._current(now):
            total = total + digest.replicas.get(replica_id, NO_LOAD)
        return total

    def waiting_for(self, service: str, now: float) -> int:
        """Return the timely requests that wait for room at all daemons."""
        others = sum(digest.waiting.get(service, 0) for digest in self._current(now))
        return self._waiting[service] + others
