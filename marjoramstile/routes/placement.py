"""Finds a decode replica with room for a whole generation before it is prefilled.

The replicas themselves decide: a reservation of a slot and memory is taken at one
of them. Requests that find no room wait in one queue a service: resumed streams
first, then requests that can still be on time, then those that come back late; each
in order of arrival. Only the first of the queue asks, so that large requests are not
passed by small ones.
"""

import asyncio
import contextlib
import heapq
import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import IntEnum

from marjoramstile.logs import get_logger
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replicas import Replica, ReplicaDirectory, Stage
from marjoramstile.routes.requests import (
    Hold,
    RefusalReason,
    ReplicaError,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.routes.table import EngineTraits
from marjoramstile.utils import loop_time

# Tokens reserved for the answer, as a multiple of the caller's estimate, which is
# right at the median only.
OUTPUT_MARGIN = 1.0
# Pause between two rounds over the replicas while none has room.
ASK_PERIOD_S = 0.03
# Share of the target latency that a request which can be on time may wait for room.
QUEUE_SHARE = 0.6
# Wait of a late request, which comes back after a refusal when room is likely.
LATE_QUEUE_SHARE = 0.3
# When room is likely: about the length of a generation, in which those that run
# now have ended.
RETRY_AFTER_S = 4.0
HOLD_TTL_S = 2.0

logger = get_logger(__name__)


class Urgency(IntEnum):
    """Classes of waiting requests, the first to be placed first."""

    RESUMED = 0
    ON_TIME = 1
    LATE = 2


def urgency_of(request: RoutedRequest) -> Urgency:
    """Tell whether a request that arrives can still be answered on time."""
    late = request.age_s > request.route.target_latency_s * QUEUE_SHARE
    return Urgency.LATE if late else Urgency.ON_TIME


def queue_limit_s(request: RoutedRequest, urgency: Urgency) -> float:
    """Return for how long a request may wait for room, in seconds."""
    target_s = request.route.target_latency_s
    if urgency == Urgency.LATE:
        return LATE_QUEUE_SHARE * target_s
    return QUEUE_SHARE * target_s - request.age_s


@dataclass(frozen=True)
class Place:
    """A decode replica with a reservation for one generation."""

    replica: Replica
    hold: Hold


@dataclass(order=True)
class _Waiting:
    rank: tuple[int, int, float, int]
    turn: asyncio.Event = field(compare=False, default_factory=asyncio.Event)


class PlaceQueue:
    """Requests of one service that wait for room, the first of them asking."""

    def __init__(self):
        self._waiting: list[_Waiting] = []
        self._numbers = itertools.count()

    @property
    def length(self) -> int:
        """Requests waiting now, the asking one included."""
        return len(self._waiting)

    @asynccontextmanager
    async def entry(self, urgency: Urgency, priority: int, arrived: float):
        """Wait in the queue for as long as the block runs."""
        rank = (urgency, priority, arrived, next(self._numbers))
        waiting = _Waiting(rank)
        heapq.heappush(self._waiting, waiting)
        self._wake_first()
        try:
            yield waiting
        finally:
            self._waiting.remove(waiting)
            heapq.heapify(self._waiting)
            self._wake_first()

    def _wake_first(self) -> None:
        for waiting in self._waiting:
            if waiting is self._waiting[0]:
                waiting.turn.set()
            else:
                waiting.turn.clear()


class DecodePlacer:
    """Takes reservations at decode replicas."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        client: ReplicaClient,
        balancer: Balancer,
    ):
        self._directory = directory
        self._client = client
        self._balancer = balancer
        self._queues: dict[str, PlaceQueue] = {}

    async def place(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        wait_until: float,
        urgency: Urgency,
        avoid: frozenset[str],
    ) -> Place:
        """Return a place or raise RequestRefusedError when time is up."""
        queue = self._queues.setdefault(request.service, PlaceQueue())
        tokens = reserved_tokens(request, engine)
        try:
            async with (
                asyncio.timeout_at(wait_until),
                queue.entry(urgency, request.route.priority, request.arrived) as entry,
            ):
                return await self._ask_in_turn(request, engine, tokens, entry, avoid)
        except TimeoutError:
            logger.info(
                "no_place",
                request=request.id,
                service=request.service,
                tokens=tokens,
                urgency=urgency.name,
                waited_s=round(loop_time() - request.arrived, 3),
                queued=queue.length,
            )
            raise RequestRefusedError(RefusalReason.NO_MEMORY, RETRY_AFTER_S) from None

    async def _ask_in_turn(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        tokens: int,
        entry: _Waiting,
        avoid: frozenset[str],
    ) -> Place:
        while True:
            await entry.turn.wait()
            place = await self._ask_all(request, engine, tokens, avoid)
            if place is not None:
                return place
            await asyncio.sleep(ASK_PERIOD_S)

    async def _ask_all(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        tokens: int,
        avoid: frozenset[str],
    ) -> Place | None:
        replicas = self._directory.usable(request.service, Stage.DECODE)
        wanted = [replica for replica in replicas if replica.id not in avoid]
        ttl_s = min(HOLD_TTL_S, engine.hold_max_s)
        for replica in self._balancer.order_by_failures(wanted, loop_time()):
            hold = await self._ask(replica, tokens, ttl_s)
            if hold is not None:
                return Place(replica, hold)
        return None

    async def _ask(self, replica: Replica, tokens: int, ttl_s: float) -> Hold | None:
        try:
            return await self._client.take_hold(replica, tokens, ttl_s)
        except ReplicaError as error:
            self._balancer.stats(replica).note_failure(loop_time())
            logger.info("hold_failed", replica=replica.id, reason=repr(error))
            return None

    async def give_back(self, place: Place) -> None:
        """Give a reservation back that was not used."""
        with contextlib.suppress(ReplicaError):
            await self._client.drop_hold(place.replica, place.hold)


def reserved_tokens(request: RoutedRequest, engine: EngineTraits) -> int:
    """Return the memory, in tokens, to reserve for a generation."""
    size = request.size
    output = min(size.max_output, round(size.expected_output * OUTPUT_MARGIN))
    return min(size.prompt + output, engine.kv_tokens)
