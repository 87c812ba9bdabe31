"""A daemon as a process, and a crowd that sends as fast as it can within the limits.

Each test guards against a process that ends, hangs, or takes more memory than its VM
has. Limits and memory are the largest and the smallest of the supported deployments.
Nothing here depends on the speed of the machine: time limits only end a test whose
daemon hangs.
"""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Callable, Iterator

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import (
    FRONT_PORT,
    HOST_NAME,
    PEERS_PORT,
    PublishedFleet,
    configuration,
)
from tests.processes.test_hostile_clients import (
    DESCRIPTORS_KEPT_MAX,
    HANG_S,
    POLL_S,
    descriptors,
    look,
    memory_mb,
    probe_peers_port,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

CROWD = 250
# Time for which a crowd sends before it leaves.
SENDING_S = 5.0
# Memory of the smallest VM; the platform kills a daemon that exceeds it.
MEMORY_MB = 128
MAX_FDS = 4100
MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 16_384
BLOCK_BYTES = 64_000
STALLED_BODY_BYTES = 1_000_000
# Few descriptors: the daemon has room for 128 callers' connections.
FEW_FDS = 400
SLOW_CROWD = 200
SLOW_PERIOD_S = 0.25
# Time for which a slow crowd is there before ordinary callers come.
SLOW_S = 1.5
# Connections that a slow crowd has then at least.
SLOW_CONNECTIONS_MIN = 40
DATAGRAM_SENDERS = 40
# Connections of an ordinary caller before it gives up.
ATTEMPTS = 3
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


def many_fields() -> Iterator[bytes]:
    """Yield requests at the limit of a head, one after another."""
    for _ in range(1000):
        fields = (b"%x:" % number for number in range(2000))
        yield head(*fields, b"Content-Length: 0")


REQUESTS: dict[str, Callable[[], Iterator[bytes]]] = {
    "many fields": many_fields,
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


async def send_slowly(fleet, port: int, first: Callable[[], bytes]) -> None:
    """Send a byte now and then; come back when the connection is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(fleet.vm_host(1), port)
            try:
                writer.write(first())
                while not reader.at_eof():
                    writer.write(b"G")
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(SLOW_PERIOD_S):
                            await reader.read()
            finally:
                writer.transport.abort()
        await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def slow_crowd(fleet, port: int, first: Callable[[], bytes]):
    """Run a crowd of slow clients that takes all connections it can get."""
    before = descriptors(fleet)
    crowd = [
        asyncio.create_task(send_slowly(fleet, port, first)) for _ in range(SLOW_CROWD)
    ]
    try:
        async with asyncio.timeout(HANG_S):
            while descriptors(fleet) < before + SLOW_CONNECTIONS_MIN:
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(SLOW_S)
            yield
    finally:
        # A crowd that stays would also take the connections of the next test's daemon.
        for client in crowd:
            client.cancel()


async def call_on(reader, writer) -> int:
    """Send one request on an open connection; return its status."""
    writer.write(head(b"Content-Length: 0"))
    answer = await reader.readuntil(b"\r\n\r\n")
    length = answer.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
    await reader.readexactly(int(length))
    return int(answer.split()[1])


SLOW_REQUESTS: dict[str, Callable[[], bytes]] = {
    "heads": lambda: b"",
    "bodies": lambda: head(b"Content-Length: 1000"),
    "chunked bodies": lambda: head(b"Transfer-Encoding: chunked") + b"3e8\r\n",
}


@pytest.mark.parametrize("name", SLOW_REQUESTS)
async def test_slow_requests_that_come_back_take_all_connections(launch, name):
    """Ordinary callers were refused, and their kept connections closed for room."""
    fleet = await launch(FEW_FDS)
    before = descriptors(fleet)
    host = fleet.vm_host(1)
    kept = [await asyncio.open_connection(host, FRONT_PORT) for _ in range(10)]
    for connection in kept:
        assert await call_on(*connection) == 200
    async with slow_crowd(fleet, FRONT_PORT, SLOW_REQUESTS[name]):
        statuses = [(await look(fleet)).status for _ in range(ATTEMPTS)]
        assert 200 in statuses
        for connection in kept:
            assert await call_on(*connection) == 200
    for _, writer in kept:
        writer.close()
    await check_daemon(fleet, before)


async def test_slow_frames_that_come_back_take_all_connections_of_peers(launch):
    fleet = await launch(FEW_FDS)
    before = descriptors(fleet)
    async with slow_crowd(fleet, PEERS_PORT, lambda: b"\0\0\1\0"):
        for attempt in range(ATTEMPTS):
            try:
                assert await probe_peers_port(fleet) is not None
                break
            except (OSError, EOFError):
                assert attempt + 1 < ATTEMPTS
    await check_daemon(fleet, before)


async def test_datagrams_without_pause_keep_others_from_their_answers(launch):
    fleet = await launch()
    before = descriptors(fleet)
    address = (fleet.vm_host(1), PEERS_PORT)
    kinds = itertools.cycle([b"[" * 60_000, b"[%s1]" % (b"1," * 30_000), b"x", b"{}"])
    senders = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(DATAGRAM_SENDERS)]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SENDING_S):
            while True:
                for sender in senders:
                    sender.sendto(next(kinds), address)
                await asyncio.sleep(0)
    for sender in senders:
        sender.close()
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


async def test_a_request_with_many_short_fields_is_refused(launch):
    """The limit of a head is one of bytes."""
    fleet = await launch()
    reader, writer = await asyncio.open_connection(fleet.vm_host(1), FRONT_PORT)
    fields = (MAX_HEADER_BYTES - 200) // len(b"a: b\r\n")
    writer.write(head(*[b"a: b"] * fields, b"Content-Length: 0"))
    async with asyncio.timeout(HANG_S):
        assert (await reader.readuntil(b"\r\n")).split()[1] == b"200"
    writer.close()


async def test_a_request_with_a_long_id_gets_no_answer(launch):
    """Replicas repeat the id in their answer."""
    fleet = await launch()
    long_id = "x" * (MAX_HEADER_BYTES - 400)
    async with asyncio.timeout(HANG_S):
        url = f"http://{fleet.front(1)}/first/look/x"
        headers = {"Host": HOST_NAME, "X-Request-Id": long_id}
        options = {"headers": headers, "max_field_size": MAX_HEADER_BYTES}
        async with fleet.session.get(url, **options) as response:
            assert response.status == 200
            assert await response.text() == long_id
