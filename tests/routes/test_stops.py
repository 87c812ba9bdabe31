"""What callers get around the end of a planned stop, on the paused clock."""

import asyncio
from dataclasses import replace

import pytest
import pytest_asyncio

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


@pytest_asyncio.fixture
async def harness():
    """Run a core whose routes' timeouts are far beyond a stop."""
    result = FrontHarness()
    routes = tuple(replace(item, timeout_s=TIMEOUT_S) for item in result.table.routes)
    result.table = replace(result.table, routes=routes)
    yield result
    await result.core.tasks.close()


def send(harness, path: str, size=None, caller: Caller | None = None) -> asyncio.Task:
    """Send a request to the core."""
    incoming = IncomingRequest(
        f"q{path}", "GET", "h.example", path, path, (), b"", None, size, None
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
