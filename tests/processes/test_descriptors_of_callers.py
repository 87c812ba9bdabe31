"""``marjoramstiled`` with few descriptors, and callers that open many connections."""

import asyncio
import resource

import pytest
import pytest_asyncio
from aiohttp import ClientSession

from demo.fleet import CALLERS_PORT, OPERATORS_PORT, PEERS_PORT, Fleet, own_network
from tests.processes.clients import HEADERS, completion_body, stream, whole_text

pytestmark = pytest.mark.asyncio(loop_scope="function")

DESCRIPTORS = 256
SILENT = 300
OPENED_AT_ONCE = 10
OPEN_PERIOD_S = 0.05


class ShortFleet(Fleet):
    """A fleet whose daemons may open few descriptors."""

    def launch_daemon(self, number: int):
        """Start a daemon and limit its descriptors before it reads the limit."""
        launched = super().launch_daemon(number)
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(launched.process.pid, resource.RLIMIT_NOFILE, limits)
        return launched


@pytest_asyncio.fixture(loop_scope="function")
async def fleet():
    """One daemon with few descriptors."""
    async with ShortFleet(own_network()) as fleet:
        await fleet.start_all((1,), prefills=1, decodes=1)
        yield fleet


async def complete(fleet, body) -> str:
    """Request a completion on a new connection; return its text."""
    url = f"{fleet.callers_url(1)}/v1/completions"
    async with (
        ClientSession(headers=HEADERS) as session,
        session.post(url, json=body) as response,
    ):
        return (await response.json())["choices"][0]["text"]


@pytest.mark.parametrize("port", [CALLERS_PORT, OPERATORS_PORT, PEERS_PORT])
async def test_idle_connections_do_not_take_all_descriptors_of_a_daemon(fleet, port):
    host, _ = fleet.peers_address(1)
    body = completion_body(200)
    running = asyncio.create_task(stream(fleet, 1, body))
    silent = []
    for number in range(SILENT):
        silent.append(await asyncio.open_connection(host, port))
        if number % OPENED_AT_ONCE == 0:
            await asyncio.sleep(OPEN_PERIOD_S)
    assert await running == whole_text(body)
    short_body = completion_body(5)
    for _ in range(3):
        assert await complete(fleet, short_body) == whole_text(short_body)
    rows = (await fleet.state(1, "show daemons"))["rows"]
    assert [row["daemon"] for row in rows] == ["vm-1"]
    for _, writer in silent:
        writer.close()
