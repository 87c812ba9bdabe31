"""Tests of the listeners run on real sockets."""

from marjoramstile.loops import create_loop


def pytest_asyncio_loop_factories(config, item):
    """Run the tests on the daemon's event loop."""
    return {"uvloop": create_loop}
