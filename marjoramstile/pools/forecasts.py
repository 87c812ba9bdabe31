"""Pure functions that forecast, from a snapshot, how long a request will wait."""

from marjoramstile.pools.decisions import (
    LOCAL_PREFILL_FACTOR,
    PoolSnapshot,
    capacity_times,
)
from marjoramstile.pools.memory import Generation
from marjoramstile.pools.statistics import PoolStatistics


def memory_wait_s(
    pool: PoolSnapshot, generation: Generation, ahead: int, statistics: PoolStatistics
) -> float | None:
    """Return the time until there is memory for one more request.

    ``ahead`` queued requests go first. None if the time can't be estimated. It is
    limited to ``ahead + 1`` times the average interval between ends of generations: the
    first of many generations ends sooner than any single one is expected to.
    """
    times = _capacity_times(pool, generation)
    if ahead >= len(times):
        return None
    generations = max(1, sum(len(replica.generations) for replica in pool.decode))
    typical_s = (ahead + 1) * statistics.decode_s / generations
    return min(times[ahead] * statistics.decode_s_per_token, typical_s)


def prefill_wait_s(
    pool: PoolSnapshot, prompt_tokens: int, statistics: PoolStatistics
) -> float:
    """Return the time until ``prompt_tokens`` of requests ahead are prefilled.

    Decode replicas prefill too when the prefill replicas are saturated.
    """
    if not pool.prefill:
        return 0.0
    speed = sum(item.speed for item in pool.prefill) * statistics.prefill_tokens_per_s
    if pool.prefill_saturated:
        local_speed = statistics.prefill_tokens_per_s / LOCAL_PREFILL_FACTOR
        speed += sum(item.prefill_speed for item in pool.decode) * local_speed
    return pool.prefill_busy_s + prompt_tokens / speed


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
