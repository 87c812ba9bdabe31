"""Bytes that never make a request: what they are answered, and what else is served."""

import asyncio
import contextlib

import pytest
import pytest_asyncio
from aiohttp import web

from marjoramstile.fronts import bodies, caller_connection, turns
from marjoramstile.fronts.bodies import BodyReader, BodyRefusedError
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.caller_connection import CallerConnection
from marjoramstile.fronts.closing import CloseReason
from marjoramstile.fronts.listening import CallerServer, close_when_idle
from marjoramstile.fronts.received import HeldBytes, ReadLimits
from tests.fronts.support import KeptClosings
from tests.support import captured_logs

HOST = "127.0.0.1"
HEAD_MAX_BYTES = 2000
BODY_MAX_BYTES = 100_000
HELD_MAX_BYTES = 10_000
HEAD_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 0.6
WORK_S = 0.1
# Ends a test whose connection hangs.
EXCHANGE_S = 20.0
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Front:
    """A listener whose handler reads the body and works for a time."""

    def __init__(self):
        self.closings = KeptClosings()
        self.limits = ReadLimits(HEAD_MAX_BYTES, HEAD_TIMEOUT_S, IDLE_TIMEOUT_S)
        self.held = HeldBytes(HELD_MAX_BYTES)
        self.run: list[bytes] = []
        self.work_s = WORK_S
        self._bodies = BodyReader(BufferBudget(10 * BODY_MAX_BYTES))
        self.server = CallerServer(
            self._handle,
            name="front",
            closings=self.closings,
            read_limits=lambda: self.limits,
            held=self.held,
            handler_cancellation=True,
            lingering_time=0.5,
        )
        self.port = 0

    async def _handle(self, request):
        if request.path == "/unread":
            return web.Response(text="done")
        try:
            async with self._bodies.read_body(request, BODY_MAX_BYTES) as body:
                self.run.append(body)
                await asyncio.sleep(self.work_s)
                return web.Response(text="done")
        except BodyRefusedError as error:
            close_when_idle(request)
            return web.Response(status=error.status)

    async def connect(self):
        """Open a connection."""
        return await asyncio.open_connection(HOST, self.port)

    async def exchange(self, *parts: bytes, pause_s: float = 0.0) -> bytes:
        """Send parts and return what is received until the connection ends."""
        reader, writer = await self.connect()
        reading = asyncio.create_task(read_to_end(reader))
        with contextlib.suppress(ConnectionError, RuntimeError, TimeoutError):
            async with asyncio.timeout(EXCHANGE_S):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
        answer = await reading
        writer.transport.abort()
        return answer

    async def reasons(self, count: int = 1) -> list[CloseReason]:
        """Return why connections have ended."""
        async with asyncio.timeout(2.0):
            while len(self.closings.closed) < count:
                await asyncio.sleep(0.01)
        return [closed.reason for closed in self.closings.closed]


async def read_to_end(reader) -> bytes:
    """Return all that arrives, also before a reset."""
    received = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(EXCHANGE_S):
            while data := await reader.read(65_536):
                received += data
    return received


@pytest_asyncio.fixture
async def front():
    """Serve on a free port."""
    result = Front()
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(result.server, HOST, 0)
    result.port = listener.sockets[0].getsockname()[1]
    yield result
    listener.close()
    await result.server.shutdown(0.1)
    assert result.held.used == 0


@pytest.mark.parametrize(
    "data",
    [
        GET[:-2] + b"A: %s" % (b"x" * 2 * HEAD_MAX_BYTES),
        GET[:-2] + b"A: b\r\n" * HEAD_MAX_BYTES,
        b"\r\n" * HEAD_MAX_BYTES,
        b"GET /" + b"x" * 2 * HEAD_MAX_BYTES,
    ],
    ids=["field", "fields", "empty lines", "line"],
)
async def test_long_head_is_kept_or_told_as_run(front, data):
    answer = await front.exchange(data)
    assert answer.split()[1] in (b"431", b"400")
    assert b"onnection: close" in answer
    (reason,) = await front.reasons()
    assert reason in (CloseReason.HEAD_TOO_LONG, CloseReason.BAD_REQUEST)
    assert front.run == []


@pytest.mark.parametrize("size", [7, 101, HEAD_MAX_BYTES, 10 * HEAD_MAX_BYTES])
async def test_heads_within_the_limit_are_refused(front, size):
    front.server._held = HeldBytes(10 * HEAD_MAX_BYTES)
    padding = b"A: %s\r\n\r\n" % (b"x" * (HEAD_MAX_BYTES - len(GET) - 7))
    request = GET[:-2] + padding
    data = request * 9
    parts = (data[start : start + size] for start in range(0, len(data), size))
    answer = await front.exchange(*parts)
    assert answer.count(b"HTTP/1.1 200") == 9
    assert await front.reasons() == [CloseReason.KEEP_ALIVE_ENDED]


async def test_requests_before_an_endless_head_are_not_answered(front):
    answer = await front.exchange(GET * 3 + b"\r\n" * 2 * HEAD_MAX_BYTES)
    assert answer.count(b"HTTP/1.1 200") == 3
    assert answer.count(b" 431 ") == 1
    assert len(front.run) == 3


