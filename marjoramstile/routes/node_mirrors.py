"""The store's tables that a routing daemon mirrors, and how each is followed."""

import random
from dataclasses import dataclass

from marjoramstile.membership.nodes import NODES_TABLE
from marjoramstile.membership.view import View
from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.mirrors.lag import LagDetector
from marjoramstile.mirrors.mirror import DocumentMirror, RestorePolicy, TableMirror
from marjoramstile.mirrors.peers import PeerChangeSource
from marjoramstile.peers.membership_client import MembershipClient
from marjoramstile.ports.feeds import TableFeed
from marjoramstile.routes.order_rows import ORDERS_TABLE
from marjoramstile.utils import BackgroundTasks

# Wait of a feed call. A silent connection to the store is detected within this plus a
# call's timeout, which is sooner than the bounds on configuration and leaving.
FEED_WAIT_S = 1.2
# For tables that change rarely and whose changes may arrive late.
QUIET_FEED_WAIT_S = 8.0
QUIET_RELAY_PAUSE_S = 1.0
# Pause between two requests to a reader for tables that must be current.
RELAY_PAUSE_S = 0.35
# Replicas write often, and daemons all at once when a fleet starts: their changes are
# batched for this long.
REPLICAS_PAUSE_S = 0.6
NODES_PAUSE_S = 0.8
# Heartbeats that a replica misses until its row expires, and the time until daemons see
# that it has.
HEARTBEATS_MISSED = 3
EXPIRY_MARGIN_S = 1.0
# Time after a restore of the store in which all daemons write their rows again.
NODES_REWRITE_S = 5.0

Mirror = DocumentMirror | TableMirror


@dataclass(frozen=True)
class _Pace:
    """Wait of a feed call, and pauses between calls to the store and to a reader."""

    wait_s: float
    pause_s: float
    relay_pause_s: float


class NodeMirrors:
    """Mirrors of the configuration, the replicas, the daemons and the orders."""

    def __init__(
        self,
        configuration: DocumentMirror,
        replicas_table: str,
        heartbeat_s: float,
    ):
        expiry_s = HEARTBEATS_MISSED * heartbeat_s + EXPIRY_MARGIN_S
        self.configuration = configuration
        self.replicas = TableMirror(
            replicas_table, RestorePolicy(hold_returned_s=expiry_s)
        )
        self.nodes = TableMirror(NODES_TABLE, RestorePolicy(NODES_REWRITE_S))
        self.orders = TableMirror(ORDERS_TABLE)

    @property
    def by_table(self) -> dict[str, Mirror]:
        """All mirrors, by their tables."""
        mirrors = (self.configuration, self.replicas, self.nodes, self.orders)
        return {mirror.table: mirror for mirror in mirrors}

    def follow(
        self, feed: TableFeed, peers: PeerChangeSource, rng: random.Random
    ) -> dict[str, MirrorFollower]:
        """Return a follower of each table, with its own wait and pauses."""
        paces = {
            self.configuration.table: _Pace(FEED_WAIT_S, 0.0, RELAY_PAUSE_S),
            self.replicas.table: _Pace(FEED_WAIT_S, REPLICAS_PAUSE_S, RELAY_PAUSE_S),
            self.nodes.table: _Pace(
                QUIET_FEED_WAIT_S, NODES_PAUSE_S, QUIET_RELAY_PAUSE_S
            ),
            self.orders.table: _Pace(QUIET_FEED_WAIT_S, 0.0, QUIET_RELAY_PAUSE_S),
        }
        return {
            table: MirrorFollower(
                feed,
                mirror,
                peers,
                paces[table].wait_s,
                paces[table].pause_s,
                paces[table].relay_pause_s,
                rng,
                deferrable=paces[table].relay_pause_s > RELAY_PAUSE_S,
            )
            for table, mirror in self.by_table.items()
        }

    def detect_lag(
        self, view: View, client: MembershipClient, tasks: BackgroundTasks
    ) -> LagDetector:
        """Return what finds out that tables that must be current are behind."""
        current = (self.configuration, self.replicas)
        return LagDetector(
            {mirror.table: mirror for mirror in current}, view, client, tasks
        )
