"""Fixtures of tests with real processes, which run on the real clock."""

import asyncio

import pytest_asyncio

from demo.fleet import Fleet, own_network

DAEMONS = (1, 2, 3)


def pytest_asyncio_loop_factories(config, item):
    """Run these tests on a standard event loop with the real clock."""
    return {"real_clock": asyncio.new_event_loop}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """Three daemons with two engines of each kind, shared by a module's tests."""
    async with Fleet(own_network(), address_ttl_s=1.0, leave_margin_s=0.5) as fleet:
        await fleet.start_all(DAEMONS, prefills=2, decodes=2)
        yield fleet
