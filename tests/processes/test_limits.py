"""The limit that a replica names, in front of three daemons as processes."""

import asyncio
import itertools

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, PublishedFleet
from tests.limits.support import CONTACT_S, allowed, most_in_a_window

pytestmark = pytest.mark.asyncio(loop_scope="module")

DAEMONS = 3
REQUESTS_PER_S = 36
LIMIT_PER_S = 2.0
LOAD_S = 9.0
_ids = itertools.count()


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """Three daemons in front of a few replicas."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start()
        yield fleet


async def look(fleet, number: int) -> int:
    """Send an idempotent request to a daemon; return the status."""
    headers = {"Host": HOST_NAME, "X-Request-Id": f"limit-{next(_ids)}"}
    url = f"http://{fleet.front(number)}/first/look/x"
    async with fleet.session.get(url, headers=headers) as response:
        await response.read()
        return response.status


async def load(fleet, seconds: float) -> list[int]:
    """Send requests to all daemons at a constant rate; return the statuses."""
    tasks = []
    for number in range(round(seconds * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(look(fleet, 1 + number % DAEMONS)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


async def recent_arrivals(fleet, name: str, seconds: float) -> list[float]:
    """Return how long ago requests reached a replica in the last seconds, sorted."""
    ages = (await fleet.runs(name))["ages_s"]
    return sorted(age for age in ages if age <= seconds)


async def test_requests_of_all_daemons_together_exceed_the_limit_that_a_replica_names(
    fleet,
):
    await fleet.fail_replica("service-1", limit_per_s=LIMIT_PER_S)
    statuses = await load(fleet, LOAD_S)
    held_s = LOAD_S - CONTACT_S
    arrivals = await recent_arrivals(fleet, "service-1", held_s)
    assert set(statuses) == {200}
    assert most_in_a_window(arrivals) <= allowed(LIMIT_PER_S)
    assert len(arrivals) >= 0.7 * LIMIT_PER_S * held_s


async def test_traffic_does_not_come_back_after_the_limit_has_ended(fleet):
    await fleet.fail_replica("service-1", limit_per_s=LIMIT_PER_S)
    await load(fleet, 2.0)
    await fleet.fail_replica("service-1")
    await load(fleet, 4.0)
    arrivals = await recent_arrivals(fleet, "service-1", 2.0)
    assert len(arrivals) >= 0.25 * 2.0 * REQUESTS_PER_S
