"""A daemon as a process, and whole messages that cost more than their bytes.

Requests, frames and datagrams are well-formed and within the limits, but hold more
values than proper ones, or name what doesn't exist. Each test guards against a process
that ends, hangs, or takes more memory than its VM has. Nothing here depends on the
speed of the machine: time limits only end a test whose daemon hangs.
"""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
from collections.abc import Callable

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import (
    COMPLETIONS_PORT,
    FRONT_PORT,
    HOST_NAME,
    PEERS_PORT,
    PLAIN_SERVICE,
    STREAM_SERVICE,
    configuration,
)
from marjoramstile.crashes.blocklist import BY_CRASHES, BlockEntry
from marjoramstile.crashes.messages import (
    BeginQuery,
    BlockUpdate,
    CrashReport,
)
from marjoramstile.limits.messages import LimitedReplica, LimitReport, PermitRequest
from marjoramstile.peers.frames import encode_call
from marjoramstile.peers.peer_types import (
    WireProbe,
    WireReport,
    WireStrike,
    WireTableVersion,
)
from marjoramstile.peers.pool_datagrams import Message, encode_message
from marjoramstile.pools.messages import (
    LeaseRenewal,
    LeaseUsage,
    PlacementRequest,
    ProfileUpdate,
    SpeedUpdate,
)
from marjoramstile.pools.speeds import ReplicaSpeed
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.quotas.messages import (
    QuotaBackup,
    QuotaReport,
    QuotaRequest,
    Sender,
    SpenderState,
    WorkspaceUse,
)
from marjoramstile.streams.messages import StreamBegun, VersionQuery
from marjoramstile.workspaces.table import QuotaUnit
from tests.processes.test_crowds import (
    MAX_BODY_BYTES,
    MAX_FDS,
    POLL_S,
    SENDING_S,
    LimitedFleet,
    check_daemon,
)
from tests.processes.test_hostile_clients import descriptors, look

pytestmark = pytest.mark.asyncio(loop_scope="module")

# Clients of one port at a time.
CROWD = 40
# So few that there is room for all of their bodies.
FEW_CLIENTS = 3
# Names in datagrams: many short ones, or a few long ones.
NAME_BYTES = (12, 15_000)
DATAGRAM_BYTES = 60_000
# More than a name takes in a message, besides its bytes.
OVERHEAD_BYTES = 100
DATAGRAMS_AT_ONCE = 40
DATAGRAMS_PAUSE_S = 0.005
FRAME_BYTES = 4_000_000
CHANGES_ASKED = 100_000
# Bytes of a head that a name may have.
HEAD_FILL = 12_000
# Different frames of a crowd.
FRAMES_SENT = 8
_numbers = itertools.count()


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def services():
    """The store and replicas of both services."""
    async with LimitedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=0, prefill=1, decode=1, plain=1)
            await fleet.configure(configuration(2))
        yield fleet


@pytest_asyncio.fixture(loop_scope="module")
async def fleet(services):
    """Start one new daemon for a test."""
    services.max_fds = MAX_FDS
    process = services.launch_router(1).process
    async with asyncio.timeout(60):
        await services.wait_for_ready(1)
        assert (await look(services)).status == 200
    yield services
    process.kill()
    process.wait()


def unique(size: int = 12) -> str:
    """Return a name of a size that no other message has."""
    return f"{next(_numbers):012x}" + "f" * (size - 12)


def fill(size: int = HEAD_FILL) -> bytes:
    """Return a name as bytes."""
    return unique(size).encode()


async def send_for_a_time(host: str, port: int, message: Callable[[], bytes]) -> None:
    """Send messages, one on each connection, and read what is answered."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SENDING_S):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    await send_once(host, port, message())
                await asyncio.sleep(POLL_S)


async def send_once(host: str, port: int, message: bytes) -> None:
    """Send one message, and read a part of the answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(message)
        await writer.drain()
        await reader.read(1000)
    finally:
        writer.close()


