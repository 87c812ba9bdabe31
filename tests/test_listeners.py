"""Tests of waiting for an address."""

import asyncio
import errno

import pytest

from marjoramstile.listeners import (
    REPORT_PERIOD_S,
    RETRY_MAX_S,
    UnusableAddressError,
    acquire_socket,
)
from marjoramstile.utils import loop_time
from tests.support import captured_logs


def failing_until(free_at: float, number: int):
    """Return what opens sockets and fails with an error number until a time."""

    def open_socket(host: str, port: int) -> tuple[str, int]:
        if loop_time() < free_at:
            raise OSError(number, "short")
        return host, port

    return open_socket


@pytest.mark.parametrize(
    "number", [errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENOBUFS]
)
async def test_an_address_is_acquired_soon_after_it_is_free(number):
    free_at = loop_time() + 60.0
    open_socket = failing_until(free_at, number)
    with captured_logs() as stream:
        acquired = await acquire_socket(open_socket, "127.0.0.1", 80, "front")
    assert acquired == ("127.0.0.1", 80)
    assert loop_time() <= free_at + RETRY_MAX_S
    waited = stream.getvalue().count("event=address_waited_for")
    assert 2 <= waited <= 60.0 / REPORT_PERIOD_S + 1
    assert "event=address_acquired" in stream.getvalue()


async def test_an_address_without_permission_is_not_waited_for():
    open_socket = failing_until(loop_time() + 60.0, errno.EACCES)
    with pytest.raises(UnusableAddressError, match="front address 127.0.0.1:80"):
        await asyncio.wait_for(acquire_socket(open_socket, "127.0.0.1", 80, "front"), 1)
