"""Calls on kept connections until a daemon that is stopped as planned has ended."""

import asyncio
import signal
import time
from collections import Counter

import pytest
import pytest_asyncio
from aiohttp import ClientError, ClientSession, TCPConnector

from demo.fleet import own_network
from demo.published_fleet import (
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
