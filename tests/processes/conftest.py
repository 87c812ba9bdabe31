"""Tests with real processes run on a real clock and wait for events only."""

import asyncio


def pytest_asyncio_loop_factories(config, item):
    """Run tests on an ordinary loop."""
    return {"real_clock": asyncio.new_event_loop}
