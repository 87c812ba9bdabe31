"""Which answers count as good in the burn rate, on the virtual clock."""

import asyncio

import pytest

from marjoramstile.reports import burn
from marjoramstile.reports.burn import BurnReport
from marjoramstile.routes.entry import IncomingRequest
from marjoramstile.routes.requests import RequestRefusedError
from marjoramstile.routes.service_levels import TimedResponder, meets_targets
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from tests.fronts.support import FrontHarness
from tests.routes.support import LLM, PLAIN, SIZE, Caller, request, route

STREAM = route(RouteKind.STREAM)


async def timed_stream(*pauses_s: float) -> TimedResponder:
    """Send events, each after a pause."""
    times = TimedResponder(Caller())
    for pause_s in pauses_s:
        await asyncio.sleep(pause_s)
        await times.write(b"id: 1\n\n")
    return times


@pytest.mark.parametrize(
    ("pauses_s", "good"),
    [
        ((0.8, 0.1, 0.1), True),
        ((1.0, 0.1, 0.1), False),
        ((0.8, 0.1, 0.4), False),
        ((), False),
    ],
)
async def test_a_stream_is_good_only_if_first_event_and_gaps_meet_targets(
    pauses_s, good
):
    sent_request = request("q", STREAM)
    times = await timed_stream(*pauses_s)
    await asyncio.sleep(30)
    assert meets_targets(sent_request, None, times, loop_time()) == good


async def send_request(harness: FrontHarness, path: str, size=None):
    """Send a request to the harness's entry."""
    incoming = IncomingRequest(
        "q", "GET", "h.example", path, path, (), b"", None, size, None
    )
    return await harness.entry.handle(incoming, Caller())


def burn_counts(harness: FrontHarness) -> dict[str, tuple[int, int]]:
    """Return the numbers of all and of bad answers by service."""
    rows = harness.entry.burn.rows(loop_time())
    return {row.service: (row.total, row.bad) for row in rows}


async def test_answers_are_counted_by_service():
    harness = FrontHarness()
    await send_request(harness, "/plain/x")
    await send_request(harness, "/stream/x", SIZE)
    assert burn_counts(harness) == {PLAIN: (1, 0), LLM: (1, 0)}
    await harness.core.tasks.close()


async def test_refusals_failures_and_late_answers_are_bad():
    harness = FrontHarness()
    for fake in harness.core.pool.replicas.values():
        fake.faults.errors = 1
    await send_request(harness, "/plain/x")
    for fake in harness.core.pool.replicas.values():
        fake.faults.errors = 0
        harness.core.directory.remove(fake.replica.id, 0.0, 1.0)
    for path, size in (("/plain/x", None), ("/stream/x", SIZE)):
        with pytest.raises(RequestRefusedError):
            await send_request(harness, path, size)
    assert burn_counts(harness) == {PLAIN: (2, 2), LLM: (1, 1)}
    await harness.core.tasks.close()


async def test_requests_of_disconnected_callers_are_not_counted():
    harness = FrontHarness()
    sent_request = asyncio.create_task(send_request(harness, "/stream/x", SIZE))
    await asyncio.sleep(0.05)
    sent_request.cancel()
    await asyncio.gather(sent_request, return_exceptions=True)
    assert burn_counts(harness) == {}
    await harness.core.tasks.close()


def test_the_number_of_counted_services_is_bounded(monkeypatch):
    monkeypatch.setattr(burn, "KEYS_MAX", 2)
    report = BurnReport()
    for service in ("a", "b", "c", "a"):
        report.record(service, "stream", good=True, now=0.0)
    totals = {row.service: row.total for row in report.rows(0.0)}
    assert totals == {"a": 2, "b": 1}


class SlowCaller(Caller):
    """Takes every part of an answer after a pause."""

    async def write(self, data: bytes) -> None:
        """Take an event after 0.5 s."""
        await asyncio.sleep(0.5)
        await super().write(data)


async def test_waits_for_the_replica_and_for_the_caller_are_told_apart():
    """Streams that ran until the deadline could not be explained without them."""
    times = TimedResponder(SlowCaller())
    for pause_s in (1.0, 0.1, 0.2):
        await asyncio.sleep(pause_s)
        await times.write(b"id: 1\n\n")
    await times.finish()
    assert times.events == 3
    assert times.caller_wait_s == pytest.approx(1.5)
    assert times.replica_wait_s == pytest.approx(0.3)
    assert times.first_at == pytest.approx(loop_time() - 2.8 + 1.0)
