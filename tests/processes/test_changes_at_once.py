"""A change of the configuration in the same second as stops, kills and restores."""

import asyncio
import signal

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import PublishedFleet
from tests.processes.test_restored_store import (
    APPLY_S,
    DRAIN_S,
    POLL_S,
    has_version,
    look,
    write_version,
)

DAEMONS = 3
pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    """Three daemons and three plain replicas."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=DAEMONS, plain=3)
        yield fleet


async def restart(fleet, *numbers: int) -> None:
    """Kill daemons at once and start them again."""
    for number in numbers:
        fleet.signal(f"router-{number}", signal.SIGKILL)
    for number in numbers:
        await fleet.wait_exit(f"router-{number}")
        fleet.launch_router(number)


async def in_force(fleet, version: int) -> None:
    """Wait until all daemons have a configuration in force."""
    async with asyncio.timeout(APPLY_S):
        for number in range(1, DAEMONS + 1):
            await fleet.wait_for_ready(number)
            while not await has_version(fleet, number, version):
                await asyncio.sleep(POLL_S)


async def test_a_change_beside_a_leaving_replica_and_a_kill_is_late(fleet):
    await write_version(fleet, 2)
    await fleet.drain_replica("service-1")
    await restart(fleet, 2)
    await in_force(fleet, 2)
    await asyncio.sleep(DRAIN_S)
    sent = {(await look(fleet, 1 + n % DAEMONS, 2))[0] for n in range(20)}
    assert not sent & set((await fleet.runs("service-1"))["runs"])


async def test_a_change_is_lost_if_all_daemons_are_killed_just_after_it(fleet):
    await write_version(fleet, 3)
    await restart(fleet, *range(1, DAEMONS + 1))
    await in_force(fleet, 3)


async def test_a_restore_beside_a_kill_takes_a_change_back(fleet):
    """The operator writes again what the copy lacks."""
    await asyncio.sleep(1.0)
    await write_version(fleet, 4)
    await in_force(fleet, 4)
    restored = asyncio.create_task(fleet.restore_store(1.0, 0.2))
    await restart(fleet, 3)
    await restored
    for _ in range(20):
        assert await has_version(fleet, 1, 4)
        assert await has_version(fleet, 2, 4)
        await asyncio.sleep(POLL_S)
    await write_version(fleet, 4)
    await in_force(fleet, 4)


async def test_a_route_that_was_added_and_removed_again_is_served(fleet):
    await write_version(fleet, 5)
    await write_version(fleet, 6)
    await in_force(fleet, 6)
    for number in range(1, DAEMONS + 1):
        assert (await look(fleet, number, 5))[1] == 404
