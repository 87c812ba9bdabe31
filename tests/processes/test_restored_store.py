"""Daemons as processes beside a store that comes back from an older copy."""

import asyncio
import itertools

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import (
    HOST_NAME,
    PLAIN_SERVICE,
    ZONES,
    PublishedFleet,
    configuration,
)
from marjoramstile.membership.nodes import NODES_TABLE

DAEMONS = 4
CONFIGURATIONS = 10
# Bounds of the users' deployments for a configuration, and for daemons in touch.
APPLY_S = 2.0
CONTACT_S = 3.0
AGE_S = 4.0
AWAY_S = 0.5
# Calls of each daemon in the second after a restore: the feeds, a read of each of six
# tables, its own row, and what is retried.
CALLS_MAX = 30
DRAIN_S = 2.0
# Time after which all tables' feeds have answered with the newest version.
FEED_S = 1.5
POLL_S = 0.05
pytestmark = pytest.mark.asyncio(loop_scope="module")
_ids = itertools.count()


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    """Four daemons whose store has been restored to the copy before version 2."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=DAEMONS)
        await asyncio.sleep(AGE_S)
        for version in range(2, CONFIGURATIONS + 2):
            await write_version(fleet, version)
        await in_force(fleet, CONFIGURATIONS + 1)
        await asyncio.sleep(FEED_S)
        await fleet.restore_store(AGE_S, AWAY_S)
        yield fleet


async def write_version(fleet, version: int) -> None:
    """Write a configuration whose routes are found only by its version."""
    await fleet.configure(configuration(version, f"/v{version}/"))


async def look(fleet, number: int, version: int) -> tuple[str, int]:
    """Send a request by a version's route to a daemon; return its id and status."""
    headers = {"Host": HOST_NAME, "X-Request-Id": f"look-{next(_ids)}"}
    url = f"http://{fleet.front(number)}/v{version}/look/x"
    async with fleet.session.get(url, headers=headers) as response:
        await response.read()
        return headers["X-Request-Id"], response.status


async def has_version(fleet, number: int, version: int) -> bool:
    """Return whether a daemon has a configuration in force."""
    return (await look(fleet, number, version))[1] == 200


async def in_force(fleet, version: int) -> None:
    """Wait until all daemons have a configuration in force."""
    async with asyncio.timeout(APPLY_S):
        for number in range(1, DAEMONS + 1):
            while not await has_version(fleet, number, version):
                await asyncio.sleep(POLL_S)


async def test_a_configuration_written_after_the_restore_is_not_in_force(fleet):
    await write_version(fleet, CONFIGURATIONS + 2)
    await in_force(fleet, CONFIGURATIONS + 2)


async def test_a_replica_that_registers_after_the_restore_gets_nothing(fleet):
    fleet.launch_replica("service", 9, PLAIN_SERVICE, "")
    await fleet.wait_for_replicas(6)
    await asyncio.sleep(CONTACT_S)
    sent = [
        await look(fleet, number, CONFIGURATIONS + 1)
        for _ in range(10)
        for number in range(1, DAEMONS + 1)
    ]
    assert {status for _, status in sent} == {200}
    runs = (await fleet.runs("service-9"))["runs"]
    assert sum(request_id in runs for request_id, _ in sent) >= 5


async def test_a_daemon_goes_back_to_the_configuration_of_the_copy(fleet):
    """Also one that starts now, and reads the copy."""
    fleet.launch_router(DAEMONS + 1)
    await fleet.wait_for_ready(DAEMONS + 1)
    for _ in range(20):
        for number in range(1, DAEMONS + 2):
            assert await has_version(fleet, number, CONFIGURATIONS + 1)
        await asyncio.sleep(POLL_S)


async def test_a_replica_that_leaves_after_the_restore_gets_requests(fleet):
    await fleet.drain_replica("service-1")
    await asyncio.sleep(DRAIN_S)
    sent = {await look_for_route(fleet, number) for number in range(1, DAEMONS + 1)}
    sent |= {await look_for_route(fleet, number) for number in range(1, DAEMONS + 1)}
    runs = (await fleet.runs("service-1"))["runs"]
    assert not sent & set(runs)


async def look_for_route(fleet, number: int) -> str:
    """Send a request by the newest route to a daemon; return its id."""
    request_id, status = await look(fleet, number, CONFIGURATIONS + 1)
    assert status == 200
    return request_id


async def test_the_store_is_called_without_a_pause_after_a_restore(fleet):
    before = await fleet.store_calls()
    await fleet.restore_store(1.0, 0.1)
    await asyncio.sleep(1.0)
    assert await fleet.store_calls() - before <= CALLS_MAX * (DAEMONS + 1)


async def test_a_replica_that_left_before_the_restore_is_used_again(fleet):
    """Its row is in the copy, as ready."""
    fleet.launch_replica("service", 8, PLAIN_SERVICE, "")
    await fleet.wait_for_replicas(6)
    await asyncio.sleep(2 * POLL_S)
    at = asyncio.get_running_loop().time()
    await asyncio.sleep(1.0)
    await fleet.drain_replica("service-8")
    await asyncio.sleep(DRAIN_S)
    age_s = asyncio.get_running_loop().time() - at - 0.5
    await fleet.restore_store(age_s, 0.2)
    sent = set()
    async with asyncio.timeout(10):
        for _ in range(15):
            for number in range(1, DAEMONS + 1):
                sent.add(await look_for_route(fleet, number))
            await asyncio.sleep(POLL_S)
    runs = (await fleet.runs("service-8"))["runs"]
    assert not sent & set(runs)


async def test_addresses_of_daemons_that_the_copy_lacks_are_withheld(fleet):
    expected = {fleet.front(number) for number in range(1, DAEMONS + 1)}
    for _ in range(40):
        for number in range(1, DAEMONS + 1):
            assert set(await fleet.addresses(number)) == expected
        await asyncio.sleep(POLL_S)


async def test_a_daemon_whose_row_the_copy_lacks_is_withheld_from_callers(fleet):
    number = DAEMONS + 2
    fleet.launch_router(number)
    await fleet.wait_for_ready(number)
    async with asyncio.timeout(CONTACT_S):
        while fleet.front(number) not in await fleet.addresses(1):
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(1.0)
    age_s = 8.0
    await fleet.restore_store(age_s, 0.2)
    assert vm_name(number) not in await node_rows(fleet)
    for _ in range(60):
        assert fleet.front(number) in await fleet.addresses(1)
        await asyncio.sleep(POLL_S)
    assert vm_name(number) in await node_rows(fleet)


def vm_name(number: int) -> str:
    """Return the name under which a daemon registers."""
    return f"front-{ZONES[number % len(ZONES)]}-{number}"


async def node_rows(fleet) -> set[str]:
    """Return the names of the daemons that the store has."""
    url = f"http://{fleet.store}/v1/rows-get?table={NODES_TABLE}"
    async with fleet.session.get(url) as response:
        return {row["key"] for row in (await response.json())["rows"]}
