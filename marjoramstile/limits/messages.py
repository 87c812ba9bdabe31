"""Messages between daemons about the limits that replicas name, as datagrams.

Lost ones are tolerated: a permit that doesn't arrive is not used, and a limit is
reported again with the next answer that names it.
"""

from dataclasses import dataclass

from marjoramstile.routes.notices import Incarnation


@dataclass(frozen=True)
class LimitedReplica:
    """An incarnation of a replica, and the pool's shard that it belongs to."""

    id: str
    started_at_ms: int
    service: str
    shard: int

    @property
    def incarnation(self) -> Incarnation:
        """The key of this incarnation, as ``notices.incarnation`` returns it."""
        return self.id, self.started_at_ms


@dataclass(frozen=True)
class PermitRequest:
    """Asks for permission to send one request to a replica.

    ``limit_per_s`` is the limit that the sender knows, in requests a second.
    """

    id: str
    replica: LimitedReplica
    limit_per_s: float


@dataclass(frozen=True)
class PermitAnswer:
    """Grants or denies a permit; ``wait_s`` is the time after which to ask again.

    ``limit_per_s`` is the limit in force; None if the replica names none any more.
    """

    id: str
    granted: bool
    limit_per_s: float | None
    wait_s: float


@dataclass(frozen=True)
class PermitUse:
    """Tells the other coordinator of a replica that a permit was granted."""

    replica: LimitedReplica
    limit_per_s: float


@dataclass(frozen=True)
class LimitReport:
    """The limit that a replica's answer named; None if an answer named none.

    A coordinator sends it on to all daemons when a replica begins to name a limit.
    """

    replica: LimitedReplica
    limit_per_s: float | None


LimitMessage = PermitRequest | PermitAnswer | PermitUse | LimitReport
