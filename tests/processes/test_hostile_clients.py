"""A daemon as a process, and clients whose bytes never make a valid request.

Each test guards against a process that ends, hangs, or takes more memory than its VM
has. Nothing here depends on the speed of the machine: time limits only end a test whose
daemon hangs.
"""

import asyncio
import contextlib
import itertools
import re
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
import pytest_asyncio
from aiohttp import ClientSession

from demo.fleet import own_network
from demo.published_fleet import (
    ADDRESSES_PORT,
    COMPLETIONS_PORT,
    FRONT_PORT,
    HOST_NAME,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    PublishedFleet,
    configuration,
)
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.peers.transport import PeerConnection
from tests.processes.test_published import send_request

pytestmark = pytest.mark.asyncio(loop_scope="module")

CROWD = 40
# Connections that each client opens, one after another.
ROUNDS = 3
# Bytes that a client sends on a connection at most, if it is not closed before.
SENT_MAX_BYTES = 8_000_000
# Bytes that a slow client sends one at a time, and the pause between them.
SLOW_BYTES = 150
SLOW_PERIOD_S = 0.02
# Peak of the resident memory; the daemon has some 50 MB without callers.
MEMORY_PEAK_MAX_MB = 96
# Memory that stays in use when such clients have gone.
MEMORY_KEPT_MAX_MB = 24
# Descriptors that a crowd may take besides one a client, and that may stay open.
DESCRIPTORS_EXTRA_MAX = 24
DESCRIPTORS_KEPT_MAX = 8
# A daemon that has not closed a connection after this time never will.
HANG_S = 25.0
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 262_144,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 5000,
}
PORTS = {
    "front": FRONT_PORT,
    "ready": READY_PORT,
    "directory": ADDRESSES_PORT,
    "metrics": METRICS_PORT,
    "completions": COMPLETIONS_PORT,
}
REQUEST_LINE = b"POST /first/look/x HTTP/1.1\r\n"
FIELDS = f"Host: {HOST_NAME}\r\nX-Request-Id: ".encode()
POLL_S = 0.02
DATAGRAMS = 25
_ids = itertools.count()


@dataclass(frozen=True)
class Input:
    """What a client sends first, and what it then repeats.

    ``in_body`` tells whether a head is complete, so that a request may be answered.
    """

    first: bytes
    repeated: bytes
    in_body: bool = False


def chunked(rest: bytes) -> bytes:
    """Return the start of a request with a chunked body."""
    return b"%s%sid\r\nTransfer-Encoding: chunked\r\n\r\n%s" % (
        REQUEST_LINE,
        FIELDS,
        rest,
    )


INPUTS = {
    "header": Input(REQUEST_LINE + FIELDS, b"x" * 1000),
    "request line": Input(b"GET /", b"x" * 1000),
    "many headers": Input(REQUEST_LINE + FIELDS + b"id\r\n", b"A: b\r\n" * 200),
    "empty lines": Input(b"", b"\r\n" * 500),
    "lone CRs": Input(b"", b"\r" * 1000),
    "lone CRs in a head": Input(REQUEST_LINE + FIELDS + b"id", b"\r" * 1000),
    "chunk extension": Input(chunked(b"5;a="), b"x" * 1000, in_body=True),
    "trailer": Input(chunked(b"0\r\nA: "), b"x" * 1000, in_body=True),
    "trailers": Input(chunked(b"0\r\n"), b"A: b\r\n" * 200, in_body=True),
    "chunks": Input(chunked(b""), b"%x\r\n%s\r\n" % (8000, b"x" * 8000), in_body=True),
    "small chunks": Input(chunked(b""), b"1\r\nx\r\n" * 200, in_body=True),
}
FRAMES = {
    "text": Input(b"", b"GET / HTTP/1.1\r\n\r\n" * 50),
    "frames over the limit": Input(struct.pack("!i", 2**31 - 1), b"x" * 1000),
    "long frames": Input(struct.pack("!i", 4_194_304), b"x" * 1000),
    "short frames": Input(b"", struct.pack("!i", 8) + b"x" * 8),
    "negative length": Input(struct.pack("!i", -5), b"x" * 1000),
}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def services():
    """The store and one replica."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=0, prefill=0, decode=0, plain=1)
            await fleet.configure({**configuration(2), "limits": LIMITS})
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(services):
    """One new daemon for a test, as memory of one test may stay in a process."""
    process = services.launch_router(1).process
    async with asyncio.timeout(60):
        await services.wait_for_ready(1)
        assert (await look(services)).status == 200
    yield services
    process.kill()
    process.wait()


async def look(fleet):
    """Send one ordinary request."""
    return await send_request(fleet, fleet.front(1), "/first/look/x")


def process_memory_mb(pid: int, field: str = "VmRSS") -> float:
    """Return the resident memory of a process; its peak with ``VmHWM``."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+) kB", status).group(1)) / 1024


