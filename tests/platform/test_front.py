"""The callers' HTTP front over real sockets, with fake replicas."""

import asyncio
import contextlib
import json
import re
from dataclasses import replace

import pytest
import pytest_asyncio
from aiohttp.test_utils import make_mocked_request

from marjoramstile.fronts import answers, bodies
from marjoramstile.platform.front import FrontHandler, PlatformEndpoints
from marjoramstile.workspaces.keys import key_digest
from marjoramstile.workspaces.table import (
    Quota,
    QuotaUnit,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
)
from standins.replica_pool import ReplicaModel
from tests.fronts.support import FrontHarness
from tests.platform.support import HOST


@pytest_asyncio.fixture
async def harness():
    """Run the front with its fake replicas for one test."""
    result = FrontHarness()
    handler = FrontHandler(result.entry, result.bodies).handle
    async with result.serve(handler):
        yield result


def head(path: str, *lines: str, method: str = "GET") -> bytes:
    """Return the head of request q1."""
    fixed = ["Host: H.example:80", "X-Request-Id: q1", *lines, "Connection: close"]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *fixed, "", ""]).encode()


TOKENS = "X-Token-Count: 3200,110"


async def test_a_call_is_answered_by_its_replica(harness):
    answer = await harness.exchange(head("/plain/x"))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"X-Server-Stamp: s" in answer
    assert answer.endswith(b"q1")


async def test_a_long_answer_arrives_in_slices_and_whole(harness):
    for fake in harness.core.pool.replicas.values():
        fake.faults.answer_bytes = 1_000_000
    head_bytes, _, body = (await harness.exchange(head("/plain/x"))).partition(
        b"\r\n\r\n"
    )
    assert b"Content-Length: 1000002" in head_bytes
    assert b"X-Server-Stamp: s" in head_bytes
    assert body == b"q1" + b"x" * 1_000_000


async def test_a_caller_that_takes_no_answer_is_cut_off(harness, monkeypatch):
    """It kept the memory of its answer for as long as its connection lasted."""
    monkeypatch.setattr(answers, "ANSWER_TIMEOUT_S", 0.3)
    for fake in harness.core.pool.replicas.values():
        fake.faults.answer_bytes = 30_000_000
    reader, writer = await asyncio.open_connection(HOST, harness.port, limit=1000)
    writer.write(head("/plain/x"))
    await asyncio.sleep(1.0)
    taken = 0
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1_000_000):
            taken += len(data)
    assert 0 < taken < 30_000_000
    writer.close()


async def test_a_chunked_body_is_read_whole(harness):
    body = b"3\r\nabc\r\n0\r\n\r\n"
    lines = head("/plain/x", "Transfer-Encoding: chunked", method="POST")
    assert (await harness.exchange(lines + body)).startswith(b"HTTP/1.1 200")


async def test_a_request_over_the_quota_is_told_when_to_come_again(harness):
    quota = Quota(0.25, 1.0, QuotaUnit.REQUESTS, 0)
    keys = WorkspaceKeys(Workspace("first", None, quota), (key_digest("k"),))
    harness.table = replace(harness.table, workspaces=WorkspaceTable([keys]))
    request = head("/plain/x", "Authorization: Bearer k")
    answers = [await harness.exchange(request) for _ in range(4)]
    assert all(item.startswith(b"HTTP/1.1 200") for item in answers[:3])
    assert answers[3].startswith(b"HTTP/1.1 429")
    (wait,) = re.findall(rb"Retry-After: ([0-9.]+)", answers[3])
    assert 0 < float(wait) <= 8.0


async def test_a_path_without_route_is_not_found(harness):
    assert (await harness.exchange(head("/other/x"))).startswith(b"HTTP/1.1 404")


