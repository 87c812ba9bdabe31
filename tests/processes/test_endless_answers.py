"""Daemons as processes, beside replicas that send bodies without end."""

import asyncio
import contextlib
import re
from pathlib import Path

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, PublishedFleet
from tests.processes.test_published import is_whole, send_request, stream

# Memory of the users' smallest VMs, and of a daemon's process there.
MEMORY_MAX_MB = 150
WATCH_PERIOD_S = 0.02
BOOKINGS_S = 1.5
CALLERS = 6
SLOW_CALLERS = 60
SLOW_CALLERS_S = 6.0
SLOW_CALLERS_PERIOD_S = 0.04
BAD_REPLICAS = ("decode-1", "prefill-1", "service-1")
pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """One daemon in front of a few replicas."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=1, decode=1)
        yield fleet


def memory_mb(fleet) -> float:
    """Return the resident memory of the daemon, 0 after its end."""
    process = fleet.get("router-1").process
    status = Path(f"/proc/{process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found.group(1)) / 1024 if found else 0.0


async def take_slowly(fleet, until: float) -> int:
    """Ask for a long answer and take a few bytes of it a second; return those taken."""
    reader, writer = await asyncio.open_connection(*fleet.front(1).split(":"))
    head = f"GET /first/look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: "
    writer.write(f"{head}slow-{id(writer)}\r\nX-Deadline-Ms: 9000\r\n\r\n".encode())
    taken = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(until):
            while data := await reader.read(10_000):
                taken += len(data)
                await asyncio.sleep(0.5)
    writer.transport.abort()
    return taken


async def watch_memory(fleet) -> None:
    """Fail, and kill the daemon, once it takes more memory than its VM has."""
    while True:
        used_mb = memory_mb(fleet)
        if used_mb > MEMORY_MAX_MB:
            fleet.get("router-1").process.kill()
            pytest.fail(f"the daemon took {used_mb:.0f} MB of {MEMORY_MAX_MB}")
        await asyncio.sleep(WATCH_PERIOD_S)


async def book(fleet, until: float) -> list[int]:
    """Send bookings one after another; return their statuses."""
    statuses = []
    while asyncio.get_running_loop().time() < until:
        answer = await send_request(fleet, fleet.front(1), "/first/book/x")
        statuses.append(answer.status)
    return statuses


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize("name", BAD_REPLICAS)
async def test_a_body_without_end_takes_the_daemon_over_its_memory(fleet, name, status):
    """Its platform kills it then, with the bookings that sound replicas run for it."""
    await fleet.fail_replica(name, endless_answers=3, endless_status=status)
    watching = asyncio.create_task(watch_memory(fleet))
    until = asyncio.get_running_loop().time() + BOOKINGS_S
    booking = [asyncio.create_task(book(fleet, until)) for _ in range(CALLERS)]
    streaming = [asyncio.create_task(stream(fleet, fleet.front(1))) for _ in range(3)]
    statuses = sum(await asyncio.gather(*booking), [])
    streams = await asyncio.gather(*streaming)
    if watching.done():
        watching.result()
    watching.cancel()
    lost = sum(found != 200 for found in statuses)
    assert lost <= (3 if name == "service-1" else 0)
    assert len(statuses) > 10 * CALLERS
    assert all(answer.status in (200, 502, 503) for answer in streams)
    await fleet.fail_replica(name)
    async with asyncio.timeout(10):
        while not is_whole(await stream(fleet, fleet.front(1))):
            await asyncio.sleep(0.2)


async def test_callers_that_take_long_answers_slowly_fill_the_daemons_memory(fleet):
    """Answers that were read and not yet taken counted against no bound."""
    await fleet.fail_replica("service-1", answer_bytes=4_000_000)
    watching = asyncio.create_task(watch_memory(fleet))
    until = asyncio.get_running_loop().time() + SLOW_CALLERS_S
    slow = []
    for _ in range(SLOW_CALLERS):
        slow.append(asyncio.create_task(take_slowly(fleet, until)))
        await asyncio.sleep(SLOW_CALLERS_PERIOD_S)
    streams = [await stream(fleet, fleet.front(1)) for _ in range(3)]
    await fleet.fail_replica("service-1")
    statuses = await book(fleet, until)
    taken = await asyncio.gather(*slow)
    if watching.done():
        watching.result()
    watching.cancel()
    assert any(taken)
    assert all(is_whole(answer) for answer in streams)
    assert set(statuses) == {200}
