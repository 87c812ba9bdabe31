"""The routing table: routes by host and prefix, and the services they lead to."""

import random
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

from marjoramstile.workspaces.table import WorkspaceTable


class RouteKind(StrEnum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of ``host`` whose path begins with ``prefix``.

    ``max_attempts`` limits the replicas that may run one request. ``gap_target_s``
    is the longest gap between events of a stream that is on time; None for other kinds.
    ``public`` requests need no key where the configuration has workspaces.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    resumable: bool
    gap_target_s: float | None
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be run again."""
        return self.kind == RouteKind.IDEMPOTENT or self.resumable

    def pick_service(self, rng: random.Random) -> str:
        """Return one of the route's services by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True)
class EngineTraits:
    """Properties that all engines of a language service share.

    ``kv_tokens`` is the KV memory of one engine, ``hold_max_s`` the longest
    reservation, ``switch_s`` the downtime of a change of stage, ``stride`` the tokens
    of an event, ``handle_ttl_s`` the time for which a prefilled KV cache is kept.
    """

    slots: int
    kv_tokens: int
    hold_max_s: float
    switch_s: float
    stride: int
    handle_ttl_s: float = 0.0


@dataclass(frozen=True)
class RoutedService:
    """A service; ``engine`` is None for plain services."""

    name: str
    engine: EngineTraits | None


# Limits of callers' requests if the configuration states none.
HEAD_MAX_BYTES = 16_384
HEAD_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 15.0


@dataclass(frozen=True)
class EntryLimits:
    """Limits that callers keep within.

    A head may have ``head_max_bytes`` and take ``head_timeout_s``. A connection may be
    idle for four fifths of ``idle_timeout_s`` before it is used again.
    """

    body_max_bytes: int
    head_max_bytes: int = HEAD_MAX_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


@dataclass(frozen=True)
class RoutingTable:
    """One version of the operator's configuration.

    ``workspaces`` is None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: EntryLimits
    workspaces: WorkspaceTable | None = None

    @cached_property
    def longest_timeout_s(self) -> float:
        """The longest timeout of any route."""
        return max((route.timeout_s for route in self.routes), default=0.0)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix, if any."""
        candidates = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(candidates, key=lambda route: len(route.prefix), default=None)
