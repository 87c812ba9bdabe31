"""``marjoramstiled`` as a process, and whole messages that cost more than their bytes.

Each test guards against a daemon that ends, hangs, or takes more memory than a VM has
for it. Nothing here depends on the speed of the machine: time limits only end a test
whose daemon hangs.
"""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from demo.fleet import CALLERS_PORT, Fleet, own_network
from tests.processes.clients import HEADERS
from tests.processes.test_crowds_of_callers import (
    MAX_BODY_BYTES,
    check_answers,
    check_daemon,
    descriptors,
    head,
)

pytestmark = pytest.mark.asyncio(loop_scope="function")

# Streams that run at the same time; connections to their engines stay open.
STREAMS = 4
STREAM_TOKENS = 2000


@pytest_asyncio.fixture(loop_scope="function")
async def fleet():
    """Start one daemon and what it needs."""
    async with Fleet(own_network()) as fleet:
        await fleet.start_all((1,), prefills=1, decodes=1)
        await check_answers(fleet)
        yield fleet


def completion() -> bytes:
    """Return a streamed completion whose body has as many values as it can."""
    start = b'{"model":"lexis-pool","prompt":"x","max_tokens":%d,"stream":true,"a":['
    start %= STREAM_TOKENS
    count = (MAX_BODY_BYTES - len(start) - len(b"{}]}")) // len(b"{},")
    body = start + b"{}," * count + b"{}]}"
    key = b"Authorization: %s" % HEADERS["Authorization"].encode()
    length = b"Content-Length: %d" % len(body)
    return head("/v1/completions", key, length) + body


async def test_streams_keep_the_values_of_their_bodies(fleet):
    before = descriptors(fleet)
    host, _ = fleet.peers_address(1)
    request = completion()
    with contextlib.ExitStack() as stack:
        for _ in range(STREAMS):
            reader, writer = await asyncio.open_connection(host, CALLERS_PORT)
            stack.callback(writer.close)
            writer.write(request)
            async with asyncio.timeout(60):
                assert b" 200 " in await reader.readuntil(b"\r\n")
    await check_daemon(fleet, before)
