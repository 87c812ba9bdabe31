"""Retries of reservations that replicas refuse, on the virtual clock."""

import asyncio

import pytest

from marjoramstile.routes.requests import RequestRefusedError
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from tests.routes.support import RoutingCore, request, route


async def test_refused_reservations_are_retried_a_few_times_with_pauses():
    """Schedulers without a full view of the running work grant what replicas refuse."""
    core = RoutingCore()
    core.add_engines(1, 8)
    tried = []
    acquire_hold = core.pool.acquire_hold

    async def record_and_acquire(replica, tokens, ttl_s):
        tried.append(loop_time())
        return await acquire_hold(replica, tokens, ttl_s)

    core.pool.acquire_hold = record_and_acquire
    for fake in core.pool.replicas.values():
        fake.faults.full = True
    with pytest.raises(RequestRefusedError):
        await core.generate(request("q", route(RouteKind.STREAM)))
    pauses_s = [after - before for before, after in zip(tried, tried[1:], strict=False)]
    assert len(tried) <= 6
    assert pauses_s[0] < 0.01
    assert all(pause_s >= 0.03 for pause_s in pauses_s[1:])
    assert tried[-1] - tried[0] >= 0.2
    await core.tasks.close()


async def test_a_reservation_succeeds_once_capacity_is_free():
    core = RoutingCore()
    core.add_engines(1, 2)
    for fake in core.pool.replicas.values():
        fake.faults.full = True
    engine = core.pool.replicas["d1"]
    core.tasks.start(free_after(engine, 0.15), "free a replica")
    caller = await core.generate(request("q", route(RouteKind.STREAM)))
    assert caller.complete
    await core.tasks.close()


async def free_after(fake, seconds: float) -> None:
    """Let a replica accept reservations after some seconds."""
    await asyncio.sleep(seconds)
    fake.faults.full = False
