"""``marjoramstiled`` as a process, and crowds that keep within or ignore its limits.

Each test guards against a daemon that ends, hangs, or takes more memory than a VM has
for it. Nothing here depends on the speed of the machine: time limits only end a test
whose daemon hangs.
"""

import asyncio
import contextlib
import itertools
import resource
from collections.abc import Callable, Iterator
from functools import partial

import pytest
import pytest_asyncio

from demo.fleet import CALLERS_PORT, OPERATORS_PORT, Fleet, own_network
from tests.processes.clients import HEADERS, completion_body, stream, whole_text
from tests.processes.test_crowds import (
    BLOCK_BYTES,
    HANG_S,
    MEMORY_MB,
    POLL_S,
    SENDING_S,
    SLOW_PERIOD_S,
)
from tests.processes.test_hostile_clients import (
    DESCRIPTORS_KEPT_MAX,
    INPUTS,
    fast_parts,
    process_descriptors,
    process_memory_mb,
)

pytestmark = pytest.mark.asyncio(loop_scope="function")

CROWD = 250
MAX_BODY_BYTES = 1_048_576
STALLED_BODY_BYTES = 1_000_000
FEW_FDS = 400
SLOW_CROWD = 200
SLOW_S = 1.5
PORTS = {"callers": CALLERS_PORT, "operators": OPERATORS_PORT}
PATHS = {"callers": "/v1/services/pagkos-app/x", "operators": "/v1/statements"}


class ShortFleet(Fleet):
    """A fleet whose daemons may open a given number of descriptors."""

    descriptors = 4100

    def launch_daemon(self, number: int):
        """Start a daemon and limit its descriptors before it reads the limit."""
        launched = super().launch_daemon(number)
        limits = (self.descriptors, self.descriptors)
        resource.prlimit(launched.process.pid, resource.RLIMIT_NOFILE, limits)
        return launched


@pytest_asyncio.fixture(loop_scope="function")
async def start():
    """Start one daemon with a number of descriptors."""
    async with contextlib.AsyncExitStack() as stack:

        async def start_fleet(max_fds: int = ShortFleet.descriptors) -> Fleet:
            fleet = ShortFleet(own_network())
            fleet.descriptors = max_fds
            await stack.enter_async_context(fleet)
            await fleet.start_all((1,), prefills=1, decodes=1)
            return fleet

        yield start_fleet


