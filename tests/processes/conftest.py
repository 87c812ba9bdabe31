"""Tests with real processes run on a real clock and wait for events only."""

import asyncio

import pytest_asyncio

from demo.fleet import Fleet, own_network

DAEMONS = (1, 2, 3)


def pytest_asyncio_loop_factories(config, item):
    """Run tests on an ordinary loop."""
    return {"real_clock": asyncio.new_event_loop}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """Three daemons with two engines of each kind, for the tests of a module."""
    async with Fleet(own_network(), address_ttl_s=1.0, leave_margin_s=0.5) as fleet:
        await fleet.start_all(DAEMONS, prefills=2, decodes=2)
        yield fleet
