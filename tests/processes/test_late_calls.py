"""Calls until a daemon that is stopped as planned has ended."""

import asyncio
import itertools
import signal
import time
from collections import Counter
from dataclasses import dataclass

import pytest
import pytest_asyncio
from aiohttp import ClientError, ClientSession, TCPConnector

from demo.fleet import own_network
from demo.published_fleet import (
    FRONT_PORT,
    GRACE_S,
    HOST_NAME,
    PLAIN_SERVICE,
    PublishedFleet,
)

# A call takes a large part of the grace period.
WORK_S = 0.9
CALLERS = 60
# Times after SIGTERM at which calls are sent: until after the daemon's end.
FIRST_S = 0.2
LAST_S = 1.05 * GRACE_S
# Callers that go on without a pause until the daemon's end.
NEW_PERIOD_S = 0.005
KEPT_CALLERS = 20
KEPT_PERIOD_S = 0.04
# Time in which the end of a connection crosses a request that nobody has read.
LOSS_SLACK_S = 0.2
pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    """Two daemons, and plain replicas that work for long."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=2, plain=0)
            for number in range(1, 4):
                fleet.launch_replica(
                    "service", number, PLAIN_SERVICE, "", work_s=WORK_S
                )
            await fleet.wait_for_replicas(6)
            await asyncio.sleep(1.0)
        yield fleet


async def open_connection(fleet, number: int) -> ClientSession:
    """Open a kept connection to a daemon, by a request that no route matches."""
    session = ClientSession(connector=TCPConnector(limit=1))
    url = f"http://{fleet.front(number)}/none"
    headers = {"Host": HOST_NAME, "X-Request-Id": "open"}
    async with session.get(url, headers=headers) as response:
        await response.read()
    return session


async def call(session: ClientSession, fleet, number: int, request_id: str, at: float):
    """Send a call at a time; return the status, or the name of the error."""
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    url = f"http://{fleet.front(number)}/first/look/x"
    headers = {"Host": HOST_NAME, "X-Request-Id": request_id}
    try:
        async with session.get(url, headers=headers) as response:
            await response.read()
            return response.status
    except ClientError as error:
        return type(error).__name__


async def test_a_call_that_reached_a_replica_ends_with_a_closed_connection(fleet):
    """The callers' connections were opened before the stop began."""
    sessions = [await open_connection(fleet, 2) for _ in range(CALLERS)]
    began = time.monotonic()
    fleet.signal("router-2", signal.SIGTERM)
    step_s = (LAST_S - FIRST_S) / CALLERS
    outcomes = await asyncio.gather(
        *(
            call(session, fleet, 2, f"late-{number}", began + FIRST_S + number * step_s)
            for number, session in enumerate(sessions)
        )
    )
    for session in sessions:
        await session.close()
    runs = Counter()
    for name in ("service-1", "service-2", "service-3"):
        runs.update((await fleet.runs(name))["runs"])
    cut = [
        (number, outcome)
        for number, outcome in enumerate(outcomes)
        if runs[f"late-{number}"] and outcome not in (200, 502, 504)
    ]
    assert cut == []
    assert outcomes.count(200) >= CALLERS // 4
    assert 503 in outcomes
    fleet.launch_router(2)
    await fleet.wait_for_ready(2)


@dataclass(frozen=True)
class Sent:
    """A request, its status (0 without an answer), and the time until its end."""

    id: str
    status: int
    took_s: float


class SteadyCallers:
    """Callers that send whole requests to one daemon until it has ended."""

    def __init__(self, host: str):
        self._host = host
        self._numbers = itertools.count()
        self.sent: list[Sent] = []
        self.refused = 0
        self.ended = asyncio.Event()

    async def keep_calling(self) -> None:
        """Send on one connection, and on a new one when it has ended."""
        writer = None
        while not self.ended.is_set():
            if writer is None:
                reader, writer = await self._connect()
            if writer is not None and await self._ask(reader, writer):
                writer.close()
                writer = None
            await asyncio.sleep(KEPT_PERIOD_S)
        if writer is not None:
            writer.close()

    async def call_anew(self) -> None:
        """Send each request on a connection of its own."""
        async with asyncio.TaskGroup() as calls:
            while not self.ended.is_set():
                calls.create_task(self._call_once())
                await asyncio.sleep(NEW_PERIOD_S)

    async def _call_once(self) -> None:
        reader, writer = await self._connect()
        if writer is not None:
            await self._ask(reader, writer)
            writer.close()

    async def _connect(self):
        try:
            return await asyncio.open_connection(self._host, FRONT_PORT)
        except ConnectionError:
            self.refused += 1
            return None, None

    async def _ask(self, reader, writer) -> bool:
        """Send a request and record its end; return whether the connection ends."""
        request_id = f"steady-{next(self._numbers)}"
        lines = (
            "POST /first/book/x HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Request-Id: {request_id}",
            "Content-Length: 0",
        )
        began = time.monotonic()
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode())
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(_content_length(head))
        except (ConnectionError, asyncio.IncompleteReadError):
            head = b"- 0"
        status = int(head.split()[1])
        self.sent.append(Sent(request_id, status, time.monotonic() - began))
        return status == 0 or b"connection: close" in head


def _content_length(head: bytes) -> int:
    lines = [
        line for line in head.split(b"\r\n") if line.startswith(b"content-length:")
    ]
    return int(lines[0].partition(b":")[2]) if lines else 0


async def test_no_request_that_was_read_is_left_unanswered_as_a_daemon_ends(fleet):
    """Callers go on, on new connections and kept ones, until the process is gone."""
    callers = SteadyCallers(fleet.vm_host(2))
    process = fleet.get("router-2").process
    async with asyncio.TaskGroup() as calling:
        calling.create_task(callers.call_anew())
        for _ in range(KEPT_CALLERS):
            calling.create_task(callers.keep_calling())
        await asyncio.sleep(0.5)
        fleet.signal("router-2", signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(0.01)
        callers.ended.set()
    assert process.returncode == 0
    runs = Counter()
    for name in ("service-1", "service-2", "service-3"):
        runs.update((await fleet.runs(name))["runs"])
    lost = [
        item
        for item in callers.sent
        if item.status == 0 and (item.took_s > LOSS_SLACK_S or runs[item.id])
    ]
    assert lost == []
    statuses = Counter(item.status for item in callers.sent)
    assert statuses[200] > 50
    assert statuses[503] > 50
    assert callers.refused > 0
