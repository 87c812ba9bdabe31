"""Calls and generations where replicas name a limit, on the virtual clock."""

import asyncio

import pytest

from marjoramstile.routes.requests import RefusalReason, RequestRefusedError
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from tests.limits.support import allowed, most_in_a_window
from tests.routes.support import EVENTS, Caller, RoutingCore, request, route

CALL = route(RouteKind.IDEMPOTENT)
STREAM = route(RouteKind.STREAM)
LIMIT_PER_S = 2.0


def name_limit(core: RoutingCore, *names: str, limit_per_s=LIMIT_PER_S) -> None:
    """Let replicas name a limit in an answer to this daemon."""
    for name in names:
        core.limits.record_limit(core.pool.replicas[name].replica, limit_per_s)


async def run_load(run, per_s: float, seconds: float) -> list:
    """Run ``run`` with a new id at a rate; return results and refusals."""
    tasks = []
    for number in range(round(per_s * seconds)):
        tasks.append(asyncio.create_task(run(f"q{number}")))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks, return_exceptions=True)


def check_pace(core: RoutingCore, name: str, seconds: float) -> None:
    """Check that a replica got what its limit allows, and most of it."""
    times = core.pool.arrived_at[name]
    assert most_in_a_window(times) <= allowed(LIMIT_PER_S)
    assert len(times) <= 1.1 * LIMIT_PER_S * seconds + 1
    assert len(times) >= 0.7 * LIMIT_PER_S * seconds


async def test_calls_beyond_a_limit_go_to_the_other_replicas():
    core = RoutingCore()
    core.add_plain(2)
    name_limit(core, "p0")
    replies = await run_load(
        lambda name: core.calls.run(request(name, CALL)), per_s=200, seconds=10
    )
    assert [reply.status for reply in replies] == [200] * 2000
    check_pace(core, "p0", 10)


async def test_a_call_is_refused_at_once_where_limits_leave_nothing():
    core = RoutingCore()
    core.add_plain(2)
    name_limit(core, "p0", "p1", limit_per_s=0.5)
    began = loop_time()
    with pytest.raises(RequestRefusedError) as refused:
        await core.calls.run(request("q1", CALL))
    assert loop_time() == began
    assert refused.value.reason == RefusalReason.LIMITED
    assert 0 < refused.value.retry_after_s <= 2.0
    await asyncio.sleep(refused.value.retry_after_s)
    assert (await core.calls.run(request("q2", CALL))).status == 200


async def test_a_full_replica_beside_a_limited_one_is_worth_an_early_return():
    core = RoutingCore()
    core.add_plain(2)
    core.pool.replicas["p0"].faults.full = True
    name_limit(core, "p1", limit_per_s=0.2)
    with pytest.raises(RequestRefusedError) as refused:
        await core.calls.run(request("q1", CALL))
    assert refused.value.retry_after_s <= 0.25


async def test_retries_count_under_a_limit():
    core = RoutingCore()
    core.add_plain(2)
    core.pool.replicas["p0"].faults.full = True
    name_limit(core, "p1")
    await run_load(
        lambda name: core.calls.run(request(name, CALL)), per_s=30, seconds=10
    )
    check_pace(core, "p1", 10)


async def test_calls_are_back_once_an_answer_names_no_limit():
    core = RoutingCore()
    core.add_plain(1)
    name_limit(core, "p0")
    core.limits.record_no_limit(core.pool.replicas["p0"].replica, loop_time())
    replies = await run_load(
        lambda name: core.calls.run(request(name, CALL)), per_s=30, seconds=1
    )
    assert [reply.status for reply in replies] == [200] * 30


async def generate(core: RoutingCore, name: str) -> Caller:
    """Run a generation and check that it is whole."""
    caller = await core.generate(request(name, STREAM))
    assert caller.ids == list(range(1, EVENTS + 1))
    return caller


@pytest.mark.parametrize("limited", ["e0", "d0"])
async def test_generations_beyond_a_limit_go_to_the_other_replicas(limited):
    core = RoutingCore()
    core.add_engines(2, 3)
    name_limit(core, limited)
    results = await run_load(lambda name: generate(core, name), 4, 10)
    assert all(isinstance(result, Caller) for result in results)
    times = core.pool.arrived_at[limited]
    assert most_in_a_window(times) <= allowed(LIMIT_PER_S)
    assert len(times) <= 1.1 * LIMIT_PER_S * 10 + 1
    assert times


async def test_a_generation_is_refused_at_once_where_limits_leave_nothing():
    core = RoutingCore()
    core.add_engines(1, 2)
    name_limit(core, "d0", "d1", limit_per_s=0.4)
    began = loop_time()
    with pytest.raises(RequestRefusedError) as refused:
        await core.generate(request("q1", STREAM))
    assert loop_time() == began
    assert refused.value.reason == RefusalReason.LIMITED
    await asyncio.sleep(refused.value.retry_after_s)
    await generate(core, "q2")


async def test_resumed_streams_count_under_a_limit():
    core = RoutingCore(slack=1000.0)
    core.add_engines(1, 3)
    name_limit(core, "d1")

    async def broken(name: str) -> Caller:
        core.pool.replicas["d0"].faults.break_after_events = 3
        core.pool.replicas["d2"].faults.break_after_events = 3
        return await core.generate(request(name, STREAM))

    await run_load(broken, 4, 10)
    times = core.pool.arrived_at["d1"]
    assert most_in_a_window(times) <= allowed(LIMIT_PER_S)
    assert len(times) <= 1.1 * LIMIT_PER_S * 10 + 1


async def test_a_permit_is_given_back_if_the_replica_has_no_room():
    core = RoutingCore()
    core.add_engines(1, 1)
    core.pool.replicas["d0"].faults.full = True
    name_limit(core, "d0", limit_per_s=1.0)
    await asyncio.sleep(1.0)
    with pytest.raises(RequestRefusedError):
        await core.generate(request("q1", STREAM))
    core.pool.replicas["d0"].faults.full = False
    assert core.limits.wait_s(core.pool.replicas["d0"].replica) == 0.0


async def test_a_prefill_elsewhere_needs_a_permit_of_its_own():
    core = RoutingCore()
    core.add_engines(2, 2)
    for name in ("e0", "e1"):
        core.pool.replicas[name].faults.full = True
    name_limit(core, "e0", "e1")
    await run_load(lambda name: generate(core, name), 4, 6)
    for name in ("e0", "e1"):
        assert len(core.pool.arrived_at[name]) <= 1.1 * LIMIT_PER_S * 6 + 1


@pytest.mark.parametrize("decode", [1, 2, 3])
async def test_late_requests_leave_permits_of_limited_replicas_unused(decode):
    """All decode replicas name a limit, and callers repeat what was refused."""
    core = RoutingCore()
    core.add_engines(2, decode)
    names = [f"d{number}" for number in range(decode)]
    name_limit(core, *names)

    async def repeat(name: str) -> Caller:
        return await core.generate(request(name, STREAM, target="/p/x"))

    results = await run_load(repeat, per_s=10, seconds=15)
    for name in names:
        check_pace(core, name, 15)
    assert sum(isinstance(result, Caller) for result in results) >= 15 * decode
