"""Request heads that arrive in several chunks, slowly, or never completely."""

import asyncio
import contextlib

import pytest_asyncio
from aiohttp import web

from marjoramstile.fronts import listening
from marjoramstile.fronts.listening import CallerServer

HOST = "127.0.0.1"
PORT = 8144
TIMEOUT_S = 0.3
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
OK_LINE = b"HTTP/1.1 200"


@pytest_asyncio.fixture
async def connect(monkeypatch):
    """Run a server that responds after 0.1 s; return a function that connects to it."""
    monkeypatch.setattr(listening, "HEAD_TIMEOUT_S", TIMEOUT_S)

    async def handle(request):
        await request.read()
        await asyncio.sleep(0.1)
        return web.Response(text="done")

    server = CallerServer(handle, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    listening_server = await loop.create_server(server, HOST, PORT)
    yield lambda: asyncio.open_connection(HOST, PORT)
    listening_server.close()
    await server.shutdown(0.1)


async def send_slowly(writer, data: bytes, pause_s: float) -> None:
    """Send bytes one at a time, ``pause_s`` seconds apart."""
    for byte in data:
        writer.write(bytes([byte]))
        await asyncio.sleep(pause_s)


async def read_response(reader) -> bytes:
    """Read one whole response."""
    return await asyncio.wait_for(reader.readuntil(b"done"), 2.0)


async def read_to_end(reader) -> bytes:
    """Return what arrives before the connection is closed or reset."""
    with contextlib.suppress(ConnectionError):
        return await asyncio.wait_for(reader.read(), 2.0)
    return b""


async def test_incomplete_head_closes_the_connection(connect):
    reader, writer = await connect()
    loop = asyncio.get_running_loop()
    started = loop.time()
    lines = b"GET /x HTTP/1.1\r\n" + b"A: b\r\n" * 99
    sending = asyncio.create_task(send_slowly(writer, lines, 0.01))
    assert await read_to_end(reader) == b""
    assert loop.time() - started >= TIMEOUT_S
    sending.cancel()
    writer.close()


async def test_slow_head_and_slower_body_are_accepted(connect):
    reader, writer = await connect()
    await send_slowly(writer, HEAD, TIMEOUT_S / 2 / len(HEAD))
    await send_slowly(writer, b"abcd", TIMEOUT_S / 2)
    assert (await read_response(reader)).startswith(OK_LINE)
    writer.close()


async def test_idle_connection_stays_open_before_and_between_requests(connect):
    reader, writer = await connect()
    for _ in range(2):
        await asyncio.sleep(2 * TIMEOUT_S)
        writer.write(HEAD + b"abcd")
        assert (await read_response(reader)).startswith(OK_LINE)
    writer.close()


async def test_head_timeout_restarts_with_each_request(connect):
    reader, writer = await connect()
    for _ in range(3):
        await send_slowly(writer, HEAD[:4], 0.01)
        await asyncio.sleep(TIMEOUT_S / 2)
        writer.write(HEAD[4:] + b"abcd")
        assert (await read_response(reader)).startswith(OK_LINE)
    writer.close()


async def test_incomplete_next_head_does_not_cut_a_pending_response(connect):
    reader, writer = await connect()
    writer.write(HEAD + b"abcd")
    await asyncio.sleep(0.02)
    writer.write(b"GET /y")
    assert (await read_response(reader)).startswith(OK_LINE)
    writer.close()


async def test_an_answer_that_a_slow_caller_still_receives_is_taken_for_sent():
    body = b"x" * 20_000_000

    async def handle(request):
        return web.Response(body=body)

    server = CallerServer(handle)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    async with listener:
        assert not server.is_busy
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        assert server.is_busy
        await reader.readexactly(len(body))
        await asyncio.sleep(0.1)
        assert not server.is_busy
        writer.close()
    await server.shutdown(0.1)
