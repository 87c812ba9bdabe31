"""Decides which requests a pool refuses, and when their callers should retry.

A request whose expected wait is too long is refused on arrival. Its retry time is when
there should be capacity for it beside the queued requests, the other expected retries
and new requests.
"""

import random
from collections import OrderedDict, deque

from marjoramstile.logs import get_logger
from marjoramstile.pools.decisions import Generation, PoolSnapshot, late_reserve
from marjoramstile.pools.expected_retries import ExpectedRetries
from marjoramstile.pools.forecasts import PoolForecast, late_wait_s
from marjoramstile.pools.messages import PlacementRefusal, PlacementRequest, Urgency
from marjoramstile.pools.precedence import Precedence, Reserve
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.pools.waiting import RequestQueue, WaitingRequest
from marjoramstile.routes.requests import RefusalReason

# A forecast must exceed the limit by more than these, as it may be wrong.
FORECAST_MARGIN = 1.25
FORECAST_SLACK_S = 0.05
# The same factor for queued requests that others went ahead of. Forecasts are mostly
# too long: with 1.25, up to 3% fewer requests were served in played bursts.
OVERTAKEN_MARGIN = 2.0
# A queued request that has less time left is not refused before its deadline: that
# would save its caller too little if the forecast is wrong.
EARLY_REFUSAL_MIN_S = 0.2
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
        self,
        queue: RequestQueue,
        expected_retries: ExpectedRetries,
        precedence: Precedence,
        rng: random.Random,
    ):
        self._queue = queue
        self._precedence = precedence
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
        self._drop_old_arrivals(now)

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
        ahead = [item for item in self._queue.ahead_of(waiting) if _can_use(item, pool)]
        prompts = sum(item.request.prompt_tokens for item in ahead)
        reserve = self._precedence.reserve(pool, statistics)
        forecast = PoolForecast(pool, waiting.generation, statistics)
        left_s = waiting.deadline - now
        wait_s = self._forecast_s(
            waiting, len(ahead), prompts, pool, reserve, forecast, left_s
        )
        return _exceeds(wait_s, left_s)

    def overtaken(
        self, pool: PoolSnapshot, statistics: PoolStatistics, now: float
    ) -> list[WaitingRequest]:
        """Return the queued requests that would time out as others went ahead of them.

        Those that nothing has overtaken are left to their deadline: their forecast
        was good enough when they arrived.
        """
        if not any(item.overtaken for item in self._queue):
            return []
        prompt, output = statistics.typical
        typical = Generation(prompt, output, output)
        forecast = PoolForecast(pool, typical, statistics)
        reserve = self._precedence.reserve(pool, statistics)
        hopeless: list[WaitingRequest] = []
        ahead = prompts = 0
        for item in self._queue:
            left_s = item.deadline - now
            if (
                item.overtaken
                and item.urgency == Urgency.ON_TIME
                and left_s > EARLY_REFUSAL_MIN_S
                and _exceeds(
                    self._forecast_s(
                        item, ahead, prompts, pool, reserve, forecast, left_s
                    ),
                    left_s,
                    OVERTAKEN_MARGIN,
                )
            ):
                hopeless.append(item)
            elif _can_use(item, pool):
                ahead += 1
                prompts += item.request.prompt_tokens
        return hopeless

    def _forecast_s(
        self,
        waiting: WaitingRequest,
        ahead: int,
        prompts: int,
        pool: PoolSnapshot,
        reserve: Reserve,
        forecast: PoolForecast,
        enough_s: float,
    ) -> float | None:
        """Return the expected wait; None if it can't be estimated.

        ``ahead`` queued requests with prompts of ``prompts`` tokens go first, and so do
        more urgent ones that arrive in the meantime or for which room is reserved. A
        wait for memory of at most ``enough_s`` is estimated roughly.
        """
        if not pool.decode:
            return None
        position = ahead + reserve.places(waiting.request)
        if waiting.urgency == Urgency.LATE:
            position += late_reserve(pool)
        expected = self._precedence.inflow_before(waiting)
        inflow_per_s = 0.0 if expected is None else expected.per_s
        inflow_tokens = 0.0 if expected is None else expected.typical.tokens
        memory_s = forecast.memory_wait_s(position, inflow_per_s, enough_s)
        if memory_s is None:
            return None
        prefill_s = forecast.prefill_wait_s(prompts, inflow_per_s * inflow_tokens)
        return max(memory_s, prefill_s)

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
        ahead = len(self._queue) - (waiting in self._queue)
        ahead += late_reserve(pool) + self._expected_retries.pending_count(now)
        ahead += self._precedence.reserve(pool, statistics).places(waiting.request)
        return late_wait_s(
            pool, waiting.generation, ahead, self._inflow_per_s(now), statistics
        )

    def _drop_old_arrivals(self, now: float) -> None:
        while self._arrivals and self._arrivals[0] <= now - INFLOW_WINDOW_S:
            self._arrivals.popleft()

    def _inflow_per_s(self, now: float) -> float:
        self._drop_old_arrivals(now)
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
            workspace=waiting.request.workspace,
            standing=waiting.rank.standing.name,
            waited_s=round(now - waiting.queued_at, 3),
            expected_s=expected_s and round(expected_s, 3),
            queued=len(self._queue),
            leases=sum(len(replica.generations) for replica in replicas),
            free=",".join(
                f"{len(replica.generations)}:{replica.free_tokens}"
                for replica in replicas
            ),
        )


def _can_use(waiting: WaitingRequest, pool: PoolSnapshot) -> bool:
    """Return whether a request can use any of the pool's replicas.

    Those that can't, as streams whose software version is away, delay nobody.
    """
    avoid = waiting.request.avoid
    if not avoid:
        return True
    return any(replica.replica_id not in avoid for replica in pool.decode)


def _exceeds(
    wait_s: float | None, limit_s: float, margin: float = FORECAST_MARGIN
) -> bool:
    """Return whether a forecast clearly exceeds a limit, or could not be made."""
    return wait_s is None or wait_s > margin * limit_s + FORECAST_SLACK_S