@pytest.mark.parametrize(
    ("first", "repeated"), [(b"", b"\r"), (b"", b"\r\n"), (b"GET /", b"x")]
)
async def test_slow_bytes_without_a_request_keep_their_connection(
    front, first, repeated
):
    loop = asyncio.get_running_loop()
    began = loop.time()
    assert await front.exchange(first, *[repeated] * 100, pause_s=0.01) == b""
    assert loop.time() - began >= HEAD_TIMEOUT_S
    assert await front.reasons() == [CloseReason.HEAD_TIMEOUT]


@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (b"5;a=" + b"x" * 100_000, 400),
        (b"0\r\n" + b"A: b\r\n" * 100_000, 400),
        (b"1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n" * 10_000, 400),
        (b"1\r\nx\r\n" * (BODY_MAX_BYTES + 1), 413),
        (b"5\r\nabcdeno number\r\n" * 1000, 400),
        (b"1000\r\n%s\r\n" % (b"x" * 4096) * 100, 413),
    ],
    ids=[
        "extension",
        "trailers",
        "extensions",
        "chunks of a byte",
        "no chunk",
        "too long",
    ],
)
async def test_unusable_body_is_kept_or_told_as_run(front, rest, status):
    answer = await front.exchange(CHUNKED + rest)
    assert int(answer.split()[1]) == status
    assert answer.count(b"HTTP/1") == 1
    (reason,) = await front.reasons()
    assert reason in (
        CloseReason.BODY_FRAMING,
        CloseReason.BODY_REFUSED,
        CloseReason.BAD_REQUEST,
    )
    assert front.run == []


async def test_slow_framing_keeps_its_connection(front):
    """Each byte of an extension was progress."""
    answer = await front.exchange(CHUNKED + b"5;a=", *[b"x"] * 200, pause_s=0.01)
    assert answer.startswith(b"HTTP/1.1 408")
    assert await front.reasons() == [CloseReason.BODY_FRAMING]
    assert front.run == []


async def test_pauses_between_chunks_are_taken_for_slow_framing(front):
    parts = [b"1\r\nx\r\n"] * 4
    pause_s = 1.5 * HEAD_TIMEOUT_S
    answer = await front.exchange(CHUNKED, *parts, b"0\r\n\r\n", pause_s=pause_s)
    assert answer.startswith(b"HTTP/1.1 200")
    assert front.run == [b"xxxx"]


@pytest.mark.parametrize("size", [1, 2, 3, 50])
async def test_small_chunks_are_taken_for_framing(front, size):
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    count = BODY_MAX_BYTES // size
    answer = await front.exchange(CHUNKED + chunk * count + b"0\r\n\r\n" + GET)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert front.run == [b"x" * size * count, b""]


async def test_bodies_in_short_chunks_keep_others_from_their_turns(front, monkeypatch):
    """Long ones are refused while many wait; none of them has run."""
    monkeypatch.setattr(turns, "WAITING_MAX", 4)
    monkeypatch.setattr(turns, "LONG_WORK_TURNS", 8)
    long_body = CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"
    short_body = CHUNKED + b"1\r\ny\r\n" * 1000 + b"0\r\n\r\n"
    answers = await asyncio.gather(
        *(front.exchange(long_body) for _ in range(10)),
        *(front.exchange(short_body) for _ in range(10)),
    )
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers[10:])
    served = sum(answer.startswith(b"HTTP/1.1 200") for answer in answers[:10])
    refused = sum(answer.startswith(b"HTTP/1.1 503") for answer in answers[:10])
    assert refused >= 1
    assert served + refused == 10
    assert front.run.count(b"x" * 20_000) == served
    assert front.run.count(b"y" * 1000) == 10


async def test_refused_body_goes_on_without_end(front, monkeypatch):
    """What is discarded, so that its client reads the refusal, has a bound."""
    monkeypatch.setattr(caller_connection, "DISCARDED_MAX_BYTES", 200_000)
    head = CHUNKED.replace(b"/x", b"/unread")
    chunks = [b"1000\r\n%s\r\n" % (b"x" * 4096)] * 500
    answer = await front.exchange(head, *chunks)
    assert answer.count(b"HTTP/1") <= 1
    assert await front.reasons() == [CloseReason.BODY_FRAMING]


async def test_body_whose_length_is_over_the_limit_is_read_first(front):
    length = b"Content-Length: %d\r\n\r\n" % (BODY_MAX_BYTES + 1)
    answer = await front.exchange(GET[:-2] + length)
    assert answer.startswith(b"HTTP/1.1 413")


async def test_partial_heads_of_many_connections_take_memory(front):
    """The one that has waited for longest is closed; whole requests are served."""
    connections = [await front.connect() for _ in range(20)]
    for _, writer in connections:
        writer.write(GET[:-2] + b"A: " + b"x" * 1000)
    await asyncio.sleep(0.05)
    assert front.held.used <= HELD_MAX_BYTES
    reader, writer = await front.connect()
    writer.write(GET)
    assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
    writer.close()
    assert CloseReason.MEMORY_NEEDED in await front.reasons(11)
    for _, writer in connections:
        writer.transport.abort()


