"""Short seeded runs of the soak, and tests of its proxy."""

import asyncio

import pytest

from soak.__main__ import Soak
from soak.proxy import LinkProxy

SECONDS = 6.0
HOST = "127.0.0.1"


@pytest.mark.parametrize(("seed", "planned"), [(1, False), (3, True)])
async def test_a_seed_violates_no_guarantee(seed, planned):
    assert await Soak(seed, SECONDS, daemons=3, planned=planned).run() == []


@pytest.mark.parametrize(
    ("mode", "answer"), [("", b"pong"), ("silent", None), ("reset", b"")]
)
async def test_a_link_applies_its_mode(mode, answer):
    async def echo(reader, writer):
        await reader.read(4)
        writer.write(b"pong")

    server = await asyncio.start_server(echo, HOST, 0)
    link = LinkProxy(f"{HOST}:{server.sockets[0].getsockname()[1]}")
    await link.start(HOST, 0)
    link.faults.mode = mode
    port = link.port
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"ping")
    try:
        async with asyncio.timeout(0.3):
            received = await reader.read(4)
    except TimeoutError:
        received = None
    except ConnectionError:
        received = b""
    assert received == answer
    writer.close()
    await link.close()
    server.close()
