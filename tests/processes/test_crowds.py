"""A daemon as a process, and a crowd that sends as fast as it can within the limits.

Each test guards against a process that ends, hangs, or takes more memory than its VM
has. Limits and memory are the largest and the smallest of the supported deployments.
Nothing here depends on the speed of the machine: time limits only end a test whose
daemon hangs.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import FRONT_PORT, HOST_NAME, PublishedFleet, configuration
from tests.processes.test_hostile_clients import (
    DESCRIPTORS_KEPT_MAX,
    HANG_S,
    POLL_S,
    descriptors,
    look,
    memory_mb,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

CROWD = 250
# Time for which a crowd sends before it leaves.
SENDING_S = 5.0
# Memory of the smallest VM; the platform kills a daemon that exceeds it.
MEMORY_MB = 128
MAX_FDS = 4100
MAX_BODY_BYTES = 4_194_304
BLOCK_BYTES = 64_000
STALLED_BODY_BYTES = 1_000_000
_ids = itertools.count()


class LimitedFleet(PublishedFleet):
    """A fleet whose daemons are told the memory and the descriptors of their VM."""

    def __init__(self, network: int):
        super().__init__(network)
        self.max_fds = MAX_FDS

    def _settings(self, number: int):
        limits = {"memoryMb": MEMORY_MB, "maxFds": self.max_fds}
        return {**super()._settings(number), "limits": limits}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def services():
    """The store and one replica."""
    async with LimitedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=0, prefill=0, decode=0, plain=1)
            await fleet.configure(configuration(2))
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def launch(services):
    """Start one new daemon for a test."""
    launched = []

    async def start(max_fds: int = MAX_FDS) -> PublishedFleet:
        services.max_fds = max_fds
        launched.append(services.launch_router(1).process)
        async with asyncio.timeout(60):
            await services.wait_for_ready(1)
            assert (await look(services)).status == 200
        return services

    yield start
    for process in launched:
        process.kill()
        process.wait()


def head(*fields: bytes) -> bytes:
    """Return the head of a request with an id of its own."""
    common = b"POST /first/look/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd-%d\r\n"
    return (
        common % (HOST_NAME.encode(), next(_ids))
        + b"".join(field + b"\r\n" for field in fields)
        + b"\r\n"
    )


def chunked(size: int) -> Iterator[bytes]:
    """Yield a request whose body in chunks of ``size`` bytes ends at the limit."""
    yield head(b"Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    in_block = max(1, BLOCK_BYTES // len(chunk))
    for _ in range(MAX_BODY_BYTES // size // in_block):
        yield chunk * in_block
    yield b"0\r\n\r\n"


def mixed_chunks() -> Iterator[bytes]:
    """Yield a request whose body has chunks of one to four bytes."""
    yield head(b"Transfer-Encoding: chunked")
    chunks = b"".join(b"%x\r\n%s\r\n" % (size, b"x" * size) for size in (1, 3, 2, 4))
    for _ in range(MAX_BODY_BYTES // 10 // 1000):
        yield chunks * 1000
    yield b"0\r\n\r\n"


def whole(sent_bytes: int = MAX_BODY_BYTES) -> Iterator[bytes]:
    """Yield a request with a body at the limit, of which some bytes are sent."""
    yield head(b"Content-Length: %d" % MAX_BODY_BYTES)
    for _ in range(sent_bytes // BLOCK_BYTES):
        yield b"x" * BLOCK_BYTES
    yield b"x" * (sent_bytes % BLOCK_BYTES)


def pipelined() -> Iterator[bytes]:
    """Yield small requests with bodies in small chunks, one after another."""
    for _ in range(1000):
        yield head(b"Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 500 + b"0\r\n\r\n"


REQUESTS: dict[str, Callable[[], Iterator[bytes]]] = {
    "chunks of one byte": lambda: chunked(1),
    "chunks of two bytes": lambda: chunked(2),
    "chunks of three bytes": lambda: chunked(3),
    "chunks of ten bytes": lambda: chunked(10),
    "mixed chunks": mixed_chunks,
    "pipelined chunks": pipelined,
    "whole bodies": whole,
    "stalled bodies": lambda: whole(STALLED_BODY_BYTES),
}


async def send_until_left(fleet, request: Callable[[], Iterator[bytes]]) -> None:
    """Send requests for a time as fast as they are read, then leave without notice."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SENDING_S):
            while True:
                with contextlib.suppress(OSError):
                    await send_request_once(fleet, request())
                await asyncio.sleep(POLL_S)


async def send_request_once(fleet, parts: Iterator[bytes]) -> None:
    """Send one request on a new connection; read until the connection ends."""
    reader, writer = await asyncio.open_connection(fleet.vm_host(1), FRONT_PORT)
    reading = asyncio.create_task(reader.read())
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
        with contextlib.suppress(OSError):
            await asyncio.shield(reading)
    finally:
        reading.cancel()
        writer.close()


async def check_daemon(fleet, descriptors_before: int) -> None:
    """Check that the daemon lives within its memory and answers one request."""
    process = fleet.get("router-1").process
    assert process.poll() is None
    async with asyncio.timeout(HANG_S):
        answer = await look(fleet)
    peak_mb = memory_mb(fleet, "VmHWM")
    print(f"peak {peak_mb:.0f} MB, kept {memory_mb(fleet):.0f} MB")
    assert answer.status == 200
    assert process.poll() is None
    assert peak_mb <= MEMORY_MB
    async with asyncio.timeout(HANG_S):
        while descriptors(fleet) > descriptors_before + DESCRIPTORS_KEPT_MAX:
            await asyncio.sleep(POLL_S)


@pytest.mark.parametrize("name", REQUESTS)
async def test_a_crowd_within_the_limits_takes_all_memory_or_time(launch, name):
    fleet = await launch()
    before = descriptors(fleet)
    await asyncio.gather(
        *(send_until_left(fleet, REQUESTS[name]) for _ in range(CROWD))
    )
    await check_daemon(fleet, before)


@pytest.mark.parametrize("size", [1, 2])
async def test_a_request_in_the_smallest_chunks_is_refused(launch, size):
    """Each chunk of a body within the limits may be as small as its sender likes."""
    fleet = await launch()
    reader, writer = await asyncio.open_connection(fleet.vm_host(1), FRONT_PORT)
    for part in chunked(size):
        writer.write(part)
        await writer.drain()
    async with asyncio.timeout(HANG_S):
        assert (await reader.readuntil(b"\r\n")).split()[1] == b"200"
    writer.close()