async def run_crowd(
    fleet, port: int, message: Callable[[], bytes], clients: int = CROWD
) -> None:
    """Let a crowd send, then check the daemon."""
    before = descriptors(fleet)
    host = fleet.vm_host(1)
    crowd = (send_for_a_time(host, port, message) for _ in range(clients))
    await asyncio.gather(*crowd)
    await check_daemon(fleet, before)


def completion(value: bytes, field: bytes = b"extra") -> bytes:
    """Return a completion whose body is filled up with a repeated JSON value."""
    start = b'{"model":"%s","prompt":"x","max_tokens":1,"%s":['
    start %= (STREAM_SERVICE.encode(), field)
    end = b"{}]}"
    count = (MAX_BODY_BYTES - len(start) - len(end)) // (len(value) + 1)
    body = start + (value + b",") * count + end
    return (
        b"POST /v1/%scompletions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        % (b"" if field == b"extra" else b"chat/", len(body))
        + body
    )


JSON_VALUES = {
    "objects": b"{}",
    "lists": b"[]",
    "nested lists": b"[[[[]]]]",
    "members": b'{"a":1}',
    "wide texts": '"\U0001f600"'.encode(),
    "numbers": b"1.5",
}


@pytest.mark.parametrize("field", [b"extra", b"messages"])
@pytest.mark.parametrize("name", JSON_VALUES)
async def test_json_of_many_values_takes_all_memory(fleet, name, field):
    """A value of two bytes takes up to sixty when it is parsed."""
    request = completion(JSON_VALUES[name], field)
    await run_crowd(fleet, COMPLETIONS_PORT, lambda: request, FEW_CLIENTS)


def many_parts() -> bytes:
    """Return a generation whose prompt has as many parts as a head holds."""
    parts = b",".join(b"%s:9" % unique(64).encode() for _ in range(180))
    size = b"X-Token-Count: 20000,1000"
    return front_head(b"stream", size, b"X-Prefix-Hash: " + parts)