def process_descriptors(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def memory_mb(fleet, field: str = "VmRSS") -> float:
    """Return the resident memory of the daemon; its peak with ``VmHWM``."""
    return process_memory_mb(fleet.get("router-1").process.pid, field)


def descriptors(fleet) -> int:
    """Return the number of descriptors that the daemon has open."""
    return process_descriptors(fleet.get("router-1").process.pid)


class Crowd:
    """Clients of one port, and what they do to the daemon."""

    def __init__(self, fleet: PublishedFleet, port: int):
        self._fleet = fleet
        self._port = port
        self._descriptors = descriptors(fleet)
        self._descriptors_peak = self._descriptors
        self._memory_mb = memory_mb(fleet)
        self.kept_open = 0

    async def send(self, inputs: list[Input], slowly: bool = False) -> None:
        """Let each client send; ``kept_open`` counts connections that never end."""
        watching = asyncio.create_task(self._watch_descriptors())
        clients = (
            self._run_client(given, slowly)
            for given in itertools.islice(itertools.cycle(inputs), CROWD)
        )
        await asyncio.gather(*clients)
        watching.cancel()

    async def _watch_descriptors(self) -> None:
        while True:
            self._descriptors_peak = max(
                self._descriptors_peak, descriptors(self._fleet)
            )
            await asyncio.sleep(POLL_S)

    async def _run_client(self, given: Input, slowly: bool) -> None:
        for _ in range(1 if slowly else ROUNDS):
            if not await self._run_connection(given, slowly):
                self.kept_open += 1
                return

    async def _run_connection(self, given: Input, slowly: bool) -> bool:
        """Send on one connection; return whether the daemon has ended it."""
        try:
            reader, writer = await asyncio.open_connection(
                self._fleet.vm_host(1), self._port
            )
        except OSError:
            return True
        parts = slow_parts(given) if slowly else fast_parts(given)
        pause_s = SLOW_PERIOD_S if slowly else 0.0
        sending = asyncio.create_task(send_parts(writer, parts, pause_s))
        try:
            return await read_to_end(reader)
        finally:
            sending.cancel()
            writer.transport.abort()

    async def check(self) -> None:
        """Check the daemon's process, memory and descriptors, then its answers."""
        fleet = self._fleet
        assert fleet.get("router-1").process.poll() is None
        peak_mb = memory_mb(fleet, "VmHWM")
        async with asyncio.timeout(HANG_S):
            answer = await look(fleet)
            assert answer.status == 200
            assert await fleet.is_ready(1)
            assert await fleet.addresses(1)
            assert "marjoramstile_" in await scrape(fleet)
            assert await probe_peers_port(fleet) is not None
        kept_mb = memory_mb(fleet) - self._memory_mb
        extra = self._descriptors_peak - self._descriptors - CROWD
        seen = (
            f"peak {peak_mb:.0f} MB, kept {kept_mb:.0f} MB, "
            f"extra descriptors {extra}, not ended {self.kept_open}"
        )
        print(seen)
        assert peak_mb <= MEMORY_PEAK_MAX_MB, seen
        assert kept_mb <= MEMORY_KEPT_MAX_MB, seen
        assert extra <= DESCRIPTORS_EXTRA_MAX, seen
        assert self.kept_open == 0, seen
        await self._wait_for_descriptors()

    async def _wait_for_descriptors(self) -> None:
        async with asyncio.timeout(HANG_S):
            while descriptors(self._fleet) > self._descriptors + DESCRIPTORS_KEPT_MAX:
                await asyncio.sleep(POLL_S)


def fast_parts(given: Input) -> Iterator[bytes]:
    """Yield the bytes of one connection in large parts."""
    yield given.first
    block = given.repeated * (64_000 // len(given.repeated) + 1)
    for _ in range(SENT_MAX_BYTES // len(block)):
        yield block


def slow_parts(given: Input) -> Iterator[bytes]:
    """Yield the first bytes, then the others one by one."""
    yield given.first
    for byte in itertools.islice(itertools.cycle(given.repeated), SLOW_BYTES):
        yield bytes([byte])


async def send_parts(writer, parts: Iterator[bytes], pause_s: float) -> None:
    """Send parts until the connection is lost; it stays open afterwards."""
    with contextlib.suppress(OSError):
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)


async def read_to_end(reader) -> bool:
    """Read until the connection ends; return false if it doesn't."""
    try:
        async with asyncio.timeout(HANG_S):
            while await reader.read(65_536):
                pass
    except TimeoutError:
        return False
    except OSError:
        pass
    return True


async def scrape(fleet) -> str:
    """Return the daemon's metrics."""
    url = f"http://{fleet.vm_host(1)}:{METRICS_PORT}/metrics"
    async with ClientSession() as session, session.get(url) as response:
        return await response.text()


async def probe_peers_port(fleet):
    """Return the daemon's answer to a call on its port for peers."""
    connection = await PeerConnection.open(
        fleet.vm_host(1), PEERS_PORT, 4_194_304, BufferBudget(8_000_000)
    )
    answer = await connection.call("probe_through", "nobody")
    connection.close()
    return answer


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("name", INPUTS)
async def test_fast_bytes_that_never_make_a_request_use_up_the_memory(
    fleet, name, port
):
    """Their memory had no bound, or their connections never ended."""
    crowd = Crowd(fleet, PORTS[port])
    await crowd.send([INPUTS[name]])
    await crowd.check()


@pytest.mark.parametrize("port", PORTS)
async def test_slow_bytes_that_never_make_a_request_keep_connections(fleet, port):
    """Their connections were kept for 30 s, or for good."""
    crowd = Crowd(fleet, PORTS[port])
    slow = [given for name, given in INPUTS.items() if name != "chunks"]
    await crowd.send(slow, slowly=True)
    await crowd.check()


@pytest.mark.parametrize("name", [*INPUTS, *FRAMES])
async def test_fast_bytes_to_the_peers_port_use_up_the_memory(fleet, name):
    crowd = Crowd(fleet, PEERS_PORT)
    await crowd.send([{**INPUTS, **FRAMES}[name]])
    await crowd.check()


async def test_slow_frames_to_the_peers_port_keep_connections(fleet):
    """A frame whose length was sent in part was awaited for good."""
    crowd = Crowd(fleet, PEERS_PORT)
    part_of_a_length = Input(b"\0\0", b"")
    await crowd.send([part_of_a_length, *FRAMES.values()], slowly=True)
    await crowd.check()


async def test_datagrams_that_hold_no_message_use_up_the_memory(fleet):
    crowd = Crowd(fleet, PEERS_PORT)
    kinds = [b"", b"[", b"[" * 60_000, b"\xff" * 60_000, b'["', b"{}", b"[1,2]"]
    address = (fleet.vm_host(1), PEERS_PORT)
    sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(CROWD)]
    for _ in range(DATAGRAMS):
        for sender, data in zip(sockets, itertools.cycle(kinds), strict=False):
            sender.sendto(data, address)
        await asyncio.sleep(0)
    for sender in sockets:
        sender.close()
    await crowd.check()


async def read_answer(reader) -> tuple[int, bytes]:
    """Return status and body of one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    return int(head.split()[1]), await reader.readexactly(int(length.group(1)))


async def test_an_ordinary_client_that_pipelines_is_refused(fleet):
    """Limits on what is read ahead must not touch requests within the limits."""
    reader, writer = await asyncio.open_connection(fleet.vm_host(1), FRONT_PORT)
    padding = b"X-Padding: %s\r\n" % (b"x" * (LIMITS["maxHeaderBytes"] - 200))
    names = [f"pipelined-{next(_ids)}" for _ in range(60)]
    for name in names:
        writer.write(
            b"GET /first/look/x HTTP/1.1\r\n%s%s\r\n%s\r\n"
            % (FIELDS, name.encode(), padding)
        )
    async with asyncio.timeout(HANG_S):
        for name in names:
            assert await read_answer(reader) == (200, name.encode())
    writer.close()


@pytest.mark.parametrize("size", [262_144, 4_194_304])
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_an_upload_of_the_largest_size_is_refused(fleet, size, is_chunked):
    """Limits on bytes must not touch bodies within the operator's limit."""
    version = 3 if size == 262_144 else 4
    limits = {**LIMITS, "maxBodyBytes": size}
    await fleet.configure({**configuration(next(_ids) + 10), "limits": limits})
    body = b"x" * size

    async def parts():
        for start in range(0, size, 1000):
            yield body[start : start + 1000]

    url = f"http://{fleet.front(1)}/first/look/x"
    status = 0
    async with asyncio.timeout(HANG_S), ClientSession() as session:
        while status != 200:
            headers = {"Host": HOST_NAME, "X-Request-Id": f"up-{version}-{next(_ids)}"}
            data = parts() if is_chunked else body
            with contextlib.suppress(OSError):
                async with session.post(url, data=data, headers=headers) as response:
                    status = response.status
            assert status in (0, 200, 413)
    await fleet.configure({**configuration(next(_ids) + 10), "limits": LIMITS})
