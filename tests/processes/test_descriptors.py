"""A daemon that may open few descriptors, and callers that open many connections."""

import asyncio
import contextlib
import itertools
import resource

import pytest
import pytest_asyncio
from aiohttp import ClientSession

from demo.fleet import own_network
from demo.published_fleet import (
    ADDRESSES_PORT,
    COMPLETIONS_PORT,
    FRONT_PORT,
    HOST_NAME,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    PublishedFleet,
)

pytestmark = pytest.mark.asyncio(loop_scope="function")

DESCRIPTORS = 256
SILENT = 300
# Silent connections to each of the ports below.
SILENT_OF_A_PORT = 100
PORTS = (ADDRESSES_PORT, COMPLETIONS_PORT, METRICS_PORT, PEERS_PORT, READY_PORT)
# Connections that are opened at a time, and the pause after them.
OPENED_AT_ONCE = 10
OPEN_PERIOD_S = 0.05
KEPT = 5
BOOK_PERIOD_S = 0.05
WATCHED_S = 3.0
LIMIT_S = 60.0
# Fewer than a daemon has open.
FEW = 12
SHORT_S = 3.0
RECOVERY_S = 5.0
_ids = itertools.count()


@pytest_asyncio.fixture(loop_scope="function")
async def fleet():
    """One daemon with few descriptors in front of a few replicas."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(LIMIT_S):
            await fleet.start(daemons=0)
            process = fleet.launch_router(1).process
            limits = (DESCRIPTORS, DESCRIPTORS)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
            await fleet.wait_for_ready(1)
        yield fleet


class Caller:
    """A caller with one connection, on which it sends a booking at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, fleet: PublishedFleet, port: int = FRONT_PORT) -> "Caller":
        """Connect to the daemon."""
        return cls(*await asyncio.open_connection(fleet.vm_host(1), port))

    async def book(self) -> int:
        """Send a booking and return the status of the whole answer."""
        head = (
            f"POST /first/book/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Request-Id: book-{next(_ids)}\r\nContent-Length: 0\r\n\r\n"
        )
        self._writer.write(head.encode())
        answer = await self._reader.readuntil(b"\r\n\r\n")
        for line in answer.decode().lower().splitlines():
            if line.startswith("content-length:"):
                await self._reader.readexactly(int(line.split(":")[1]))
        return int(answer.split()[1])

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def open_silent(fleet, count: int, port: int = FRONT_PORT) -> list[Caller]:
    """Open connections on which nothing is sent, a few at a time."""
    opened = []
    for number in range(count):
        with contextlib.suppress(OSError):
            opened.append(await Caller.connect(fleet, port))
        if number % OPENED_AT_ONCE == 0:
            await asyncio.sleep(OPEN_PERIOD_S)
    return opened


async def keep_booking(caller: Caller, stopped: asyncio.Event) -> list[int]:
    """Send bookings on one connection; return their statuses."""
    statuses = []
    while not stopped.is_set():
        statuses.append(await caller.book())
        await asyncio.sleep(BOOK_PERIOD_S)
    return statuses


async def watch_ready(fleet, seconds: float) -> list[bool]:
    """Ask for readiness on new connections; return the answers."""
    answers = []
    for _ in range(round(seconds / OPEN_PERIOD_S)):
        answers.append(await fleet.is_ready(1))
        await asyncio.sleep(OPEN_PERIOD_S)
    return answers


async def scrape(fleet) -> str:
    """Return the daemon's metrics."""
    url = f"http://{fleet.vm_host(1)}:{METRICS_PORT}/metrics"
    async with ClientSession() as session, session.get(url) as response:
        return await response.text()


async def lose_descriptors(fleet, seconds: float) -> None:
    """Let the daemon open no more descriptors for some time."""
    process = fleet.get("router-1").process
    limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (FEW, limits[1]))
    await asyncio.sleep(seconds)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)


async def test_a_daemon_without_descriptors_for_a_time_serves_again_afterwards(fleet):
    stopped = asyncio.Event()
    kept = [await Caller.connect(fleet) for _ in range(KEPT)]
    booking = [asyncio.create_task(keep_booking(caller, stopped)) for caller in kept]
    await asyncio.sleep(1.0)
    await lose_descriptors(fleet, SHORT_S)
    async with asyncio.timeout(RECOVERY_S):
        await fleet.wait_for_ready(1)
    new = await Caller.connect(fleet)
    async with asyncio.timeout(RECOVERY_S):
        while await new.book() != 200:
            await asyncio.sleep(BOOK_PERIOD_S)
    await asyncio.sleep(1.0)
    stopped.set()
    for statuses in await asyncio.gather(*booking):
        assert set(statuses) <= {200, 503}
        assert statuses[-1] == 200
    daemon = fleet.get("router-1")
    assert daemon.process.poll() is None
    log = daemon.log.read_text()
    assert "event=no_descriptor" in log
    assert "event=replica_links_lost" not in log
    for caller in [*kept, new]:
        caller.close()


async def test_idle_connections_of_callers_do_not_take_all_descriptors(fleet):
    stopped = asyncio.Event()
    kept = [await Caller.connect(fleet) for _ in range(KEPT)]
    booking = [asyncio.create_task(keep_booking(caller, stopped)) for caller in kept]
    silent = await open_silent(fleet, SILENT)
    ready = await watch_ready(fleet, WATCHED_S)
    new = [await Caller.connect(fleet) for _ in range(KEPT)]
    statuses = [await caller.book() for caller in new]
    stopped.set()
    for answered in await asyncio.gather(*booking):
        statuses += answered
    assert set(statuses) == {200}
    assert ready == [True] * len(ready)
    assert "marjoramstile_connections_closed_total" in await scrape(fleet)
    for caller in kept + silent + new:
        caller.close()


async def test_idle_connections_to_any_other_port_do_not_take_all_descriptors(fleet):
    silent = []
    for port in PORTS:
        silent += await open_silent(fleet, SILENT_OF_A_PORT, port)
    ready = await watch_ready(fleet, 1.0)
    assert ready == [True] * len(ready)
    assert await fleet.addresses(1) == [fleet.front(1)]
    new = await Caller.connect(fleet)
    assert await new.book() == 200
    metrics = await scrape(fleet)
    for name in ("callers", "directory", "metrics", "peers", "ready"):
        assert f'connections_closed_total{{service="{name}"}}' in metrics
    for caller in [*silent, new]:
        caller.close()