def head(path: str, *fields: bytes) -> bytes:
    """Return the head of a request without credentials."""
    lines = [b"POST %s HTTP/1.1" % path.encode(), b"Host: h", *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunked(path: str, size: int) -> Iterator[bytes]:
    """Yield a request whose body in chunks of ``size`` bytes ends at the limit."""
    yield head(path, b"Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    in_block = max(1, BLOCK_BYTES // len(chunk))
    for _ in range(MAX_BODY_BYTES // size // in_block):
        yield chunk * in_block
    yield b"0\r\n\r\n"


def body(path: str, sent_bytes: int) -> Iterator[bytes]:
    """Yield a request with a body at the limit, of which some bytes are sent."""
    yield head(path, b"Content-Length: %d" % MAX_BODY_BYTES)
    yield b"x" * sent_bytes


REQUESTS: dict[str, Callable[[str], Iterator[bytes]]] = {
    "chunks of one byte": lambda path: chunked(path, 1),
    "chunks of three bytes": lambda path: chunked(path, 3),
    "whole bodies": lambda path: body(path, MAX_BODY_BYTES),
    "stalled bodies": lambda path: body(path, STALLED_BODY_BYTES),
}


async def send_request_once(host: str, port: int, parts: Iterator[bytes]) -> None:
    """Send one request on a new connection; read until the connection ends."""
    reader, writer = await asyncio.open_connection(host, port)
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


async def send_until_left(host: str, port: int, request: Callable) -> None:
    """Send requests for a time as fast as they are read, then leave without notice."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SENDING_S):
            while True:
                with contextlib.suppress(OSError):
                    await send_request_once(host, port, request())
                await asyncio.sleep(POLL_S)


async def check_answers(fleet: Fleet) -> None:
    """Check that one request of a caller and one of an operator are answered."""
    short = completion_body(5)
    async with asyncio.timeout(HANG_S):
        assert await stream(fleet, 1, short) == whole_text(short)
    async with asyncio.timeout(HANG_S):
        rows = (await fleet.state(1, "show daemons"))["rows"]
    assert [row["daemon"] for row in rows] == ["vm-1"]


async def check_daemon(fleet: Fleet, descriptors_before: int) -> None:
    """Check that the daemon lives within its memory and answers."""
    process = fleet.get("vm-1").process
    assert process.poll() is None
    await check_answers(fleet)
    peak_mb = process_memory_mb(process.pid, "VmHWM")
    print(f"peak {peak_mb:.0f} MB")
    assert process.poll() is None
    assert peak_mb <= MEMORY_MB
    async with asyncio.timeout(HANG_S):
        while descriptors(fleet) > descriptors_before + DESCRIPTORS_KEPT_MAX:
            await asyncio.sleep(POLL_S)


def descriptors(fleet: Fleet) -> int:
    """Return the number of descriptors that the daemon has open."""
    return process_descriptors(fleet.get("vm-1").process.pid)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("name", REQUESTS)
async def test_a_crowd_within_the_limits_takes_all_memory_or_time(start, name, port):
    fleet = await start()
    await check_answers(fleet)
    before = descriptors(fleet)
    host, _ = fleet.peers_address(1)
    request = REQUESTS[name]
    await asyncio.gather(
        *(
            send_until_left(host, PORTS[port], lambda: request(PATHS[port]))
            for _ in range(CROWD)
        )
    )
    await check_daemon(fleet, before)


@pytest.mark.parametrize("port", PORTS)
async def test_bytes_that_never_make_a_request_use_up_the_memory(start, port):
    """Endless heads, lines, chunks, extensions and trailers, all at once."""
    fleet = await start()
    await check_answers(fleet)
    before = descriptors(fleet)
    host, _ = fleet.peers_address(1)
    inputs = itertools.islice(itertools.cycle(INPUTS.values()), CROWD)
    await asyncio.gather(
        *(
            send_until_left(host, PORTS[port], partial(fast_parts, given))
            for given in inputs
        )
    )
    await check_daemon(fleet, before)


async def send_slowly(host: str, port: int, first: bytes, repeated: bytes) -> None:
    """Send a byte now and then; come back when the connection is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(first)
                while not reader.at_eof():
                    writer.write(repeated)
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(SLOW_PERIOD_S):
                            await reader.read()
            finally:
                writer.transport.abort()
        await asyncio.sleep(POLL_S)


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("name", ["heads", "bodies"])
async def test_slow_requests_that_come_back_take_all_connections(start, name, port):
    fleet = await start(FEW_FDS)
    await check_answers(fleet)
    before = descriptors(fleet)
    host, _ = fleet.peers_address(1)
    whole_head = head(PATHS[port], b"Content-Length: 1000")
    first = whole_head if name == "bodies" else b"GET / HTTP/1.1\r\nA: "
    crowd = [
        asyncio.create_task(send_slowly(host, PORTS[port], first, b"x"))
        for _ in range(SLOW_CROWD)
    ]
    await asyncio.sleep(SLOW_S)
    await check_answers(fleet)
    for client in crowd:
        client.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    await check_daemon(fleet, before)


@pytest.mark.parametrize("port", PORTS)
async def test_a_head_that_never_ends_keeps_its_connection(start, port):
    """Each byte of it was progress."""
    fleet = await start()
    host, _ = fleet.peers_address(1)
    reader, writer = await asyncio.open_connection(host, PORTS[port])
    writer.write(b"GET / HTTP/1.1\r\nA: ")
    async with asyncio.timeout(HANG_S):
        with contextlib.suppress(OSError):
            while not reader.at_eof():
                writer.write(b"x")
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SLOW_PERIOD_S):
                        await reader.read()
    writer.close()


@pytest.mark.parametrize("size", [1, 2])
async def test_a_request_in_the_smallest_chunks_is_refused(start, size):
    fleet = await start()
    host, port = fleet.peers_address(1)[0], CALLERS_PORT
    reader, writer = await asyncio.open_connection(host, port)
    key = HEADERS["Authorization"].encode()
    fields = (b"Authorization: %s" % key, b"Idempotency-Key: chunks-%d" % size)
    parts = chunked(PATHS["callers"], size)
    next(parts)
    writer.write(head(PATHS["callers"], b"Transfer-Encoding: chunked", *fields))
    for part in parts:
        writer.write(part)
        await writer.drain()
    async with asyncio.timeout(HANG_S):
        assert (await reader.readuntil(b"\r\n")).split()[1] == b"200"
    writer.close()
