"""Settings of a routing daemon, independent of the format they are read from."""

import ipaddress
from dataclasses import dataclass

from marjoramstile.quotas.windows import QuotaBounds
from marjoramstile.routes.budget import BudgetLimits

PORT_MAX = 65535


@dataclass(frozen=True)
class Address:
    """An IP address and a TCP port; raises ValueError if either is invalid."""

    host: str
    port: int

    def __post_init__(self):
        ipaddress.ip_address(self.host)
        if not 0 < self.port <= PORT_MAX:
            raise ValueError(f"port {self.port} is not in 1..{PORT_MAX}")

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class RouterListeners:
    """Addresses that a routing daemon listens on.

    ``completions`` is None if that front is disabled.
    """

    front: Address
    ready: Address
    addresses: Address
    peers: Address
    metrics: Address
    completions: Address | None = None


@dataclass(frozen=True)
class RouterBounds:
    """Limits set by the operators of the site.

    ``grace_s`` is the time from the stop signal to the kill; ``lease_s`` the time
    within which only one daemon may give orders; ``heartbeat_s`` the period in which
    replicas renew their rows.
    """

    grace_s: float
    address_ttl_max_s: float
    lease_s: float
    retries: BudgetLimits
    heartbeat_s: float = 1.2
    quotas: QuotaBounds = QuotaBounds()


@dataclass(frozen=True)
class RouterSettings:
    """One VM's routing daemon.

    ``descriptors`` is how many files and sockets the process may open.
    ``hedge_max_share`` is the share of each service's idempotent requests that may be
    sent to a second replica while the first is slow; 0 turns hedging off.
    """

    vm: str
    ip: str
    data_centre: str
    region: str
    listeners: RouterListeners
    store: Address
    bounds: RouterBounds
    memory_bytes: int
    descriptors: int
    log_level: str = "info"
    hedge_max_share: float = 0.0
