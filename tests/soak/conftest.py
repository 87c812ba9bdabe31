"""The soak uses real processes, so its tests run on an ordinary loop."""

import asyncio


def pytest_asyncio_loop_factories(config, item):
    """Run tests on an ordinary loop."""
    return {"real_clock": asyncio.new_event_loop}
