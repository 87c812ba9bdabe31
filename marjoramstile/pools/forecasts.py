"""When a waiting request will have its place: pure functions over a snapshot."""

from marjoramstile.pools.decisions import Generation, PoolSnapshot, capacity_times
from marjoramstile.pools.leases import LOCAL_PREFILL_FACTOR
from marjoramstile.pools.statistics import PoolStatistics


def memory_wait_s(
    pool: PoolSnapshot, generation: Generation, ahead: int, statistics: PoolStatistics
) -> float | None:
    """Return when there is memory for a request with ``ahead`` before it.

    None if that can't be told. The first of many generations ends sooner than any one
    is expected to.
    """
    times = _capacity_times(pool, generation)
    if ahead >= len(times):
        return None
    generations = max(1, sum(len(replica.generations) for replica in pool.decode))
    usual_s = (ahead + 1) * statistics.decode_s / generations
    return min(times[ahead] * statistics.decode_s_per_token, usual_s)


def prefill_wait_s(
    pool: PoolSnapshot, prompt_tokens: int, statistics: PoolStatistics
) -> float:
    """Return the wait until ``prompt_tokens`` of others were prefilled.

    Decode replicas help when it gets long.
    """
    if not pool.prefill:
        return 0.0
    speed = len(pool.prefill) * statistics.prefill_tokens_per_s
    if pool.prefill_saturated:
        local_speed = statistics.prefill_tokens_per_s / LOCAL_PREFILL_FACTOR
        speed += len(pool.decode) * local_speed
    return pool.prefill_busy_s + prompt_tokens / speed


def late_wait_s(
    pool: PoolSnapshot,
    generation: Generation,
    ahead: int,
    inflow_per_s: float,
    statistics: PoolStatistics,
) -> float | None:
    """Return when there is room for one more request that is late.

    ``ahead`` go first, and those that come meanwhile. None if that can't be told.
    """
    for number, tokens in enumerate(_capacity_times(pool, generation)):
        wait_s = tokens * statistics.decode_s_per_token
        if number >= ahead + inflow_per_s * wait_s:
            return wait_s
    return None


def _capacity_times(pool: PoolSnapshot, generation: Generation) -> list[int]:
    """Return when there is room for one request, two, and so on, in tokens."""
    return sorted(
        tokens
        for replica in pool.decode
        for tokens in capacity_times(replica, generation)
    )