def front_head(kind: bytes, *fields: bytes, id_bytes: int = 100) -> bytes:
    """Return the head of a request without a body on a route of a kind."""
    lines = [
        b"POST /first/" + kind + b"/x HTTP/1.1",
        b"Host: " + HOST_NAME.encode(),
        b"X-Request-Id: " + fill(id_bytes),
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


REQUESTS: dict[str, Callable[[], bytes]] = {
    "long ids": lambda: front_head(b"look", id_bytes=HEAD_FILL),
    "long paths": lambda: (
        b"GET /first/look/%s HTTP/1.1\r\nHost: %s\r\n"
        b"X-Request-Id: %s\r\n\r\n" % (fill()[:7000], HOST_NAME.encode(), fill(12))
    ),
    "unknown hosts": lambda: (
        b"GET / HTTP/1.1\r\nHost: %s\r\nX-Request-Id: 1\r\n\r\n" % fill()
    ),
    "many parts": many_parts,
    "take-ups": lambda: front_head(
        b"stream",
        b"X-Token-Count: 20000,1000",
        b"Last-Event-Id: 3",
        b"Resumes: " + fill(100),
    ),
    "large generations": lambda: front_head(
        b"stream", b"X-Token-Count: 999999999999999,999999999999999"
    ),
    "upgrades": lambda: (
        front_head(b"look", b"Connection: upgrade", b"Upgrade: websocket")
        + b"x" * MAX_BODY_BYTES
    ),
    "tunnels": lambda: (
        b"CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n" + b"x" * MAX_BODY_BYTES
    ),
    "continued": lambda: front_head(
        b"look", b"Expect: 100-continue", b"Content-Length: 4000000"
    ),
    "HTTP/1.0": lambda: front_head(b"look").replace(b"HTTP/1.1", b"HTTP/1.0"),
    "HTTP/2": lambda: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0" * 100_000,
    "TLS": lambda: b"\x16\x03\x01\x02\0\x01\0\x01\xfc\x03\x03" + b"\xaa" * 100_000,
    "deadlines": lambda: front_head(b"look", b"X-Deadline-Ms: 1e-300"),
    "long deadlines": lambda: front_head(b"stream", b"X-Deadline-Ms: 1e300"),
    "bytes that are no text": lambda: front_head(
        b"look", b"X-A: \xff\xfe\xed\xa0\x80", b"X-Tenant: \xff"
    ),
    "lengths": lambda: front_head(b"look", b"Content-Length: " + b"9" * 5000),
}


@pytest.mark.parametrize("name", REQUESTS)
async def test_requests_that_cost_more_than_their_bytes_take_all_memory(fleet, name):
    await run_crowd(fleet, FRONT_PORT, REQUESTS[name])


def versions(table: str) -> bytes:
    """Return a call for all changes of a table, as often as a frame can ask."""
    asked = [WireTableVersion(table=table, after=0)] * CHANGES_ASKED
    return encode_call("changes", asked, True)


def probe(size: int) -> bytes:
    """Return a probe that names what doesn't exist."""
    count = FRAME_BYTES // (size + OVERHEAD_BYTES) // 3
    return encode_call(
        "probe",
        WireProbe(
            vm=unique(size),
            incarnation=unique(size),
            reports=[
                WireReport(vm=unique(size), incarnation=unique(), counter=1, state=0)
                for _ in range(count)
            ],
            strikes=[
                WireStrike(content=unique(size), endpoint=unique())
                for _ in range(count)
            ],
            blocklist=unique(size),
            positions=[
                WireTableVersion(table=unique(size), after=1) for _ in range(count)
            ],
            links=1,
        ),
    )


FRAMES: dict[str, Callable[[], bytes]] = {
    "changes of the replicas": lambda: versions("servers"),
    "changes of the configuration": lambda: versions("op"),
    "changes of unknown tables": lambda: versions("unknown"),
    "probes with short names": lambda: probe(12),
    "probes with long names": lambda: probe(15_000),
    "probes with an endless name": lambda: probe(FRAME_BYTES // 3),
    "probes through unknown VMs": lambda: encode_call(
        "probe_through", unique(FRAME_BYTES)
    ),
    "queries": lambda: encode_call("query", json.dumps({"subject": "replicas"})),
    "queries of unknown rows": lambda: encode_call(
        "query", json.dumps({"subject": unique(FRAME_BYTES)})
    ),
    "queries of many values": lambda: encode_call(
        "query", "[" + "{}," * (FRAME_BYTES // 3) + "0]"
    ),
}


@pytest.mark.parametrize("name", FRAMES)
async def test_calls_on_the_peers_port_use_up_the_memory(fleet, name):
    frames = [FRAMES[name]() for _ in range(FRAMES_SENT)]
    parts = itertools.cycle(struct.pack("!i", len(item)) + item for item in frames)
    await run_crowd(fleet, PEERS_PORT, lambda: next(parts), FEW_CLIENTS)


def limited(size: int) -> LimitedReplica:
    """Return what messages say of a replica that doesn't exist."""
    return LimitedReplica(unique(size), 1, unique(size), 0)


def states(size: int) -> tuple[SpenderState, ...]:
    """Return the states of a daemon with workspaces that don't exist."""
    return tuple(
        SpenderState(unique(size), QuotaUnit.REQUESTS, 0.0, 0.0, 0.0)
        for _ in range(DATAGRAM_BYTES // (size + OVERHEAD_BYTES))
    )


def uses(size: int) -> tuple[WorkspaceUse, ...]:
    """Return what was used of workspaces that don't exist."""
    return tuple(
        WorkspaceUse(unique(size), QuotaUnit.REQUESTS, 1.0)
        for _ in range(DATAGRAM_BYTES // (size + OVERHEAD_BYTES))
    )


def entries(size: int) -> tuple[BlockEntry, ...]:
    """Return entries of a blocklist."""
    count = DATAGRAM_BYTES // (size + OVERHEAD_BYTES)
    return tuple(
        BlockEntry(unique(size), "part/1", 1, True, 0, 1.0, (), BY_CRASHES)
        for _ in range(count)
    )


def placement(size: int, service: str) -> PlacementRequest:
    """Return a request for a place that no daemon waits for."""
    counts = (100, 90, 10, 1)
    times_s = (0.1, 0.0, 10.0)
    zone = "gr-north-a"
    id_ = unique(size)
    return PlacementRequest(id_, service, 0, unique(size), zone, *counts, *times_s)


def lease(size: int) -> LeaseUsage:
    """Return a lease that was not granted."""
    return LeaseUsage(f"{unique(size)}-1", "decode-1", 100, 10, 1, 0.1, 0.1)


def renewal(size: int) -> LeaseRenewal:
    """Return a renewal of as many leases as a datagram holds."""
    count = DATAGRAM_BYTES // (size + OVERHEAD_BYTES)
    return LeaseRenewal(STREAM_SERVICE, 0, tuple(lease(size) for _ in range(count)))


def crash(size: int, service: str) -> CrashReport:
    """Return a report of a crash of a replica that doesn't exist."""
    parts = (unique(size),)
    return CrashReport(service, unique(size), 1, 0.1, unique(size), parts)


def quota_request(size: int) -> QuotaRequest:
    """Return a request for units of a workspace that doesn't exist."""
    sender = Sender(unique(size), unique(), 1)
    return QuotaRequest(sender, states(size)[0], *(1.0,) * 5)


DATAGRAMS: dict[str, Callable[[int], Message]] = {
    "placements": lambda size: placement(size, STREAM_SERVICE),
    "placements of unknown services": lambda size: placement(size, unique(size)),
    "renewals": renewal,
    "profiles": lambda size: ProfileUpdate(
        unique(size), 0, GenerationProfile(1.0, 1.0, 1.0, 1.0)
    ),
    "speeds": lambda size: SpeedUpdate(
        STREAM_SERVICE, 0, (ReplicaSpeed(unique(size), 1, 0.5, 0.5),)
    ),
    "permits": lambda size: PermitRequest(unique(), limited(size), 1.0),
    "limits": lambda size: LimitReport(limited(size), 1.0),
    "crashes": lambda size: crash(size, PLAIN_SERVICE),
    "crashes of unknown services": lambda size: crash(size, unique(size)),
    "queries of begins": lambda size: BeginQuery(unique(), unique(), (unique(size),)),
    "blocks": lambda size: BlockUpdate(entries(size)),
    "streams": lambda size: StreamBegun(STREAM_SERVICE, unique(size), unique(size)),
    "streams of unknown services": lambda size: StreamBegun(
        unique(size), unique(), "v1"
    ),
    "queries of versions": lambda size: VersionQuery(
        unique(), unique(size), unique(size)
    ),
    "quota requests": quota_request,
    "quota reports": lambda size: QuotaReport(
        Sender(unique(size), unique(), 1), states(size)
    ),
    "quota backups": lambda size: QuotaBackup(unique(size), uses(size)),
}


async def send_datagrams(
    sender: socket.socket, address: tuple[str, int], message: Callable[[], Message]
) -> None:
    """Send datagrams for a time, some at once."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SENDING_S):
            while True:
                for _ in range(DATAGRAMS_AT_ONCE):
                    sender.sendto(encode_message(message()), address)
                await asyncio.sleep(DATAGRAMS_PAUSE_S)


@pytest.mark.parametrize("size", NAME_BYTES)
@pytest.mark.parametrize("name", DATAGRAMS)
async def test_datagrams_that_name_what_does_not_exist_use_up_the_memory(
    fleet, name, size
):
    before = descriptors(fleet)
    address = (fleet.vm_host(1), PEERS_PORT)
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        await send_datagrams(sender, address, lambda: DATAGRAMS[name](size))
    await check_daemon(fleet, before)
