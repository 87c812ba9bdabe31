"""Retries of reservations that replicas refuse, on the virtual clock."""

import asyncio
from dataclasses import replace

import pytest

from marjoramstile.pools.messages import PlacementRequest
from marjoramstile.routes.placement import share_weight
from marjoramstile.routes.requests import RequestRefusedError
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.table import Quota, QuotaUnit, Workspace
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


def workspace(rate_per_s: float, priority: int | None = None) -> Workspace:
    """Return a workspace with a quota."""
    return Workspace("acme", priority, Quota(rate_per_s, 9.0, QuotaUnit.TOKENS, 1))


@pytest.mark.parametrize(
    ("named", "weight"),
    [
        (None, 1.0),
        (Workspace("acme"), 1.0),
        (workspace(0.0), 1.0),
        (workspace(4500.0), 4500.0),
    ],
)
def test_the_weight_of_a_workspace_is_the_rate_of_its_quota(named, weight):
    """A rate of 0 means no limit, and must not mean no share."""
    assert share_weight(named) == weight


@pytest.mark.parametrize("named", [None, workspace(4500.0, priority=3)])
async def test_schedulers_are_told_the_workspace_of_a_request(named, monkeypatch):
    core = RoutingCore()
    core.add_engines(1, 2)
    asked: list[PlacementRequest] = []
    ask = core.schedulers.handle_message

    def record_and_ask(message, reply, polls=True):
        if isinstance(message, PlacementRequest):
            asked.append(message)
        ask(message, reply, polls)

    monkeypatch.setattr(core.schedulers, "handle_message", record_and_ask)
    sent = replace(request("q", route(RouteKind.STREAM)), workspace=named)
    await core.generate(sent)
    told = asked[0].workspace, asked[0].weight, asked[0].workspace_priority
    assert told == (("acme", 4500.0, 3) if named else ("", 1.0, None))
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
