"""Decides which requests a pool refuses, and when their callers should retry.

A request whose expected wait is too long is refused on arrival. Its retry time is when
there should be capacity for it beside the queued requests, the other expected retries
and new requests.
"""

import random
from collections import OrderedDict, deque

from marjoramstile.logs import get_logger
from marjoramstile.pools.decisions import PoolSnapshot, late_reserve
from marjoramstile.pools.expected_retries import ExpectedRetries
from marjoramstile.pools.forecasts import late_wait_s, memory_wait_s, prefill_wait_s
from marjoramstile.pools.messages import PlacementRefusal, PlacementRequest, Urgency
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.pools.waiting import RequestQueue, WaitingRequest
from marjoramstile.routes.requests import RefusalReason

# A forecast must exceed the limit by more than these, as it may be wrong.
FORECAST_MARGIN = 1.25
FORECAST_SLACK_S = 0.05
# Bounds of the retry time. It is at most a third of the time to the deadline, unless
# that is less than the lower bound.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 4.5
RETRY_TIME_LEFT_FRACTION = 1 / 3
RETRY_JITTER = 0.1
# Window over which the rate of arrivals is measured.
INFLOW_WINDOW_S = 2.0
# Refusals kept for daemons that did not receive them and ask again.
MAX_RECENT_REFUSALS = 512

logger = get_logger(__name__)


class Refusals:
    """Forecasts the wait of queued requests and refuses those that would wait too long.

    Each scheduler owns one, which keeps its recent refusals and the rate of arrivals.
    In each call, ``pool`` is the pool's snapshot at the time ``now``.
    """

    def __init__(
        self, queue: RequestQueue, expected_retries: ExpectedRetries, rng: random.Random
    ):
        self._queue = queue
        self._expected_retries = expected_retries
        self._rng = rng
        self._arrivals: deque[float] = deque()
        self._recent: OrderedDict[str, PlacementRefusal] = OrderedDict()

    def find(self, request_id: str) -> PlacementRefusal | None:
        """Return the recent refusal of a placement request, if there is one."""
        return self._recent.get(request_id)

    def observe_arrival(self, now: float) -> None:
        """Add an on-time request to the rate of arrivals."""
        self._arrivals.append(now)

    def would_time_out(
        self,
        waiting: WaitingRequest,
        pool: PoolSnapshot,
        statistics: PoolStatistics,
        now: float,
    ) -> bool:
        """Return whether a new request's forecast wait clearly exceeds its deadline.

        True also if the wait can't be estimated.
        """
        wait_s = self._forecast_s(waiting, pool, statistics)
        limit_s = waiting.deadline - now
        return wait_s is None or wait_s > FORECAST_MARGIN * limit_s + FORECAST_SLACK_S

    def _forecast_s(
        self, waiting: WaitingRequest, pool: PoolSnapshot, statistics: PoolStatistics
    ) -> float | None:
        """Return the expected wait; None if it can't be estimated.

        Queued requests that can use no replica now, as streams whose software version
        is away, delay nobody.
        """
        if not pool.decode:
            return None
        usable = {replica.replica_id for replica in pool.decode}
        ahead = [
            item
            for item in self._queue.ahead_of(waiting)
            if not usable.issubset(item.request.avoid)
        ]
        position = len(ahead)
        if waiting.urgency == Urgency.LATE:
            position += late_reserve(pool)
        memory_s = memory_wait_s(pool, waiting.generation, position, statistics)
        if memory_s is None:
            return None
        prompts = sum(item.request.prompt_tokens for item in ahead)
        return max(memory_s, prefill_wait_s(pool, prompts, statistics))

    def refuse(
        self,
        waiting: WaitingRequest,
        reason: RefusalReason,
        pool: PoolSnapshot,
        statistics: PoolStatistics,
        now: float,
        permit_wait_s: float | None = None,
    ) -> PlacementRefusal:
        """Refuse a request that was taken off the queue; its caller should retry.

        ``permit_wait_s`` is the time until the limit of a replica allows a request,
        given if the limits of all of them allow none now.
        """
        request = waiting.request
        expected_s = permit_wait_s
        if expected_s is None:
            expected_s = self._late_wait_s(waiting, pool, statistics, now)
        retry_after_s = self._retry_after_s(request, expected_s)
        refusal = PlacementRefusal(request.id, reason, round(retry_after_s, 3))
        self._expected_retries.expect(request.content, now + retry_after_s)
        self._recent[request.id] = refusal
        if len(self._recent) > MAX_RECENT_REFUSALS:
            self._recent.popitem(last=False)
        self._log(waiting, expected_s, pool, now)
        return refusal

    def _late_wait_s(
        self,
        waiting: WaitingRequest,
        pool: PoolSnapshot,
        statistics: PoolStatistics,
        now: float,
    ) -> float | None:
        """Return the time until there is capacity for one more late request.

        Queued requests and expected retries go first.
        """
        others = sum(item is not waiting for item in self._queue)
        ahead = others + late_reserve(pool) + self._expected_retries.pending_count(now)
        return late_wait_s(
            pool, waiting.generation, ahead, self._inflow_per_s(now), statistics
        )

    def _inflow_per_s(self, now: float) -> float:
        while self._arrivals and self._arrivals[0] <= now - INFLOW_WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals) / INFLOW_WINDOW_S

    def _retry_after_s(
        self, request: PlacementRequest, expected_s: float | None
    ) -> float:
        """Return the time after which a caller should retry, with some jitter."""
        longest_s = min(RETRY_MAX_S, RETRY_TIME_LEFT_FRACTION * request.time_left_s)
        wait_s = longest_s if expected_s is None else expected_s
        wait_s *= self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return max(RETRY_MIN_S, min(wait_s, longest_s))

    def _log(
        self,
        waiting: WaitingRequest,
        expected_s: float | None,
        pool: PoolSnapshot,
        now: float,
    ) -> None:
        replicas = pool.decode
        logger.info(
            "place_refused",
            place=waiting.request.id,
            service=waiting.request.service,
            tokens=waiting.tokens,
            urgency=waiting.urgency.name,
            waited_s=round(now - waiting.queued_at, 3),
            expected_s=expected_s and round(expected_s, 3),
            queued=len(self._queue),
            leases=sum(len(replica.generations) for replica in replicas),
            free=",".join(
                f"{len(replica.generations)}:{replica.free_tokens}"
                for replica in replicas
            ),
        )
