"""Tests of listeners run on real sockets."""

from marjoramstile.loops import create_loop


def pytest_asyncio_loop_factories(config, item):
    """Run such tests on the daemon's event loop, the others on the paused clock."""
    if item.path.name == "test_transport.py":
        return {"uvloop": create_loop}
    return None
