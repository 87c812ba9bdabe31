"""The limit that a replica names, in front of three daemons as processes."""

import asyncio
import itertools
from dataclasses import dataclass

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


@dataclass(frozen=True)
class Load:
    """Statuses of requests, the last of which was sent at a loop time."""

    statuses: list[int]
    ended_at: float


async def load(fleet, seconds: float) -> Load:
    """Send requests to all daemons at a constant rate."""
    return await send_to_all(fleet, look, REQUESTS_PER_S, seconds)


async def send_to_all(fleet, send, per_s: float, seconds: float) -> Load:
    """Send requests to all daemons in turn at a rate; wait for their answers."""
    tasks = []
    for number in range(round(seconds * per_s)):
        tasks.append(asyncio.create_task(send(fleet, 1 + number % DAEMONS)))
        await asyncio.sleep(1 / per_s)
    ended_at = asyncio.get_running_loop().time()
    return Load(await asyncio.gather(*tasks), ended_at)


async def recent_arrivals(
    fleet, name: str, seconds: float, ended_at: float
) -> list[float]:
    """Return when requests reached a replica in the last seconds of a load.

    ``ended_at`` is the loop time of its end, from which times are counted back, sorted.
    """
    ages = (await fleet.runs(name))["ages_s"]
    since_s = asyncio.get_running_loop().time() - ended_at
    return sorted(age - since_s for age in ages if age - since_s <= seconds)


async def test_requests_of_all_daemons_together_exceed_the_limit_that_a_replica_names(
    fleet,
):
    await fleet.fail_replica("service-1", limit_per_s=LIMIT_PER_S)
    sent = await load(fleet, LOAD_S)
    held_s = LOAD_S - CONTACT_S
    arrivals = await recent_arrivals(fleet, "service-1", held_s, sent.ended_at)
    assert set(sent.statuses) == {200}
    assert most_in_a_window(arrivals) <= allowed(LIMIT_PER_S)
    assert len(arrivals) >= 0.7 * LIMIT_PER_S * held_s


async def test_traffic_does_not_come_back_after_the_limit_has_ended(fleet):
    await fleet.fail_replica("service-1", limit_per_s=LIMIT_PER_S)
    await load(fleet, 2.0)
    await fleet.fail_replica("service-1")
    sent = await load(fleet, 4.0)
    arrivals = await recent_arrivals(fleet, "service-1", 2.0, sent.ended_at)
    assert len(arrivals) >= 0.25 * 2.0 * REQUESTS_PER_S


async def generate(fleet, number: int) -> int:
    """Send a generation to a daemon; return the status."""
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": f"limited-{next(_ids)}",
        "X-Token-Count": "400,800",
    }
    url = f"http://{fleet.front(number)}/first/stream/x"
    async with fleet.session.post(url, headers=headers, data=b"x") as response:
        await response.read()
        return response.status


async def test_one_of_two_limited_decode_replicas_gets_next_to_nothing(fleet):
    """The same generation comes again and again, as from callers that return."""
    names = ("decode-1", "decode-2")
    for name in names:
        await fleet.fail_replica(name, limit_per_s=LIMIT_PER_S)
    sent = await send_to_all(fleet, generate, 8, LOAD_S)
    held_s = LOAD_S - CONTACT_S
    assert set(sent.statuses) == {200, 503}
    for name in names:
        arrivals = await recent_arrivals(fleet, name, held_s, sent.ended_at)
        assert most_in_a_window(arrivals) <= allowed(LIMIT_PER_S)
        assert len(arrivals) >= 0.6 * LIMIT_PER_S * held_s
