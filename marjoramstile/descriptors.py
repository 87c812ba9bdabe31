"""How a daemon's file descriptors are shared among what needs them."""

import errno
import resource
from dataclasses import dataclass

from marjoramstile.loops import LISTEN_BACKLOG

# Descriptors that are not available to sockets, and their largest share of all.
FILES = 200
FILES_SHARE = 0.2
# Shares of the sockets. Connections to replicas and to the store, calls to peers, and
# connections that are accepted at one time before they are counted, have the rest.
CALLERS_SHARE = 0.4
PEERS_SHARE = 0.15
PEER_ADDRESSES_SHARE = 0.035
ADDRESSES_SHARE = 0.05
READY_SHARE = 0.02
METRICS_SHARE = 0.02
# A listener accepts its whole backlog at one time.
BACKLOG_SHARE = 1 / 8
CONNECTIONS_MIN = 4
PEER_ADDRESSES_MIN = 2
# Taken for the limit of a process that has none.
DESCRIPTORS_MAX = 1_048_576


def is_shortage(error: BaseException) -> bool:
    """Return whether an error says that no descriptor is left."""
    return isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE)


def process_descriptors() -> int:
    """Return how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DESCRIPTORS_MAX if limit == resource.RLIM_INFINITY else limit


@dataclass(frozen=True)
class DescriptorShares:
    """Largest numbers of open connections by what they are for.

    ``callers`` are those of all fronts together, ``peers`` those that peers open.
    ``peer_addresses`` is the number of peers to which connections are kept.
    ``backlog`` is that of each listener.
    """

    callers: int
    addresses: int
    ready: int
    metrics: int
    peers: int
    peer_addresses: int
    backlog: int

    @classmethod
    def of(cls, descriptors: int) -> "DescriptorShares":
        """Return the shares of a number of descriptors."""
        sockets = descriptors - min(FILES, int(descriptors * FILES_SHARE))

        def share(fraction: float, minimum: int = CONNECTIONS_MIN) -> int:
            return max(minimum, int(sockets * fraction))

        return cls(
            callers=share(CALLERS_SHARE),
            addresses=share(ADDRESSES_SHARE),
            ready=share(READY_SHARE),
            metrics=share(METRICS_SHARE),
            peers=share(PEERS_SHARE),
            peer_addresses=share(PEER_ADDRESSES_SHARE, PEER_ADDRESSES_MIN),
            backlog=min(LISTEN_BACKLOG, int(descriptors * BACKLOG_SHARE)),
        )
