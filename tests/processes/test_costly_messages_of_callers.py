"""``marjoramstiled`` as a process, and whole messages that cost more than their bytes.

Each test guards against a daemon that ends, hangs, or takes more memory than a VM has
for it. Nothing here depends on the speed of the machine: time limits only end a test
whose daemon hangs.
"""

import asyncio
import contextlib
import itertools
import json
import struct
from collections.abc import Callable

import pytest
import pytest_asyncio

from demo.fleet import CALLERS_PORT, Fleet, own_network
from marjoramstile.peers.frames import encode_call
from marjoramstile.peers.peer_types import (
    WireProbe,
    WireProposal,
    WireReport,
    WireStrike,
    WireTableVersion,
)
from tests.processes.clients import HEADERS
from tests.processes.test_costly_messages import (
    FEW_CLIENTS,
    FRAME_BYTES,
    FRAMES_SENT,
    OVERHEAD_BYTES,
    send_for_a_time,
    unique,
)
from tests.processes.test_crowds_of_callers import (
    MAX_BODY_BYTES,
    check_answers,
    check_daemon,
    descriptors,
    head,
)

pytestmark = pytest.mark.asyncio(loop_scope="function")

# Streams that run at the same time; connections to their engines stay open.
STREAMS = 4
STREAM_TOKENS = 2000


@pytest_asyncio.fixture(loop_scope="function")
async def fleet():
    """Start one daemon and what it needs."""
    async with Fleet(own_network()) as fleet:
        await fleet.start_all((1,), prefills=1, decodes=1)
        await check_answers(fleet)
        yield fleet


def probe(size: int) -> bytes:
    """Return a probe that names what doesn't exist."""
    count = FRAME_BYTES // (size + OVERHEAD_BYTES) // 2
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
            blocklist="",
            positions=[WireTableVersion(table=unique(size), after=1)],
            links=1,
        ),
    )


def strike(size: int) -> bytes:
    """Return a call that counts a lost endpoint against a content."""
    return encode_call("strike", WireStrike(content=unique(size), endpoint=unique()))


def proposal(edits: str) -> bytes:
    """Return a proposal of a configuration."""
    wire = WireProposal(change_id=unique(), version=9, base_id=unique(), edits=edits)
    return encode_call("prepare", wire)


MANY_VALUES = "[" + "{}," * (FRAME_BYTES // 3) + "0]"
FRAMES: dict[str, Callable[[], bytes]] = {
    "probes with short names": lambda: probe(12),
    "probes with long names": lambda: probe(15_000),
    "strikes": lambda: strike(FRAME_BYTES),
    "clears": lambda: encode_call("clear", unique(FRAME_BYTES)),
    "proposals": lambda: proposal(MANY_VALUES),
    "queries of many values": lambda: encode_call("query", MANY_VALUES),
    "queries of unknown rows": lambda: encode_call(
        "query", json.dumps({"subject": unique(FRAME_BYTES)})
    ),
}


@pytest.mark.parametrize("name", FRAMES)
async def test_calls_on_the_peers_port_use_up_the_memory(fleet, name):
    before = descriptors(fleet)
    host, port = fleet.peers_address(1)
    frames = [FRAMES[name]() for _ in range(FRAMES_SENT)]
    parts = itertools.cycle(struct.pack("!i", len(item)) + item for item in frames)
    await asyncio.gather(
        *(send_for_a_time(host, port, lambda: next(parts)) for _ in range(FEW_CLIENTS))
    )
    await check_daemon(fleet, before)


def completion() -> bytes:
    """Return a streamed completion whose body has as many values as it can."""
    start = b'{"model":"lexis-pool","prompt":"x","max_tokens":%d,"stream":true,"a":['
    start %= STREAM_TOKENS
    count = (MAX_BODY_BYTES - len(start) - len(b"{}]}")) // len(b"{},")
    body = start + b"{}," * count + b"{}]}"
    key = b"Authorization: %s" % HEADERS["Authorization"].encode()
    length = b"Content-Length: %d" % len(body)
    return head("/v1/completions", key, length) + body


async def test_streams_keep_the_values_of_their_bodies(fleet):
    before = descriptors(fleet)
    host, _ = fleet.peers_address(1)
    request = completion()
    with contextlib.ExitStack() as stack:
        for _ in range(STREAMS):
            reader, writer = await asyncio.open_connection(host, CALLERS_PORT)
            stack.callback(writer.close)
            writer.write(request)
            async with asyncio.timeout(60):
                assert b" 200 " in await reader.readuntil(b"\r\n")
    await check_daemon(fleet, before)
