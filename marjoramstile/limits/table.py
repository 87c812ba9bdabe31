"""Limits that replicas name, as one daemon knows them."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstile.limits.messages import LimitedReplica
from marjoramstile.limits.pacing import FairShare, TokenBucket
from marjoramstile.logs import get_logger
from marjoramstile.routes.notices import Incarnation

# Time for which a limit is kept before its replica's row has been read.
UNLISTED_KEPT_S = 10.0

logger = get_logger(__name__)


@dataclass
class ReplicaLimit:
    """A replica's limit in requests a second; None once it has ended.

    ``replica`` is whose it is, ``began_at`` the loop time at which this daemon learned
    of it.
    ``bucket`` paces the requests of all daemons, ``share`` those of this one alone.
    """

    replica: LimitedReplica
    limit_per_s: float | None
    began_at: float
    bucket: TokenBucket
    share: FairShare


class LimitTable:
    """Limits by incarnation of a replica; ended ones are kept as ended."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._limits: dict[Incarnation, ReplicaLimit] = {}

    def get(self, key: Incarnation) -> ReplicaLimit | None:
        """Return the limit in force; None if there is none."""
        limit = self._limits.get(key)
        return None if limit is None or limit.limit_per_s is None else limit

    @property
    def in_force(self) -> list[ReplicaLimit]:
        """All limits in force."""
        limits = self._limits.values()
        return [limit for limit in limits if limit.limit_per_s is not None]

    def adopt(self, replica: LimitedReplica, limit_per_s: float, now: float) -> None:
        """Take over what another daemon knows, unless something is known here."""
        if replica.incarnation not in self._limits:
            self.record(replica, limit_per_s, now)

    def end(self, replica: LimitedReplica) -> None:
        """Record that a replica names no limit any more."""
        known = self.get(replica.incarnation)
        if known is not None:
            known.limit_per_s = None
            logger.info("replica_limit_ended", replica=replica.id)

    def record(self, replica: LimitedReplica, limit_per_s: float, now: float) -> bool:
        """Record a limit that a replica names; return whether it has begun."""
        key = replica.incarnation
        known = self.get(key)
        if known is None:
            bucket = TokenBucket(limit_per_s, now)
            self._limits[key] = ReplicaLimit(
                replica, limit_per_s, now, bucket, FairShare(self._rng)
            )
        elif known.limit_per_s != limit_per_s:
            known.limit_per_s = limit_per_s
            known.bucket.set_limit(limit_per_s, now)
        else:
            return False
        logger.info("replica_named_limit", replica=replica.id, limit_per_s=limit_per_s)
        return known is None

    def forget_missing(self, known: Iterable[Incarnation], now: float) -> None:
        """Drop the limits of incarnations that are not ``known``, except new ones."""
        for key in self._limits.keys() - set(known):
            if now - self._limits[key].began_at > UNLISTED_KEPT_S:
                del self._limits[key]
