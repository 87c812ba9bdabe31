"""Forecasts, from a snapshot of a pool, how long a request will wait."""

from marjoramstile.pools.decisions import (
    LOCAL_PREFILL_FACTOR,
    PoolSnapshot,
    capacity_times,
)
from marjoramstile.pools.memory import Generation
from marjoramstile.pools.statistics import PoolStatistics

# Time for which more urgent requests are expected to go on arriving at their present
# rate. Queued requests are examined again while bursts last; with no such limit, a
# burst of one second made the pool refuse what it could serve after it.
INFLOW_HORIZON_S = 0.5


class PoolForecast:
    """Forecasts of one pool snapshot, for requests that need a like generation."""

    def __init__(
        self, pool: PoolSnapshot, generation: Generation, statistics: PoolStatistics
    ):
        self._pool = pool
        self._generation = generation
        self._found_times: list[float] | None = None
        self._s_per_token = statistics.decode_s_per_token
        self._decode_s = statistics.decode_s
        self._generations = max(1, sum(len(item.generations) for item in pool.decode))
        self._prefill_busy_s = pool.prefill_busy_s
        speed = statistics.prefill_tokens_per_s
        self._prefill_speed = sum(item.speed for item in pool.prefill) * speed
        if pool.prefill_saturated:
            local_speed = sum(item.prefill_speed for item in pool.decode)
            self._prefill_speed += local_speed * speed / LOCAL_PREFILL_FACTOR

    @property
    def _times(self) -> list[float]:
        """When the pool fits one request, two, and so on; found when first used."""
        if self._found_times is None:
            self._found_times = _capacity_times(self._pool, self._generation)
        return self._found_times

    def memory_wait_s(
        self, ahead: int, inflow_per_s: float = 0.0, enough_s: float = 0.0
    ) -> float | None:
        """Return the time until there is memory for one more request.

        ``ahead`` queued requests go first, and so do more urgent ones that arrive in
        the meantime, at ``inflow_per_s``. None if the time can't be estimated. It is
        limited to the average time in which as many generations end: the first of many
        generations ends sooner than any single one is expected to. If that is at most
        ``enough_s``, it is returned without looking at each replica.
        """
        end_s = self._decode_s / self._generations
        typical_s = (ahead + 1) * end_s
        typical_s += _arrivals(inflow_per_s, typical_s) * end_s
        if typical_s <= enough_s and ahead < self._generations:
            return typical_s
        wait_s = self._capacity_wait_s(ahead, inflow_per_s)
        return None if wait_s is None else min(wait_s, typical_s)

    def _capacity_wait_s(self, ahead: int, inflow_per_s: float) -> float | None:
        for index in range(ahead, len(self._times)):
            wait_s = self._times[index] * self._s_per_token
            if index - ahead >= _arrivals(inflow_per_s, wait_s):
                return wait_s
        return None

    def prefill_wait_s(
        self, prompt_tokens: int, inflow_tokens_per_s: float = 0.0
    ) -> float:
        """Return the time until ``prompt_tokens`` of requests ahead are prefilled.

        Prompts of more urgent requests arrive at ``inflow_tokens_per_s``. Decode
        replicas prefill too when the prefill replicas are saturated.
        """
        if self._prefill_busy_s is None:
            return 0.0
        wait_s = self._prefill_busy_s + prompt_tokens / self._prefill_speed
        return wait_s + _arrivals(inflow_tokens_per_s, wait_s) / self._prefill_speed


def _arrivals(inflow_per_s: float, wait_s: float) -> float:
    """Return how many more urgent requests are expected to arrive during a wait."""
    return inflow_per_s * min(wait_s, INFLOW_HORIZON_S)


def late_wait_s(
    pool: PoolSnapshot,
    generation: Generation,
    ahead: int,
    inflow_per_s: float,
    statistics: PoolStatistics,
) -> float | None:
    """Return the time until there is capacity for one more late request.

    ``ahead`` requests go first, and so do those that arrive in the meantime, at
    ``inflow_per_s``. None if the time can't be estimated.
    """
    for number, tokens in enumerate(_capacity_times(pool, generation)):
        wait_s = tokens * statistics.decode_s_per_token
        if number >= ahead + inflow_per_s * wait_s:
            return wait_s
    return None


def _capacity_times(pool: PoolSnapshot, generation: Generation) -> list[float]:
    """Return when the pool fits one request, two, and so on.

    Times are counted in tokens that a generation at a replica of the mean speed adds.
    """
    return sorted(
        tokens / replica.speed
        for replica in pool.decode
        for tokens in capacity_times(replica, generation)
    )
