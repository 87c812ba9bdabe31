"""Tests that need a socket's own buffers run on real sockets."""

from marjoramstile.loops import create_loop

REAL_SOCKETS = (
    "test_closing.py",
    "test_draining.py",
    "test_hostile_input.py",
    "test_listeners.py",
)


def pytest_asyncio_loop_factories(config, item):
    """Run such tests on the daemon's event loop, the others on the paused clock."""
    if item.path.name in REAL_SOCKETS:
        return {"uvloop": create_loop}
    return None