async def test_requests_that_wait_behind_others_take_memory(front):
    """The request in progress is answered; what was dropped has not run."""
    request = GET[:-2] + b"A: %s\r\n\r\n" % (b"x" * 1000)
    answers = await asyncio.gather(
        *(front.exchange(GET, request * 30, pause_s=0.02) for _ in range(10))
    )
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert sum(answer.count(b"HTTP/1.1 200") for answer in answers) == len(front.run)
    assert CloseReason.MEMORY_NEEDED in await front.reasons(10)


async def test_incomplete_body_is_run_when_memory_is_short(front):
    """A body that was dropped must never look whole."""
    reader, writer = await front.connect()
    writer.write(GET[:-2] + b"Content-Length: 5000\r\n\r\nabc")
    await asyncio.sleep(0.05)
    (connection,) = front.server.connections
    connection.drop_input()
    assert (await read_to_end(reader)).startswith(b"HTTP/1.1 503")
    assert front.run == []
    writer.close()


async def test_changed_idle_timeout_does_not_apply_to_open_connections(front):
    reader, writer = await front.connect()
    front.limits = ReadLimits(HEAD_MAX_BYTES, HEAD_TIMEOUT_S, 2 * IDLE_TIMEOUT_S)
    await asyncio.sleep(1.5 * IDLE_TIMEOUT_S)
    writer.write(GET)
    assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
    writer.close()


async def test_slow_body_has_no_timeout(front, monkeypatch):
    monkeypatch.setattr(bodies, "BODY_TIMEOUT_S", 0.3)
    answer = await front.exchange(CHUNKED, *[b"1\r\nx\r\n"] * 60, pause_s=0.01)
    assert answer.startswith(b"HTTP/1.1 408")
    assert front.run == []


async def test_garbage_after_a_whole_body_refuses_its_request(front):
    head = GET[:-2] + b"Content-Length: 4\r\n\r\n"
    answer = await front.exchange(head + b"ab", b"cd" + b"\0" * 100, pause_s=0.02)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.count(b" 400 ") == 1
    assert front.run == [b"abcd"]


async def test_long_body_that_is_not_read_stops_its_connection(front):
    """Reading is paused while it is buffered."""
    body = b"x" * 200_000
    head = GET.replace(b"/x", b"/unread")[:-2]
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    answer = await front.exchange(head + length + body + GET)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert front.run == [b""]


async def test_body_that_stops_keeps_its_connection(front):
    """It was kept until the timeout of the whole body."""
    answer = await front.exchange(CHUNKED + b"1\r\nx\r\n")
    assert answer.startswith(b"HTTP/1.1 408")
    assert await front.reasons() == [CloseReason.BODY_REFUSED]
    assert front.run == []


async def test_body_behind_a_long_request_is_taken_for_one_that_stops(front):
    """Nothing is read of it meanwhile."""
    front.work_s = 3 * IDLE_TIMEOUT_S
    body = b"x" * BODY_MAX_BYTES
    head = GET[:-2] + b"Content-Length: %d\r\n\r\n" % len(body)
    front.server._held = HeldBytes(10 * BODY_MAX_BYTES)
    answer = await front.exchange(GET, head + body, pause_s=0.05)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert front.run == [b"", body]


async def test_each_unusable_connection_has_a_log_line(front):
    with captured_logs("info") as logs:
        for _ in range(20):
            await front.exchange(b"no request\r\n\r\n")
        await front.reasons(20)
    assert logs.getvalue().count("unusable_input") == 1
    assert len(logs.getvalue().splitlines()) == 1
    count = front.closings.metrics.value("caller_connections_closed", "bad_request")
    assert count == 20


async def test_a_begun_head_behind_a_body_is_no_idle_connection(front):
    """A planned stop closed it as idle, and the rest of the request was lost."""
    post = GET[:-2].replace(b"GET", b"POST") + b"Content-Length: 3\r\n\r\nabc"
    reader, writer = await asyncio.open_connection(HOST, front.port)
    writer.write(post + GET[:20])
    await asyncio.sleep(2 * WORK_S)
    front.server.close_when_idle()
    await asyncio.sleep(0.05)
    writer.write(GET[20:])
    answers = await reader.read(-1)
    writer.close()
    assert answers.count(b"HTTP/1.1 200") == 2


async def test_many_short_header_fields_within_the_limit_are_read(front):
    """The parser's own bound on their number is far below the limit on bytes."""
    fields = b"".join(b"X-%d: v\r\n" % number for number in range(200))
    answer = await front.exchange(GET[:-2] + fields + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 200")


async def test_a_closed_connection_drops_its_input_without_an_error(front):
    """Its bytes count until the loop has reported its end; others must not suffer."""
    connection = CallerConnection(front.server, loop=asyncio.get_running_loop())
    connection.drop_input()
    assert connection.transport is None