async def test_without_configuration_the_answer_is_503_and_never_404(harness):
    harness.table = None
    answer = await harness.exchange(head("/other/x"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.5" in answer


async def test_request_is_rejected_without_running_when_buffers_are_full(harness):
    for _ in range(2):
        harness.buffers.reserve(0, 49_950)
    lines = head("/plain/x", "Content-Length: 500", method="POST")
    answer = await harness.exchange(lines + b"x" * 500)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.5" in answer
    assert harness.core.pool.runs["q1"] == 0
    assert harness.buffers.used == 99_900


async def test_incomplete_body_times_out(harness, monkeypatch):
    monkeypatch.setattr(bodies, "BODY_TIMEOUT_S", 0.2)
    lines = head("/plain/x", "Content-Length: 500", method="POST")
    answer = await harness.exchange(lines + b"x" * 100)
    assert answer.startswith(b"HTTP/1.1 408")
    assert harness.core.pool.runs["q1"] == 0
    assert harness.buffers.used == 0


async def test_a_body_over_the_limit_is_refused(harness):
    lines = head("/plain/x", "Content-Length: 2000", method="POST")
    answer = await harness.exchange(lines + b"x" * 2000)
    assert answer.startswith(b"HTTP/1.1 413")
    assert harness.core.pool.runs["q1"] == 0


@pytest.mark.parametrize(
    "framing",
    [
        ("Content-Length: 5", "Transfer-Encoding: chunked"),
        ("Content-Length: 5", "Content-Length: 6"),
        ("Content-Length: +5",),
        ("Transfer-Encoding: xchunked",),
    ],
)
async def test_smuggled_request_never_runs(harness, framing):
    hidden = head("/plain/hidden").replace(b"q1", b"q2")
    lines = head("/plain/x", *framing, method="POST").replace(b"close", b"keep-alive")
    await harness.exchange(lines + b"0\r\n\r\n" + hidden, for_s=0.5)
    assert harness.core.pool.runs["q2"] == 0


async def test_a_stream_arrives_whole_and_framed(harness):
    answer = await harness.exchange(head("/stream/x", TOKENS, method="POST"))
    assert answer.count(b"id: ") == 10
    assert answer.endswith(b"\r\n0\r\n\r\n")


async def test_a_broken_stream_does_not_look_complete(harness):
    for name in ("d0", "d1"):
        harness.core.pool.replicas[name].faults.break_after_events = 3
    answer = await harness.exchange(head("/once/x", TOKENS, method="POST"))
    assert answer.count(b"id: ") == 3
    assert not answer.endswith(b"\r\n0\r\n\r\n")


async def test_rejection_has_retry_after_and_does_not_run_the_request(harness):
    for name in ("d0", "d1"):
        harness.core.pool.replicas[name].faults.full = True
    answer = await harness.exchange(head("/stream/x", TOKENS, method="POST"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: " in answer
    assert harness.core.pool.runs["q1"] == 0


@pytest.mark.parametrize(
    "line",
    [
        "X-Deadline-Ms: nan",
        "X-Deadline-Ms: inf",
        "X-Deadline-Ms: -1",
        "X-Deadline-Ms: 1e999",
        "X-Length-Hint: inf",
        "X-Length-Hint: -5",
        "Last-Event-Id: \u00b2",
        "Last-Event-Id: " + "9" * 5000,
    ],
)
async def test_invalid_numeric_header_is_ignored(harness, line):
    answer = await harness.exchange(head("/stream/x", TOKENS, line, method="POST"))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.count(b"id: ") == 10


async def test_caller_disconnect_cancels_the_run(harness):
    slow = ReplicaModel(step_s=0.02)
    for name in ("d0", "d1"):
        harness.core.pool.replicas[name].model = slow
    lines = head("/stream/x", "X-Token-Count: 3200,1100", method="POST")
    reader, writer = await asyncio.open_connection(HOST, harness.port)
    writer.write(lines)
    await reader.readuntil(b"id: 1")
    writer.transport.abort()
    async with asyncio.timeout(0.5):
        while any(fake.running for fake in harness.core.pool.replicas.values()):
            await asyncio.sleep(0.01)
    assert harness.entry.running == 0


async def test_stopping_daemon_serves_request_and_closes_connection(harness):
    harness.entry.stop()
    keep_alive_request = head("/plain/x").replace(b"close", b"keep-alive")
    answer = await harness.exchange(keep_alive_request)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in answer
    assert not harness.entry.ready


async def test_readiness_follows_the_entry(harness):
    endpoints = PlatformEndpoints(harness.entry, None)
    assert (await endpoints.ready(None)).status == 200
    harness.entry.stop()
    assert (await endpoints.ready(None)).status == 503


async def test_addresses_are_returned_with_their_ttl(harness):
    class Addresses:
        ttl_s = 1.5

        def current(self, region):
            return [f"{region}.0.0.1:80"]

    request = make_mocked_request("GET", "/v1/resolve?name=h&region=10&zone=a")
    answer = await PlatformEndpoints(harness.entry, Addresses()).resolve(request)
    assert json.loads(answer.body) == {"addresses": ["10.0.0.1:80"], "ttlS": 1.5}
