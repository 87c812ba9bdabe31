"""Pure functions that forecast, from a snapshot, how long a request will wait."""

from collections.abc import Sequence

from marjoramstile.pools.decisions import Generation, PoolSnapshot, capacity_times
from marjoramstile.pools.leases import LOCAL_PREFILL_FACTOR
from marjoramstile.pools.statistics import PoolStatistics

# Time for which more urgent requests are expected to go on arriving at their present
# rate. Queued requests are examined again while bursts last; with no such limit, a
# burst of one second made the pool refuse what it could serve after it.
INFLOW_HORIZON_S = 0.5


def memory_wait_s(
    pool: PoolSnapshot,
    generation: Generation,
    ahead: int,
    statistics: PoolStatistics,
    inflow_per_s: float = 0.0,
    times: Sequence[int] | None = None,
) -> float | None:
    """Return the time until there is memory for one more request.

    ``ahead`` queued requests go first, and so do more urgent ones that arrive in the
    meantime, at ``inflow_per_s``. None if the time can't be estimated. It is limited to
    ``ahead + 1`` times the average interval between ends of generations: the first of
    many generations ends sooner than any single one is expected to. ``times`` are the
    pool's capacity times if they are known.
    """
    if times is None:
        times = pool_capacity_times(pool, generation)
    s_per_token = statistics.decode_s_per_token
    wait_s = next(
        (
            tokens * s_per_token
            for number, tokens in enumerate(times[ahead:])
            if number >= _arrivals(inflow_per_s, tokens * s_per_token)
        ),
        None,
    )
    if wait_s is None:
        return None
    generations = max(1, sum(len(replica.generations) for replica in pool.decode))
    typical_s = (ahead + 1) * statistics.decode_s / generations
    arrivals = _arrivals(inflow_per_s, typical_s)
    return min(wait_s, typical_s + arrivals * statistics.decode_s / generations)


def _arrivals(inflow_per_s: float, wait_s: float) -> float:
    """Return how many more urgent requests are expected to arrive during a wait."""
    return inflow_per_s * min(wait_s, INFLOW_HORIZON_S)


def prefill_wait_s(
    pool: PoolSnapshot,
    prompt_tokens: int,
    statistics: PoolStatistics,
    inflow_tokens_per_s: float = 0.0,
) -> float:
    """Return the time until ``prompt_tokens`` of requests ahead are prefilled.

    Prompts of more urgent requests arrive at ``inflow_tokens_per_s``. Decode replicas
    prefill too when the prefill replicas are saturated.
    """
    if not pool.prefill:
        return 0.0
    speed = len(pool.prefill) * statistics.prefill_tokens_per_s
    if pool.prefill_saturated:
        local_speed = statistics.prefill_tokens_per_s / LOCAL_PREFILL_FACTOR
        speed += len(pool.decode) * local_speed
    wait_s = pool.prefill_busy_s + prompt_tokens / speed
    return wait_s + _arrivals(inflow_tokens_per_s, wait_s) / speed


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
    for number, tokens in enumerate(pool_capacity_times(pool, generation)):
        wait_s = tokens * statistics.decode_s_per_token
        if number >= ahead + inflow_per_s * wait_s:
            return wait_s
    return None


def pool_capacity_times(pool: PoolSnapshot, generation: Generation) -> list[int]:
    """Return when the pool fits one request, two, and so on, in tokens added."""
    return sorted(
        tokens
        for replica in pool.decode
        for tokens in capacity_times(replica, generation)
    )
