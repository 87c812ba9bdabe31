"""Decides which requests may be sent to replicas that name a limit.

A limit binds all daemons together. The two daemons that rank first for a replica's
shard coordinate it: the first one is asked, and each tells the other of the permits it
grants, so that both count all requests whichever of them is asked. Any other daemon
that has to decide, for itself or for one with another view, uses its equal share of
the limit; so does one that reaches only a minority of the daemons, since the others
have a coordinator too. The state is soft: it is learned again from answers and
requests.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod

from marjoramstile.limits.messages import (
    LimitedReplica,
    LimitMessage,
    LimitReport,
    PermitAnswer,
    PermitRequest,
    PermitUse,
)
from marjoramstile.limits.table import LimitTable, ReplicaLimit
from marjoramstile.membership.view import View
from marjoramstile.pools.client import PoolSender
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.routes.notices import incarnation
from marjoramstile.routes.replica_types import Replica
from marjoramstile.utils import loop_time

# Daemons that coordinate a replica's limit, the first ones by rank.
COORDINATORS = 2
# Wait while the number of daemons is not known yet.
UNKNOWN_FLEET_WAIT_S = 1.0


@dataclass(frozen=True)
class PermitDecision:
    """Whether a request may be sent to a replica, and if not, when to ask again."""

    granted: bool
    wait_s: float = 0.0


GRANTED = PermitDecision(True)


class LimitCoordinator:
    """Keeps the limits that this daemon knows, and grants permits under them."""

    def __init__(
        self,
        view: View,
        selector: SchedulerSelector,
        shards: PoolShards,
        sender: PoolSender,
        daemon_count: Callable[[], int | None],
        rng: random.Random,
    ):
        """``daemon_count`` returns None while the other daemons are unknown."""
        self._view = view
        self._selector = selector
        self._shards = shards
        self._sender = sender
        self._daemon_count = daemon_count
        self._rng = rng
        self._table = LimitTable(rng)
        self._generation = -1
        self._told_generation = -1
        self._told: dict[str, str] = {}
        self._reaches_majority = False

    def limit_per_s(self, replica: Replica) -> float | None:
        """Return the limit that a replica is known to name, if any."""
        limit = self._table.get(incarnation(replica))
        return None if limit is None else limit.limit_per_s

    def describe(self, replica: Replica) -> LimitedReplica:
        """Return what messages say of a replica."""
        shard = self._shards.shard_of(replica)
        return LimitedReplica(replica.id, replica.started_at_ms, replica.service, shard)

    def coordinators(self, replica: LimitedReplica) -> tuple[str, ...]:
        """Return the VMs of the daemons that coordinate a replica's limit."""
        return self._selector.ranked(replica.service, replica.shard)[:COORDINATORS]

    def record_limit(self, replica: Replica, limit_per_s: float) -> None:
        """Record an answer that names a limit, and tell the coordinators."""
        limited = self.describe(replica)
        self._record(limited, limit_per_s)
        self._tell_coordinators(limited, LimitReport(limited, limit_per_s))

    def record_no_limit(self, replica: Replica, sent_at: float) -> None:
        """Record an answer without a limit, and tell the coordinators if that is new.

        It is ignored if its request was sent before the limit had begun.
        """
        limit = self._table.get(incarnation(replica))
        if limit is None or sent_at < limit.began_at:
            return
        limited = self.describe(replica)
        self._table.end(limited)
        self._tell_coordinators(limited, LimitReport(limited, None))

    def record_ended(self, replica: Replica) -> None:
        """Record that a coordinator knows of no limit any more."""
        self._table.end(self.describe(replica))

    def _record(self, replica: LimitedReplica, limit_per_s: float) -> None:
        """Record a limit; the first coordinator tells all daemons when one begins."""
        if not self._table.record(replica, limit_per_s, loop_time()):
            return
        if self.coordinators(replica)[:1] == (self._own_vm,):
            for peer in self._view.others:
                if peer.presumed_alive:
                    self._sender.send(peer, LimitReport(replica, limit_per_s))

    def tell_newcomers(self) -> None:
        """Tell daemons that were not known before of limits; called periodically."""
        if self._told_generation == self._view.generation:
            return
        self._told_generation = self._view.generation
        newcomers = [
            peer
            for peer in self._view.others
            if peer.presumed_alive
            and peer.incarnation
            and self._told.get(peer.vm.name) != peer.incarnation
        ]
        self._told |= {peer.vm.name: peer.incarnation for peer in newcomers}
        for limit in self._table.in_force:
            if self.coordinators(limit.replica)[:1] == (self._own_vm,):
                for peer in newcomers:
                    self._sender.send(
                        peer, LimitReport(limit.replica, limit.limit_per_s)
                    )

    def _tell_coordinators(
        self, replica: LimitedReplica, message: LimitMessage
    ) -> None:
        for vm in self.coordinators(replica):
            peer = self._view.get(vm)
            if peer is not None and vm != self._own_vm:
                self._sender.send(peer, message)

    @property
    def _own_vm(self) -> str:
        return self._view.own.vm.name

    def decide(self, replica: LimitedReplica) -> PermitDecision:
        """Grant or deny a permit for one request."""
        limit = self._table.get(replica.incarnation)
        if limit is None:
            return GRANTED
        now = loop_time()
        if self._wait_s(replica, limit, now) > 0:
            return PermitDecision(False, self._return_s(replica, limit, now))
        self._use(replica, limit, now)
        return GRANTED

    def _coordinates(self, replica: LimitedReplica) -> bool:
        """Return whether this daemon may grant the permits of all daemons."""
        if self._daemon_count() is None or not self._in_majority():
            return False
        return self._own_vm in self.coordinators(replica)

    def _in_majority(self) -> bool:
        """Return whether most daemons are alive to this one; counts once per change."""
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            peers = self._view.peers
            alive = sum(peer.presumed_alive for peer in peers)
            self._reaches_majority = 2 * alive > len(peers)
        return self._reaches_majority

    def _wait_s(
        self, replica: LimitedReplica, limit: ReplicaLimit, now: float
    ) -> float:
        """Return the time until this daemon may grant a permit; 0 if it may now."""
        if self._coordinates(replica):
            return limit.bucket.wait_s(now)
        daemons = self._daemon_count()
        if daemons is None:
            return UNKNOWN_FLEET_WAIT_S
        return limit.share.wait_s(limit.limit_per_s, daemons, now)

    def _return_s(
        self, replica: LimitedReplica, limit: ReplicaLimit, now: float
    ) -> float:
        if self._coordinates(replica):
            daemons = len(self._view.peers)
            return limit.bucket.promise_s(daemons, self._rng, now)
        return self._wait_s(replica, limit, now)

    def _use(self, replica: LimitedReplica, limit: ReplicaLimit, now: float) -> None:
        """Count a permit here and at the other coordinator."""
        limit.bucket.record_use(now)
        limit.share.record_use(limit.limit_per_s, self._daemon_count() or 1, now)
        self._tell_coordinators(replica, PermitUse(replica, limit.limit_per_s))

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a replica is known to name a limit."""
        return self._table.get(incarnation(replica)) is not None

    def wait_s(self, replica: Replica) -> float:
        """Return the time until this daemon may send a request to a replica."""
        limit = self._table.get(incarnation(replica))
        if limit is None:
            return 0.0
        return self._wait_s(self.describe(replica), limit, loop_time())

    def record_use(self, replica: Replica) -> None:
        """Count a request that this daemon's scheduler has placed."""
        limit = self._table.get(incarnation(replica))
        if limit is not None:
            self._use(self.describe(replica), limit, loop_time())

    def give_back(self, replica: Replica) -> None:
        """Return the permit of a request that was placed and not sent."""
        limit = self._table.get(incarnation(replica))
        if limit is not None:
            limit.bucket.give_back(loop_time())

    def forget_missing(self, known: Iterable[Replica]) -> None:
        """Drop the limits of replicas that are gone."""
        self._table.forget_missing(map(incarnation, known), loop_time())

    @singledispatchmethod
    def handle_message(
        self, message: object, reply: Callable[[PermitAnswer], None]
    ) -> None:
        """Handle another daemon's message; ``reply`` sends an answer to it."""
        raise TypeError(f"not a message about limits: {message!r}")

    @handle_message.register
    def _(self, message: PermitRequest, reply: Callable[[PermitAnswer], None]) -> None:
        replica = message.replica
        self._table.adopt(replica, message.limit_per_s, loop_time())
        decision = self.decide(replica)
        limit = self._table.get(replica.incarnation)
        limit_per_s = None if limit is None else limit.limit_per_s
        reply(PermitAnswer(message.id, decision.granted, limit_per_s, decision.wait_s))

    @handle_message.register
    def _(self, message: PermitUse, reply: Callable[[PermitAnswer], None]) -> None:
        replica = message.replica
        now = loop_time()
        self._table.adopt(replica, message.limit_per_s, now)
        limit = self._table.get(replica.incarnation)
        if limit is not None:
            limit.bucket.record_use(now)

    @handle_message.register
    def _(self, message: LimitReport, reply: Callable[[PermitAnswer], None]) -> None:
        if message.limit_per_s is None:
            self._table.end(message.replica)
        else:
            self._record(message.replica, message.limit_per_s)
