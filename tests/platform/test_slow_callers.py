"""Callers that don't read their answers, over real sockets."""

import asyncio

from marjoramstile.fronts import answers
from marjoramstile.fronts.closing import CloseReason
from marjoramstile.platform.front import FrontHandler
from tests.fronts.support import FrontHarness
from tests.platform.support import HOST


async def test_a_stream_whose_caller_reads_nothing_ends(monkeypatch):
    """It held its replica's slot for as long as its connection lasted."""
    monkeypatch.setattr(answers, "EVENT_TIMEOUT_S", 0.3)
    harness = FrontHarness()
    events = b"id: 1\ndata: " + b"x" * 500_000 + b"\n\n"
    ended = asyncio.Event()

    class EndlessEntry:
        limits = harness.entry.limits
        stopping = False

        async def handle(self, incoming, responder):
            await responder.start(200, ())
            try:
                while True:
                    await responder.write(events)
            finally:
                ended.set()

    async with harness.serve(FrontHandler(EndlessEntry(), harness.bodies).handle):
        _, writer = await asyncio.open_connection(HOST, harness.port, limit=1000)
        writer.write(b"GET /s HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n\r\n")
        async with asyncio.timeout(10):
            await ended.wait()
        writer.close()
    reasons = [closed.reason for closed in harness.closings.closed]
    assert reasons == [CloseReason.ANSWER_NOT_TAKEN]
