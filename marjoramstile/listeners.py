"""Sockets of a starting daemon: an address in use is waited for."""

import asyncio
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.loops import listening_socket
from marjoramstile.utils import loop_time

# Pauses between attempts, the first and the longest.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.5
# Period of the log lines that tell what is waited for.
REPORT_PERIOD_S = 10.0
# Errors that stay as long as the settings do. An address that is not the machine's
# (EADDRNOTAVAIL) may become so, and a shortage ends.
LASTING_ERRORS = frozenset(
    {errno.EACCES, errno.EPERM, errno.EAFNOSUPPORT, errno.EINVAL}
)

logger = get_logger(__name__)


class SocketAddress(Protocol):
    """An address of either daemon's settings."""

    host: str
    port: int


@dataclass(frozen=True)
class UnusableAddressError(Exception):
    """The daemon can never listen on an address of its settings."""

    purpose: str
    address: str
    reason: str

    def __str__(self) -> str:
        return f"{self.purpose} address {self.address}: {self.reason}"


async def acquire_socket(
    open_socket: Callable[[str, int], socket.socket],
    host: str,
    port: int,
    purpose: str,
) -> socket.socket:
    """Return what ``open_socket`` returns for an address, waiting until it is free.

    Raise UnusableAddressError if no wait will help.
    """
    pause_s = RETRY_MIN_S
    started_at = loop_time()
    reported_at = None
    while True:
        try:
            acquired = open_socket(host, port)
            break
        except OSError as error:
            address = f"{host}:{port}"
            reason = str(error)
            if error.errno in LASTING_ERRORS:
                raise UnusableAddressError(purpose, address, reason) from error
        if reported_at is None or loop_time() >= reported_at + REPORT_PERIOD_S:
            reported_at = loop_time()
            logger.warning(
                "address_waited_for",
                purpose=purpose,
                address=address,
                reason=reason,
                waited_s=round(reported_at - started_at, 3),
            )
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, RETRY_MAX_S)
    if reported_at is not None:
        logger.info("address_acquired", purpose=purpose, address=address)
    return acquired


async def acquire_listener(purpose: str, address: SocketAddress) -> socket.socket:
    """Return a socket that listens on an address, waiting until it is free."""
    return await acquire_socket(listening_socket, address.host, address.port, purpose)


async def acquire_optional_listener(
    purpose: str, address: SocketAddress, stopping: asyncio.Event
) -> socket.socket | None:
    """Return a listening socket that the daemon can serve without.

    Return None if the address is unusable or the daemon stops meanwhile.
    """
    try:
        listener = await acquire_listener(purpose, address)
    except UnusableAddressError as error:
        logger.error("address_unusable", reason=str(error))
        return None
    if stopping.is_set():
        listener.close()
        return None
    return listener
