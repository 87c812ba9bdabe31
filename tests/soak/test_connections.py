"""Tests of the callers over bare connections."""

import asyncio
import random

import pytest

from soak import connections
from soak.connections import Attempt, BareCallers

HOST = "127.0.0.1"
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


async def send_once(answer: bytes | None, monkeypatch) -> list[Attempt]:
    """Send one request to a server that answers so and closes; None: it resets."""

    async def serve(reader, writer):
        if answer is None:
            writer.transport.abort()
            return
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    monkeypatch.setattr(connections, "FRONT_PORT", port)
    callers = BareCallers(random.Random(1), asyncio.Event())
    await callers.send_once(HOST)
    server.close()
    return callers.attempts


@pytest.mark.parametrize(
    ("answer", "end"),
    [
        (PLAIN, "200"),
        (CHUNKED, "200"),
        (PLAIN.replace(b"200 OK", b"503 No"), "503"),
        (b"", "end of stream"),
        (PLAIN[:-1], "end of stream"),
        (CHUNKED[:-5], "end of stream"),
    ],
)
async def test_an_attempt_ends_with_a_status_only_if_its_answer_is_whole(
    answer, end, monkeypatch
):
    attempts = await send_once(answer, monkeypatch)
    assert [attempt.end for attempt in attempts] == [end]


async def test_a_connection_without_a_listener_is_no_attempt(monkeypatch):
    monkeypatch.setattr(connections, "FRONT_PORT", 1)
    callers = BareCallers(random.Random(1), asyncio.Event())
    await callers.send_once(HOST)
    assert callers.attempts == []
