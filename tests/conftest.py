"""Fixtures of all tests: a paused clock and derandomized properties."""

import async_solipsism
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


def pytest_asyncio_loop_factories(config, item):
    """Run tests on a loop whose clock moves only when all tasks wait."""
    return {"paused_clock": async_solipsism.EventLoop}
