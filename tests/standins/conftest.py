"""The tests of the stand-ins use sockets, so they run on an ordinary loop."""

import asyncio


def pytest_asyncio_loop_factories(config, item):
    """Run tests on an ordinary loop."""
    return {"real_clock": asyncio.new_event_loop}
