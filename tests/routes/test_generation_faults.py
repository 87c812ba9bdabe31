"""Invariants of generations under any combination of replica faults."""

import asyncio
from dataclasses import replace

import async_solipsism
from hypothesis import given, settings, strategies as st

from marjoramstile.routes.requests import (
    OutcomeUnknownError,
    RequestRefusedError,
    StreamBrokenError,
)
from marjoramstile.routes.table import RouteKind
from standins.replica_pool import Faults
from tests.routes.support import EVENTS, LLM, Caller, RoutingCore, request, route

CRASHING_BODY = b"deadly"
REPLICA_FAULTS = st.sampled_from(
    [
        Faults(),
        Faults(refuse=True),
        Faults(full=True),
        Faults(lose_handles=1),
        Faults(break_after_events=0),
        Faults(break_after_events=7),
        Faults(deadly_body=CRASHING_BODY),
    ]
)
# Replicas with different faults, or four with the same one.
DECODE_FAULTS = st.one_of(
    st.lists(REPLICA_FAULTS, min_size=1, max_size=4),
    st.builds(lambda faults, count: [faults] * count, REPLICA_FAULTS, st.just(4)),
)


async def generate(prefill, decode, resumable, max_attempts):
    """Run one generation; return the core, the caller and the error, if any."""
    core = RoutingCore()
    core.add_engines(len(prefill), len(decode))
    for name, faults in zip(
        [f"e{n}" for n in range(len(prefill))] + [f"d{n}" for n in range(len(decode))],
        [*prefill, *decode],
        strict=True,
    ):
        core.pool.replicas[name].faults = replace(faults)
    on_route = route(RouteKind.STREAM, resumable=resumable, max_attempts=max_attempts)
    caller = Caller()
    error = None
    try:
        await core.generate(request("q", on_route, body=CRASHING_BODY), caller)
    except (RequestRefusedError, OutcomeUnknownError, StreamBrokenError) as raised:
        error = raised
    await asyncio.sleep(3.0)
    return core, caller, error


@settings(max_examples=150)
@given(
    prefill=st.lists(REPLICA_FAULTS, max_size=3),
    decode=DECODE_FAULTS,
    resumable=st.booleans(),
    max_attempts=st.integers(1, 3),
)
def test_invariants_hold_under_any_faults(prefill, decode, resumable, max_attempts):
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        core, caller, error = runner.run(
            generate(prefill, decode, resumable, max_attempts)
        )
        assert_nothing_held(core, runner)
    runs = core.pool.runs["q"]
    assert runs <= (max_attempts if resumable else 1)
    if isinstance(error, RequestRefusedError):
        assert runs == 0
        assert error.retry_after_s > 0
    if error is None:
        assert caller.complete
        assert caller.ids == list(range(1, EVENTS + 1))
    else:
        assert not caller.complete
    assert extra_arrivals(core) <= len(core.budget._retries[LLM])


def extra_arrivals(core: RoutingCore) -> int:
    """Return a lower bound of the arrivals beyond the first prefill and run."""
    return max(0, core.pool.arrivals["q"] - 2)


def assert_nothing_held(core: RoutingCore, runner: asyncio.Runner) -> None:
    """Fail if a live replica still runs or holds anything."""

    async def check() -> None:
        for fake in core.pool.replicas.values():
            assert not fake.running
            assert fake.faults.refuse or fake.used_tokens == 0

    runner.run(check())
    assert core.leases == 0
