"""Reserves a decode replica with capacity for a whole generation before its prefill.

The pool's scheduler chooses the replica; the replica itself has the final decision: it
accepts or refuses a reservation of a slot and memory.
"""

import asyncio
from dataclasses import dataclass, replace

from marjoramstile.logs import get_logger
from marjoramstile.pools.client import HeldLease, PoolClient
from marjoramstile.pools.messages import (
    LeaseOutcome,
    PlacementRefusal,
    PlacementRequest,
)
from marjoramstile.routes.failures import FailureRecorder
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    Hold,
    OutdatedChoiceError,
    RefusalReason,
    ReplicaError,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.routes.table import EngineTraits
from marjoramstile.utils import BackgroundTasks, loop_time
from marjoramstile.workspaces.table import Workspace

# Tokens reserved for the answer, as a share of the caller's estimate: averaged over its
# run, a generation holds half of its answer.
OUTPUT_MARGIN = 0.65
HOLD_TTL_S = 2.0
# A reservation that ends sooner is renewed before it is used.
HOLD_MARGIN_S = 0.1
# Grants that one request may try to turn into a reservation.
TRIES_MAX = 6
# Tries without a pause; the pause before later ones doubles each time up to a maximum.
IMMEDIATE_TRIES = 2
RETRY_PAUSE_S = 0.03
RETRY_PAUSE_MAX_S = 0.12
RETRY_AFTER_S = 1.0
# A version that has left the list may come back if its row has only expired.
VERSION_RETRY_S = 2.0
FINGERPRINT_CHARACTERS = 16
# Weight of the fair share of a workspace whose requests no quota limits.
DEFAULT_WEIGHT = 1.0

logger = get_logger(__name__)


@dataclass(frozen=True)
class Placement:
    """A decode replica with a reservation for one generation.

    The reservation ends at loop time ``expires_at``.
    """

    replica: Replica
    hold: Hold
    lease: HeldLease
    expires_at: float

    @property
    def prefill(self) -> str | None:
        """Id of the replica that should prefill; None if the decode replica does it."""
        return self.lease.grant.prefill


