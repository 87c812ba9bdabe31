"""Plain calls: how often a request runs, and what its caller receives."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from marjoramstile.routes.requests import (
    OutcomeUnknownError,
    RequestRefusedError,
)
from marjoramstile.routes.table import RouteKind
from tests.routes.support import RoutingCore, request, route

FAULTS = ("none", "refuse", "full", "lose", "error", "hang")


def set_fault(fake, fault: str) -> None:
    """Apply a fault to every request of a replica."""
    fake.faults.refuse = fault == "refuse"
    fake.faults.full = fault == "full"
    fake.faults.lose_answers = 99 if fault == "lose" else 0
    fake.faults.errors = 99 if fault == "error" else 0
    fake.faults.hang = fault == "hang"


async def run(kind: RouteKind, faults: tuple[str, ...], **changes):
    """Run a call over replicas with faults; return core and outcome."""
    core = RoutingCore()
    for fake, fault in zip(core.add_plain(len(faults)), faults, strict=True):
        set_fault(fake, fault)
    call = request("q", route(kind, **changes))
    try:
        outcome = await core.calls.run(call)
    except (RequestRefusedError, OutcomeUnknownError) as error:
        outcome = error
    await core.tasks.close()
    return core, outcome


@pytest.mark.parametrize("fault", ["refuse", "full"])
async def test_a_request_that_has_not_run_is_retried_at_another_replica(fault):
    core, outcome = await run(RouteKind.NON_IDEMPOTENT, (fault, fault, "none"))
    assert outcome.body == b"q"
    assert core.pool.runs["q"] == 1


async def test_a_non_idempotent_call_is_not_retried_after_a_lost_answer():
    core, outcome = await run(RouteKind.NON_IDEMPOTENT, ("lose", "lose"))
    assert isinstance(outcome, OutcomeUnknownError)
    assert core.pool.runs["q"] == 1


async def test_an_idempotent_call_is_retried_after_a_lost_answer():
    core, outcome = await run(RouteKind.IDEMPOTENT, ("lose", "none"))
    assert getattr(outcome, "status", None) == 200
    assert core.pool.runs["q"] <= 2


async def test_the_5xx_answer_of_a_replica_is_returned_when_all_fail():
    _, outcome = await run(RouteKind.IDEMPOTENT, ("error", "error", "error"))
    assert (outcome.status, outcome.body) == (500, b"error")


async def test_without_replicas_the_call_is_refused_at_once():
    core = RoutingCore()
    started = asyncio.get_running_loop().time()
    with pytest.raises(RequestRefusedError) as refused:
        await core.calls.run(request("q", route(RouteKind.IDEMPOTENT)))
    assert asyncio.get_running_loop().time() == started
    assert refused.value.retry_after_s > 0


async def test_a_call_to_a_hanging_replica_times_out():
    _, outcome = await run(RouteKind.NON_IDEMPOTENT, ("hang",))
    assert isinstance(outcome, OutcomeUnknownError)
    assert outcome.timed_out


async def test_retries_stop_when_the_budget_is_used_up():
    core = RoutingCore(slack=0.0)
    for fake in core.add_plain(3):
        set_fault(fake, "full")
    with pytest.raises(RequestRefusedError):
        await core.calls.run(request("q", route(RouteKind.IDEMPOTENT)))
    assert core.pool.arrivals["q"] == 1


@given(
    faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4),
    kind=st.sampled_from([RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT]),
    max_attempts=st.integers(1, 3),
)
def test_run_counts_stay_within_their_limits_under_any_faults(
    faults, kind, max_attempts
):
    with asyncio.Runner(loop_factory=virtual_time_loop) as runner:
        core, outcome = runner.run(run(kind, tuple(faults), max_attempts=max_attempts))
    runs = core.pool.runs["q"]
    if isinstance(outcome, RequestRefusedError):
        assert runs == 0
    if kind == RouteKind.NON_IDEMPOTENT:
        assert runs <= 1
    assert runs <= max_attempts


def virtual_time_loop():
    """Return a loop whose virtual clock advances only when all tasks wait."""
    import async_solipsism

    return async_solipsism.EventLoop()
