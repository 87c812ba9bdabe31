"""What callers get around the end of a planned stop, on the paused clock."""

import asyncio
from dataclasses import replace

import pytest
import pytest_asyncio

from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.entry import IncomingRequest
from marjoramstile.routes.requests import (
    OutcomeUnknownError,
    RefusalReason,
    RequestRefusedError,
    StreamBrokenError,
)
from marjoramstile.utils import loop_time
from tests.fronts.support import FrontHarness
from tests.routes.support import SIZE, Caller

GRACE_S = 8.0
CUT_S = 0.9 * GRACE_S
TIMEOUT_S = 30.0
# With the prior, prompts of 3,200 tokens take .1 s and answers of 781 tokens 6.7 s.
SLOW_PACE = GenerationProfile(3200.0, 781.0, 0.009, 32_000.0)


@pytest_asyncio.fixture
async def harness():
    """Run a core whose routes' timeouts are far beyond a stop."""
    result = FrontHarness()
    routes = tuple(replace(item, timeout_s=TIMEOUT_S) for item in result.table.routes)
    result.table = replace(result.table, routes=routes)
    yield result
    await result.core.tasks.close()


def send(
    harness,
    path: str,
    size=None,
    caller: Caller | None = None,
    resume_after: int | None = None,
) -> asyncio.Task:
    """Send a request to the core."""
    incoming = IncomingRequest(
        f"q{path}", "GET", "h.example", path, path, (), b"", None, size, resume_after
    )
    return asyncio.create_task(harness.entry.handle(incoming, caller or Caller()))


def hang(harness) -> None:
    """Let all replicas fall silent."""
    for fake in harness.core.pool.replicas.values():
        fake.faults.hang = True


async def test_call_that_a_replica_may_have_run_ends_as_unknown(harness):
    hang(harness)
    call = send(harness, "/plain/x")
    await asyncio.sleep(0.1)
    began = loop_time()
    harness.entry.stop()
    with pytest.raises(OutcomeUnknownError):
        await call
    assert loop_time() - began == pytest.approx(CUT_S)
    assert harness.entry.running == 0


async def test_stream_whose_prompt_is_still_read_ends_as_refused(harness, monkeypatch):
    async def read_prompt(*args):
        await asyncio.sleep(TIMEOUT_S)

    monkeypatch.setattr(harness.core.pool, "prefill", read_prompt)
    stream = send(harness, "/stream/x", SIZE)
    await asyncio.sleep(0.1)
    harness.entry.stop()
    with pytest.raises(RequestRefusedError):
        await stream


async def test_request_that_still_waits_for_a_place_ends_as_refused(
    harness, monkeypatch
):
    async def wait_for_place(*args):
        await asyncio.sleep(TIMEOUT_S)

    monkeypatch.setattr(harness.core.generations, "run", wait_for_place)
    stream = send(harness, "/stream/x", SIZE)
    await asyncio.sleep(0.1)
    began = loop_time()
    harness.entry.stop()
    with pytest.raises(RequestRefusedError) as refusal:
        await stream
    assert refusal.value.reason == RefusalReason.STOPPING
    assert loop_time() - began == pytest.approx(CUT_S)


async def test_begun_stream_is_broken_off(harness):
    caller = Caller()
    stream = send(harness, "/once/x", SIZE, caller)
    await caller.started.wait()
    hang(harness)
    began = loop_time()
    harness.entry.stop()
    with pytest.raises(StreamBrokenError):
        await stream
    assert loop_time() - began == pytest.approx(CUT_S)
    assert not caller.complete


async def test_requests_after_the_end_are_refused_as_not_run(harness):
    harness.entry.stop()
    harness.entry.refuse_new()
    with pytest.raises(RequestRefusedError) as refusal:
        await send(harness, "/plain/x")
    assert refusal.value.reason == RefusalReason.STOPPING
    assert harness.core.pool.runs["q/plain/x"] == 0


def know_pace(harness) -> None:
    """Let the daemon know how fast the pool is."""
    harness.core.scheduler.statistics.replace(SLOW_PACE, loop_time())


async def test_stream_that_can_not_fit_is_refused_at_once(harness):
    know_pace(harness)
    harness.entry.stop()
    await asyncio.sleep(0.5)
    began = loop_time()
    with pytest.raises(RequestRefusedError) as refusal:
        await send(harness, "/stream/x", SIZE)
    assert refusal.value.reason == RefusalReason.STOPPING
    assert loop_time() == began
    assert harness.core.pool.runs["q/stream/x"] == 0


@pytest.mark.parametrize(("after_s", "hint"), [(0.0, 781), (0.3, 781), (2.3, 390)])
async def test_stream_that_fits_is_served(harness, after_s, hint):
    know_pace(harness)
    harness.entry.stop()
    await asyncio.sleep(after_s)
    size = replace(SIZE, expected_output=hint)
    caller = Caller()
    await send(harness, "/stream/x", size, caller)
    assert caller.complete


async def test_stream_of_a_pool_without_known_pace_is_started_as_before(harness):
    harness.entry.stop()
    await asyncio.sleep(2.3)
    caller = Caller()
    await send(harness, "/stream/x", SIZE, caller)
    assert caller.complete


async def test_call_that_takes_too_long_by_its_route_is_refused_at_once(harness):
    for fake in harness.core.pool.replicas.values():
        fake.model = replace(fake.model, work_s=6.0)
    for _ in range(8):
        await send(harness, "/plain/x")
    harness.entry.stop()
    await asyncio.sleep(1.3)
    with pytest.raises(RequestRefusedError) as refusal:
        await send(harness, "/plain/y")
    assert refusal.value.reason == RefusalReason.STOPPING
    assert harness.core.pool.runs["q/plain/y"] == 0