class DecodePlacer:
    """Reserves capacity at the decode replicas that the pool's scheduler grants."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        client: ReplicaClient,
        pool: PoolClient,
        failures: FailureRecorder,
        links: ReplicaLinks,
        tasks: BackgroundTasks,
    ):
        self._directory = directory
        self._client = client
        self._pool = pool
        self._failures = failures
        self._links = links
        self._tasks = tasks

    async def place(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        resumed: bool,
        avoid: frozenset[str],
        version: str | None = None,
    ) -> Placement:
        """Return a replica with a reservation for the request.

        ``avoid`` has the ids of replicas that failed for this request, ``version`` is
        the only software version that may run it; None if any may.
        Raises RequestRefusedError if no reservation is made in time.
        """
        self._raise_if_paused(request)
        if version is not None:
            avoid |= self._other_versions(request.service, version)
        pool_request = self._build_request(request, engine, resumed, avoid)
        for try_number in range(TRIES_MAX):
            await asyncio.sleep(_pause_before_s(try_number))
            lease = await self._pool.ask(pool_request)
            if isinstance(lease, PlacementRefusal):
                raise self._refusal_error(request, lease)
            placement = await self._reserve(request, engine, lease, version)
            if placement is not None:
                return placement
            if self._links.lost:
                break
            pool_request = self._build_next_request(
                pool_request, request, lease, version
            )
        raise RequestRefusedError(RefusalReason.SHED, RETRY_AFTER_S)

    def _other_versions(self, service: str, version: str) -> frozenset[str]:
        """Return the ids of a service's engines of other versions.

        Raises RequestRefusedError if no decode replica of this one is left.
        """
        expected = self._directory.expected_stages(service)
        own = [replica for replica, _ in expected if replica.version == version]
        stages = {stage for replica, stage in expected if replica in own}
        if Stage.DECODE not in stages:
            raise RequestRefusedError(RefusalReason.VERSION_GONE, VERSION_RETRY_S)
        return frozenset(
            replica.id for replica, _ in expected if replica.version != version
        )

    @staticmethod
    def _refusal_error(
        request: RoutedRequest, refusal: PlacementRefusal
    ) -> RequestRefusedError:
        """Return the caller's error; the logged id is also in the scheduler's log."""
        logger.info(
            "no_place",
            request=request.id,
            place=refusal.id,
            service=request.service,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            waited_s=round(loop_time() - request.arrived, 3),
        )
        return RequestRefusedError(refusal.reason, refusal.retry_after_s)

    def _raise_if_paused(self, request: RoutedRequest) -> None:
        """Raise if all decode replicas stay paused for longer than the target."""
        pause_s = self._directory.pause_left_s(
            request.service, Stage.DECODE, loop_time()
        )
        if pause_s is not None and pause_s >= request.route.target_latency_s:
            raise RequestRefusedError(RefusalReason.PAUSED, pause_s)

    def _build_request(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        resumed: bool,
        avoid: frozenset[str],
    ) -> PlacementRequest:
        now = loop_time()
        workspace = request.workspace
        return PlacementRequest(
            id=self._pool.new_id(),
            service=request.service,
            shard=self._pool.choose_shard(request.service, avoid),
            content=request.content[:FINGERPRINT_CHARACTERS],
            data_centre=self._pool.data_centre,
            tokens=reserved_tokens(request, engine),
            prompt_tokens=request.size.prompt,
            output_tokens=request.size.expected_output,
            priority=request.route.priority,
            target_s=request.route.target_latency_s,
            waited_s=now - request.arrived,
            time_left_s=request.deadline - now,
            resumed=resumed,
            retried=bool(avoid),
            avoid=tuple(sorted(avoid)),
            workspace="" if workspace is None else workspace.name,
            weight=share_weight(workspace),
            workspace_priority=None if workspace is None else workspace.priority,
        )

    def _build_next_request(
        self,
        previous: PlacementRequest,
        request: RoutedRequest,
        lease: HeldLease,
        version: str | None,
    ) -> PlacementRequest:
        """Return the next scheduler request after a grant without a reservation."""
        now = loop_time()
        avoid = set(previous.avoid)
        if not self._is_usable(lease.grant.decode, version):
            avoid.add(lease.grant.decode)
        return replace(
            previous,
            id=self._pool.new_id(),
            waited_s=now - request.arrived,
            time_left_s=request.deadline - now,
            retried=True,
            avoid=tuple(sorted(avoid)),
        )

    def _is_usable(self, replica_id: str, version: str | None) -> bool:
        """Return whether this daemon may use a replica that the scheduler granted."""
        replica = self._directory.get(replica_id)
        if replica is None or version not in (None, replica.version):
            return False
        return self._directory.takes(replica)

    async def _reserve(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        lease: HeldLease,
        version: str | None,
    ) -> Placement | None:
        """Reserve capacity under a lease; on failure end the lease and return None."""
        replica = self._directory.get(lease.grant.decode)
        if not self._is_usable(lease.grant.decode, version):
            self._pool.end(lease, LeaseOutcome.GIVEN_BACK)
            return None
        hold = None
        outcome = LeaseOutcome.GIVEN_BACK
        try:
            ttl_s = min(HOLD_TTL_S, engine.hold_max_s)
            hold = await self._client.acquire_hold(replica, lease.request.tokens, ttl_s)
            outcome = LeaseOutcome.NO_ROOM
        except ReplicaError as error:
            outcome = LeaseOutcome.UNREACHABLE
            self._failures.record(replica, request, error)
        finally:
            if outcome == LeaseOutcome.UNREACHABLE:
                self._tasks.start(self._end_unreachable(lease), "end a lease")
            elif hold is None:
                self._pool.end(lease, outcome)
        logger.info(
            "place_not_reserved" if hold is None else "placed",
            request=request.id,
            replica=replica.id,
            version=replica.version,
            place=lease.grant.id,
            tokens=lease.request.tokens,
            urgency=lease.grant.urgency.name,
            prefill=lease.grant.prefill,
            waited_s=round(loop_time() - request.arrived, 4),
        )
        if hold is None:
            return None
        return Placement(replica, hold, lease, loop_time() + ttl_s)

    async def renew(self, placement: Placement, engine: EngineTraits) -> Placement:
        """Return the placement, with a new reservation if the first one has lapsed.

        Raises ReplicaError if the replica has no room any more, or doesn't answer.
        """
        if loop_time() < placement.expires_at - HOLD_MARGIN_S:
            return placement
        ttl_s = min(HOLD_TTL_S, engine.hold_max_s)
        hold = await self._client.acquire_hold(
            placement.replica, placement.lease.request.tokens, ttl_s
        )
        if hold is None:
            raise OutdatedChoiceError(
                "the reservation has lapsed, and there is no room"
            )
        return replace(placement, hold=hold, expires_at=loop_time() + ttl_s)

    async def _end_unreachable(self, lease: HeldLease) -> None:
        """End a lease; that a VM without links reaches a replica not says nothing."""
        links_hold = await self._links.hold()
        outcome = LeaseOutcome.UNREACHABLE if links_hold else LeaseOutcome.GIVEN_BACK
        self._pool.end(lease, outcome)

    def end_lease(self, placement: Placement, outcome: LeaseOutcome) -> None:
        """End the lease of a generation."""
        self._pool.end(placement.lease, outcome)

    async def release_reservation(self, placement: Placement) -> None:
        """Release a reservation that was not used."""
        try:
            await self._client.release_hold(placement.replica, placement.hold)
        except ReplicaError as error:
            logger.info("hold_not_dropped", hold=placement.hold.id, reason=repr(error))


def _pause_before_s(try_number: int) -> float:
    """Return the pause in seconds before a try; the first two have none.

    Repeatedly refused reservations mean that the schedulers' view of the running work
    is incomplete. Retries without a pause would keep them from catching up.
    """
    if try_number < IMMEDIATE_TRIES:
        return 0.0
    return min(RETRY_PAUSE_S * 2 ** (try_number - IMMEDIATE_TRIES), RETRY_PAUSE_MAX_S)


def share_weight(workspace: Workspace | None) -> float:
    """Return the weight of a workspace's fair share: its quota's rate, if limited."""
    quota = None if workspace is None else workspace.quota
    if quota is None or quota.rate_per_s <= 0:
        return DEFAULT_WEIGHT
    return quota.rate_per_s


def reserved_tokens(request: RoutedRequest, engine: EngineTraits) -> int:
    """Return the memory, in tokens, to reserve for a generation."""
    size = request.size
    output = min(size.max_output, round(size.expected_output * OUTPUT_MARGIN))
    return min(size.prompt + output, engine.kv_tokens)
