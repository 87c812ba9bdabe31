"""Daemons as processes, beside rows of another writer that can't be read."""

import asyncio
import base64
import json

import pytest
import pytest_asyncio

from demo.fleet import own_network
from demo.published_fleet import PLAIN_SERVICE, PublishedFleet
from tests.processes.test_published import is_whole, send_request, stream

DRAIN_S = 2.0
DAEMONS = (1, 2, 3)
SOUND = {
    "service": PLAIN_SERVICE,
    "address": "10.9.9.9:7600",
    "zone": "gr-north-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}


def changed(**fields) -> bytes:
    """Return a replica's entry with some fields changed."""
    return json.dumps({**SOUND, **fields}).encode()


ENTRIES = {
    "nested": b"[" * 10_000 + b"]" * 10_000,
    "infinite slots": changed(slots="odd").replace(b'"odd"', b"1e999"),
    "infinite start": changed(born="odd").replace(b'"odd"', b"-1e999"),
    "huge number": changed(slots="odd").replace(b'"odd"', b"9" * 5_000),
    "port": changed(address="10.9.9.9:70000"),
    "host": changed(address="no.such.host:7600"),
    "types": changed(zone=5, version=[], sequence="x"),
    "encoding": b"\xff\xfe\x00",
    "empty": b"",
    "bare number": b"1e999",
}
pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """Three daemons in front of a few replicas."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start()
        yield fleet


async def write_entries(fleet, entries: dict[str, bytes]) -> None:
    """Write rows among the replicas' as another writer."""
    rows = [
        {"table": "servers", "key": key, "value": base64.b64encode(value).decode()}
        for key, value in entries.items()
    ]
    await fleet._control("rows", {"rows": rows})


async def runs_at(fleet, name: str) -> int:
    """Return how many requests a replica has run."""
    return sum((await fleet.runs(name))["runs"].values())


async def test_one_entry_that_can_not_be_read_ends_the_following_of_replicas(fleet):
    """Replicas that leave kept their requests, and new ones got none, for good."""
    await write_entries(fleet, ENTRIES)
    await asyncio.sleep(1.0)
    fleet.launch_replica("service", 8, PLAIN_SERVICE, "")
    await fleet.wait_for_replicas(6 + len(ENTRIES))
    await fleet.drain_replica("service-1")
    await asyncio.sleep(DRAIN_S)
    before = await runs_at(fleet, "service-1")
    for _ in range(20):
        for number in DAEMONS:
            answer = await send_request(fleet, fleet.front(number), "/first/look/x")
            assert answer.status == 200
    assert await runs_at(fleet, "service-1") == before
    assert await runs_at(fleet, "service-8") > 0
    assert is_whole(await stream(fleet, fleet.front(1)))


async def test_a_daemon_that_starts_beside_such_entries_serves(fleet):
    process = fleet.get("router-2").process
    process.kill()
    process.wait()
    fleet.launch_router(2)
    async with asyncio.timeout(10):
        await fleet.wait_for_ready(2)
    assert is_whole(await stream(fleet, fleet.front(2)))
    answer = await send_request(fleet, fleet.front(2), "/first/book/x")
    assert answer.status == 200


async def test_such_entries_are_counted(fleet):
    url = f"http://{fleet.vm_host(1)}:7675/metrics"
    async with fleet.session.get(url) as response:
        text = await response.text()
    line = next(line for line in text.splitlines() if "rows_unreadable" in line)
    assert int(line.rpartition(" ")[2]) >= len(ENTRIES)
    assert "task_failures" not in text
