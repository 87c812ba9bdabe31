"""What is recorded at the end of a caller's connection."""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from marjoramstile.fronts import answers, bodies, listening
from marjoramstile.fronts.closing import ClosedConnection, CloseReason, ClosingReport
from marjoramstile.platform.front import FrontHandler
from marjoramstile.reports.metrics import Metrics
from marjoramstile.utils import loop_time
from tests.fronts.support import FrontHarness
from tests.platform.support import HOST
from tests.support import captured_logs


@pytest_asyncio.fixture
async def harness():
    """Run the front with its fake replicas for one test."""
    result = FrontHarness()
    handler = FrontHandler(result.entry, result.bodies).handle
    async with result.serve(handler):
        yield result


def request(path: str, *lines: str) -> bytes:
    """Return a request q1 without a body."""
    fixed = ["Host: h.example", "X-Request-Id: q1", *lines]
    return "\r\n".join([f"POST {path} HTTP/1.1", *fixed, "", ""]).encode()


async def the_end(harness):
    """Return what is recorded of the only connection, once it has ended."""
    async with asyncio.timeout(2.0):
        while not harness.closings.closed:
            await asyncio.sleep(0.01)
    (closed,) = harness.closings.closed
    name = "caller_connections_closed"
    assert harness.closings.metrics.value(name, closed.reason) == 1
    assert closed.listener == "front"
    return closed


async def test_head_that_is_late_is_named(harness, monkeypatch):
    monkeypatch.setattr(listening, "HEAD_TIMEOUT_S", 0.1)
    await harness.exchange(b"POST /plain/x HTTP/1.1\r\nHost:")
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.HEAD_TIMEOUT, 0)


async def test_body_that_is_late_is_named(harness, monkeypatch):
    monkeypatch.setattr(bodies, "BODY_TIMEOUT_S", 0.1)
    await harness.exchange(request("/plain/x", "Content-Length: 9") + b"abc")
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.BODY_REFUSED, 0)


@pytest.mark.parametrize("reason", [CloseReason.ROOM_NEEDED, CloseReason.NO_ROOM])
def test_connections_closed_at_a_bound_fill_the_log(reason):
    report = ClosingReport(Metrics())
    with captured_logs("info") as logs:
        for _ in range(100):
            report.record(ClosedConnection("front", reason, 0, "", False, ""))
        report.record(ClosedConnection("front", reason, 1, "q1", True, ""))
    (line,) = logs.getvalue().splitlines()
    assert "level=warning" in line
    assert "request=q1" in line


async def test_unreadable_request_is_named(harness):
    answer = await harness.exchange(b"no request\r\n\r\n")
    assert answer.startswith(b"HTTP/1.0 400")
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.BAD_REQUEST, 0)


async def test_last_answer_of_a_connection_is_named(harness):
    await harness.exchange(request("/plain/x", "Connection: close"))
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.ANSWERED, 0)


async def test_caller_that_leaves_is_named_with_its_request(harness):
    for fake in harness.core.pool.replicas.values():
        fake.model = fake.model.__class__(work_s=1.0)
    _, writer = await asyncio.open_connection(HOST, harness.port)
    writer.write(request("/plain/x"))
    await asyncio.sleep(0.1)
    writer.close()
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.CALLER_GONE, 1)
    assert (closed.request, closed.passed_on) == ("q1", True)
    count = harness.closings.metrics.value("caller_requests_unanswered", closed.reason)
    assert count == 1


async def test_broken_stream_is_named_with_its_request(harness):
    for name in ("d0", "d1"):
        harness.core.pool.replicas[name].faults.break_after_events = 3
    await harness.exchange(request("/once/x", "X-Token-Count: 3200,110"))
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.STREAM_BROKEN, 1)
    assert (closed.request, closed.passed_on) == ("q1", True)


async def test_answer_that_is_not_taken_is_named(harness, monkeypatch):
    monkeypatch.setattr(answers, "ANSWER_TIMEOUT_S", 0.3)
    for fake in harness.core.pool.replicas.values():
        fake.faults.answer_bytes = 30_000_000
    reader, writer = await asyncio.open_connection(HOST, harness.port, limit=1000)
    writer.write(request("/plain/x"))
    await asyncio.sleep(0.6)
    with contextlib.suppress(ConnectionError):
        while await reader.read(1_000_000):
            pass
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.ANSWER_NOT_TAKEN, 1)
    writer.close()


async def test_refused_request_counts_as_not_passed_on(harness):
    for name in ("d0", "d1"):
        harness.core.pool.replicas[name].faults.full = True
    answer = await harness.exchange(
        request("/stream/x", "X-Token-Count: 3200,110", "Connection: close")
    )
    assert answer.startswith(b"HTTP/1.1 503")
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.ANSWERED, 0)


async def test_idle_connection_is_named(harness):
    reader, writer = await asyncio.open_connection(HOST, harness.port)
    await asyncio.sleep(0.05)
    (connection,) = harness.server.connections
    connection._next_keepalive_close_time = 0.0
    connection._process_keepalive()
    assert await reader.read() == b""
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.KEEP_ALIVE_ENDED, 0)
    writer.close()


async def test_uncaught_error_answers_its_request_and_closes_nothing_else(
    harness, monkeypatch
):
    other_reader, other_writer = await asyncio.open_connection(HOST, harness.port)
    other_writer.write(request("/stream/x", "X-Token-Count: 3200,781"))
    await other_reader.readuntil(b"id: 1")

    async def fail(*args):
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.calls, "run", fail)
    answer = await harness.exchange(request("/plain/x"))
    assert answer.startswith(b"HTTP/1.1 500")
    head, _, body = answer.partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.HANDLER_FAILED, 0)
    assert harness.metrics.value("requests_failed", "p") == 1
    assert harness.metrics.value("requests_caller_gone", "p") == 0
    assert harness.entry.burn.rows(loop_time())[0].bad == 1
    await other_reader.readuntil(b"\r\n0\r\n\r\n")
    other_writer.close()


async def test_uncaught_error_leaves_no_pipelined_request_unanswered(
    harness, monkeypatch
):
    async def fail(*args):
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.calls, "run", fail)
    answer = await harness.exchange(request("/plain/x") + request("/other/x"))
    assert answer.count(b"HTTP/1.1 500") == 1
    assert answer.count(b"HTTP/1.1 404") == 1
    assert (await the_end(harness)).unanswered == 0


async def test_refused_body_leaves_no_pipelined_request_unanswered(harness):
    body = b"x" * 2000
    too_long = request("/plain/x", f"Content-Length: {len(body)}") + body
    answer = await harness.exchange(too_long + request("/other/x"))
    assert answer.count(b"HTTP/1.1 413") == 1
    assert answer.count(b"HTTP/1.1 404") == 1
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.BODY_REFUSED, 0)


async def test_uncaught_error_in_a_stream_can_not_be_taken_for_its_end(
    harness, monkeypatch
):
    async def start_and_fail(incoming, engine, responder):
        await responder.start(200, ())
        await responder.write(b"id: 1\n\n")
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.generations, "run", start_and_fail)
    answer = await harness.exchange(request("/stream/x", "X-Token-Count: 3200,110"))
    assert b"id: 1" in answer
    assert not answer.endswith(b"0\r\n\r\n")
    closed = await the_end(harness)
    assert (closed.reason, closed.unanswered) == (CloseReason.HANDLER_FAILED, 1)
