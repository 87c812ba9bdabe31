"""Runs the schedulers of this daemon and passes messages to them."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial, singledispatchmethod

from marjoramstile.logs import get_logger
from marjoramstile.pools.leases import NO_LEASES, LeaseTotals
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseRenewal,
    PlacementAnswer,
    PlacementCancel,
    PlacementQueued,
    PlacementRefusal,
    PlacementRequest,
    PollLater,
    ProfileUpdate,
    SpeedUpdate,
)
from marjoramstile.pools.permits import UNLIMITED, ReplicaPermits
from marjoramstile.pools.scheduler import PoolScheduler
from marjoramstile.pools.shards import PoolShards
from marjoramstile.pools.shares import WorkspaceShare
from marjoramstile.pools.speeds import ReplicaSpeed
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.requests import RefusalReason
from marjoramstile.routes.table import EngineTraits
from marjoramstile.utils import loop_time

# Period at which queues are processed while no message arrives.
QUEUE_PERIOD_S = 0.02
# Retry time in the refusal of a request for an unknown service or shard.
UNKNOWN_SERVICE_RETRY_S = 1.0
# Shards per pool; messages about higher shard numbers are rejected as invalid.
MAX_SHARDS = 256

Reply = Callable[[PlacementAnswer], None]

logger = get_logger(__name__)


class SchedulerHost:
    """Owns the schedulers of this daemon, one per service and shard, created on demand.

    A timer processes the queues while any request waits.
    """

    def __init__(
        self,
        shards: PoolShards,
        engine_of: Callable[[str], EngineTraits | None],
        balancer: Balancer,
        rng: random.Random,
        permits: ReplicaPermits = UNLIMITED,
        count: Callable[[str, str], None] = lambda name, service: None,
    ):
        """``engine_of`` returns the traits of a service's engines, if it has any.

        ``permits`` tells which replicas may be sent requests under their limits.
        ``count`` adds one to the counter of a name and a service.
        """
        self._count = count
        self._shards = shards
        self._engine_of = engine_of
        self._balancer = balancer
        self._rng = rng
        self._permits = permits
        self._schedulers: dict[tuple[str, int], PoolScheduler] = {}
        self._profiles: dict[str, GenerationProfile] = {}
        self._replies: dict[str, Reply] = {}
        self._timer: asyncio.TimerHandle | None = None

    def scheduler(self, service: str, shard: int) -> PoolScheduler:
        """Return the scheduler of a shard; create it if there is none yet."""
        key = (service, shard)
        if key not in self._schedulers:
            scheduler = PoolScheduler(
                partial(self._shards.usable, service, shard),
                self._balancer,
                self._rng,
                self._permits,
                partial(self._count, service=service),
            )
            if service in self._profiles:
                scheduler.statistics.adopt(self._profiles[service], loop_time())
            self._schedulers[key] = scheduler
        return self._schedulers[key]

    def adopt_profile(self, service: str, profile: GenerationProfile) -> None:
        """Initialise a service's schedulers, present and future ones, with a profile.

        Schedulers that have enough data of their own keep that.
        """
        self._profiles[service] = profile
        for (known, _), scheduler in self._schedulers.items():
            if known == service:
                scheduler.statistics.adopt(profile, loop_time())

    def profile(self, service: str) -> GenerationProfile | None:
        """Return the averages of a service's generations; None if too few are known."""
        scheduler = self._schedulers.get((service, 0))
        return None if scheduler is None else scheduler.statistics.profile()

    def lease_totals(self, replica: Replica) -> LeaseTotals:
        """Return the totals of the leases at a replica in this daemon's schedulers."""
        total = NO_LEASES
        for (service, _), scheduler in self._schedulers.items():
            if service == replica.service:
                lease_totals = scheduler.leases.lease_totals(replica.id)
                total = total.plus(lease_totals.requests, lease_totals.tokens)
        return total

    def speed(self, replica: Replica, stage: Stage) -> float | None:
        """Return a replica's speed relative to its pool; None if unknown here."""
        if replica.stage is None:
            return None
        key = replica.service, self._shards.shard_of(replica)
        scheduler = self._schedulers.get(key)
        if scheduler is None:
            return None
        return scheduler.speeds.known_factor(replica, stage, loop_time())

    def differing_speeds(self, service: str, shard: int) -> list[ReplicaSpeed]:
        """Return the speeds of a shard's replicas that clearly differ."""
        scheduler = self._schedulers.get((service, shard))
        return [] if scheduler is None else scheduler.speeds.differing(loop_time())

    def pop_speed_changes(self) -> Counter[str]:
        """Return how many speeds changed since the last call, by service."""
        changes: Counter[str] = Counter()
        for (service, _), scheduler in self._schedulers.items():
            changes[service] += scheduler.speeds.pop_changes()
        return changes

    def workspace_shares(self) -> Iterator[tuple[str, int, WorkspaceShare]]:
        """Return the service, the shard and the share of each active workspace."""
        for (service, shard), scheduler in self._schedulers.items():
            for share in scheduler.workspace_shares:
                yield service, shard, share

    @singledispatchmethod
    def handle_message(self, message: object, reply: Reply, polls: bool = True) -> None:
        """Handle a message; ``reply`` is called with each answer, now or later.

        ``polls`` means that the sender repeats a request while it is queued.
        TypeError is raised for an object that is not a message to a scheduler.
        """
        raise TypeError(f"not a message to a scheduler: {message!r}")

    @handle_message.register
    def _(self, message: PlacementRequest, reply: Reply, polls: bool = True) -> None:
        engine = self._engine_of(message.service)
        if not self._knows(message.service, message.shard):
            reason = RefusalReason.NO_REPLICA
            reply(PlacementRefusal(message.id, reason, UNKNOWN_SERVICE_RETRY_S))
            return
        self._replies[message.id] = reply
        scheduler = self.scheduler(message.service, message.shard)
        scheduler.ask(message, engine, loop_time(), polls)
        self._deliver(scheduler)

    @handle_message.register
    def _(self, message: PlacementCancel, reply: Reply, polls: bool = True) -> None:
        self._replies.pop(message.id, None)
        if not self._knows(message.service, message.shard):
            return
        scheduler = self.scheduler(message.service, message.shard)
        scheduler.cancel(message, loop_time())
        self._deliver(scheduler)

    @handle_message.register
    def _(self, message: LeaseRenewal, reply: Reply, polls: bool = True) -> None:
        if not self._knows(message.service, message.shard):
            return
        self.scheduler(message.service, message.shard).renew(message, loop_time())

    @handle_message.register
    def _(self, message: LeaseEnd, reply: Reply, polls: bool = True) -> None:
        if not self._knows(message.service, message.shard):
            return
        scheduler = self.scheduler(message.service, message.shard)
        scheduler.end(message, loop_time())
        self._deliver(scheduler)

    @handle_message.register
    def _(self, message: ProfileUpdate, reply: Reply, polls: bool = True) -> None:
        if self._knows(message.service, message.shard):
            scheduler = self.scheduler(message.service, message.shard)
            scheduler.statistics.replace(message.profile, loop_time())

    @handle_message.register
    def _(self, message: SpeedUpdate, reply: Reply, polls: bool = True) -> None:
        if self._knows(message.service, message.shard):
            scheduler = self.scheduler(message.service, message.shard)
            scheduler.speeds.adopt(message.speeds, loop_time())

    def _knows(self, service: str, shard: int) -> bool:
        """Return whether the service has engines and the shard number is valid."""
        return self._engine_of(service) is not None and 0 <= shard < MAX_SHARDS

    def _deliver(self, scheduler: PoolScheduler) -> None:
        for answer in scheduler.pop_answers():
            is_queued = isinstance(answer, (PlacementQueued, PollLater))
            reply = (
                self._replies.get(answer.id)
                if is_queued
                else self._replies.pop(answer.id, None)
            )
            if reply is not None:
                reply(answer)
        self._start_timer()

    def _start_timer(self) -> None:
        """Process the queues again after a period if any request waits."""
        queued = any(item.queued for item in self._schedulers.values())
        if queued and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(QUEUE_PERIOD_S, self._process_queues)

    def _process_queues(self) -> None:
        self._timer = None
        for scheduler in list(self._schedulers.values()):
            if scheduler.queued:
                scheduler.process_queue(loop_time())
                self._deliver(scheduler)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
