"""The quota of a workspace, in front of three daemons as processes."""

import asyncio
import itertools
from collections import Counter, deque

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, PublishedFleet, configuration

pytestmark = pytest.mark.asyncio(loop_scope="module")

DAEMONS = 3
WINDOW_S = 8.0
RATE_PER_S = 4.0
BURST = 8.0
UNITS = RATE_PER_S * WINDOW_S + BURST
MOST = 1.1 * UNITS
# Time until a new owner has forgotten what may have been used before it.
SETTLED_S = WINDOW_S + 1.0
_ids = itertools.count()


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """Three daemons, a workspace with a quota, and one without."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start()
        quota = {"unit": "requests", "ratePerS": RATE_PER_S, "burst": BURST}
        tenants = [
            {"name": "first", "apiKeys": ["k-1"], **quota},
            {"name": "second", "apiKeys": ["k-2"]},
        ]
        await fleet.configure({**configuration(2), "tenants": tenants})
        await asyncio.sleep(SETTLED_S)
        yield fleet


async def look(fleet, number: int, key: str) -> tuple[int, str | None]:
    """Send an idempotent request to a daemon; return the status and Retry-After."""
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": f"quota-{next(_ids)}",
        "Authorization": f"Bearer {key}",
    }
    url = f"http://{fleet.front(number)}/first/look/x"
    async with fleet.session.get(url, headers=headers) as response:
        await response.read()
        return response.status, response.headers.get("Retry-After")


async def test_requests_of_all_daemons_together_stay_within_the_quota(fleet):
    loop = asyncio.get_running_loop()
    granted: deque[float] = deque()
    statuses: Counter[int] = Counter()
    waits = []

    async def send(number: int) -> None:
        status, wait = await look(fleet, number, "k-1")
        statuses[status] += 1
        if status == 200:
            granted.append(loop.time())
        elif status == 429:
            waits.append(float(wait))

    tasks = []
    for number in range(400):
        tasks.append(asyncio.create_task(send(1 + number % DAEMONS)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*tasks)
    assert set(statuses) == {200, 429}
    times = sorted(granted)
    most = max(sum(at <= item < at + WINDOW_S for item in times) for at in times)
    assert UNITS <= most <= MOST
    assert all(0 < wait <= WINDOW_S for wait in waits)


async def test_a_workspace_without_a_quota_is_not_limited(fleet):
    answers = [await look(fleet, 1 + n % DAEMONS, "k-2") for n in range(60)]
    assert {status for status, _ in answers} == {200}


async def test_a_key_of_no_workspace_is_not_run(fleet):
    assert (await look(fleet, 1, "k-3"))[0] == 401
