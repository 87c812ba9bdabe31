"""Work that all daemons have at each replica, as far as this one has heard.

Each daemon tells the others its own part in short digests. A digest replaces the one
before; one that was not renewed for a while no longer counts, so that the work of a
daemon that ended is forgotten.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

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


@dataclass(frozen=True)
class _Heard:
    digest: LoadDigest
    at: float


class FleetLoads:
    """This daemon's own work, the others' digests, and the totals of both.

    Totals are kept up to date with each change, so that a look-up costs the same
    whatever the number of daemons.
    """

    def __init__(self, vm: str, incarnation: str):
        self._vm = vm
        self._incarnation = incarnation
        self._own: dict[str, ReplicaLoad] = {}
        self._own_waiting: Counter[str] = Counter()
        self._totals: dict[str, ReplicaLoad] = {}
        self._waiting: Counter[str] = Counter()
        self._heard: OrderedDict[str, _Heard] = OrderedDict()
        self._sequence = 0
        self._changed = False

    @property
    def changed(self) -> bool:
        """Whether own work changed since the last digest."""
        return self._changed

    def add(self, replica_id: str, load: ReplicaLoad) -> None:
        """Add own work at a replica."""
        _add(self._own, replica_id, load)
        _add(self._totals, replica_id, load)
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
        self._note_waiting(service, 1)
        try:
            yield
        finally:
            self._note_waiting(service, -1)

    def _note_waiting(self, service: str, change: int) -> None:
        self._own_waiting[service] += change
        self._waiting[service] += change
        self._changed = True

    def digest(self) -> LoadDigest:
        """Return the next digest of own work."""
        self._sequence += 1
        self._changed = False
        waiting = {key: count for key, count in self._own_waiting.items() if count}
        return LoadDigest(
            self._vm, self._incarnation, self._sequence, dict(self._own), waiting
        )

    def hear(self, digest: LoadDigest, now: float) -> None:
        """Take another daemon's digest unless a newer one was heard."""
        if digest.vm == self._vm:
            return
        known = self._heard.get(digest.vm)
        if (
            known is not None
            and known.digest.incarnation == digest.incarnation
            and known.digest.sequence >= digest.sequence
        ):
            return
        if known is not None:
            self._forget(digest.vm)
        self._heard[digest.vm] = _Heard(digest, now)
        for replica_id, load in digest.replicas.items():
            _add(self._totals, replica_id, load)
        self._waiting.update(digest.waiting)

    def _forget(self, vm: str) -> None:
        digest = self._heard.pop(vm).digest
        for replica_id, load in digest.replicas.items():
            _add(self._totals, replica_id, NO_LOAD - load)
        self._waiting.subtract(digest.waiting)

    def _expire(self, now: float) -> None:
        """Forget digests that were not renewed; the oldest come first."""
        while self._heard:
            vm, heard = next(iter(self._heard.items()))
            if now - heard.at <= EXPIRY_S:
                return
            self._forget(vm)

    def load_of(self, replica_id: str, now: float) -> ReplicaLoad:
        """Return the work of all daemons at a replica."""
        self._expire(now)
        return self._totals.get(replica_id, NO_LOAD)

    def waiting_for(self, service: str, now: float) -> int:
        """Return the timely requests that wait for room at all daemons."""
        self._expire(now)
        return self._waiting[service]


def _add(loads: dict[str, ReplicaLoad], replica_id: str, load: ReplicaLoad) -> None:
    total = loads.get(replica_id, NO_LOAD) + load
    if total == NO_LOAD:
        loads.pop(replica_id, None)
    else:
        loads[replica_id] = total
