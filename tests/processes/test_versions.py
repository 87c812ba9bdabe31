"""Streams over two software versions, and a kill of all daemons, as processes."""

import asyncio
import itertools

import pytest
import pytest_asyncio
from aiohttp import ClientError

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, STREAM_SERVICE, PublishedFleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

DAEMONS = 3
STREAMS = 24
TOKENS = 2200
_ids = itertools.count()


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    """Three daemons; two decode replicas of v1 and two of v2."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=DAEMONS, decode=2)
            for number in (3, 4):
                fleet.launch_replica(
                    "decode", number, STREAM_SERVICE, "decode", version="v2"
                )
            await fleet.wait_for_replicas(7)
            await asyncio.sleep(2.0)
        yield fleet


async def attempt(fleet, target: int, resumes: str = "", last: int = 0):
    """Send a client's attempt; return its id, its status and the last event's id."""
    number = next(_ids)
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": f"attempt-{number}",
        "X-Token-Count": f"400,{TOKENS}",
    }
    if resumes:
        headers |= {"Resumes": resumes, "Last-Event-Id": str(last)}
    url = f"http://{fleet.front(1 + number % DAEMONS)}/first/stream/{target}"
    status, data = 0, b""
    try:
        async with fleet.session.post(url, headers=headers, data=b"x") as response:
            status = response.status
            async for chunk in response.content.iter_any():
                data += chunk
    except ClientError:
        pass
    ids = [int(line[4:]) for line in data.decode().splitlines() if line[:4] == "id: "]
    return headers["X-Request-Id"], status, ids[-1] if status == 200 and ids else last


def versions_by_id(fleet) -> dict[str, set[str]]:
    """Return the versions of the replicas that ran each attempt."""
    found: dict[str, set[str]] = {}
    for number in range(1, 5):
        for line in fleet.get(f"decode-{number}").log.read_text().splitlines():
            if line.startswith("run "):
                version = "v1" if number <= 2 else "v2"
                found.setdefault(line.removeprefix("run "), set()).add(version)
    return found


async def kill_all(fleet) -> None:
    """Kill all daemons at once, and start them again."""
    for number in range(1, DAEMONS + 1):
        fleet.get(f"router-{number}").process.kill()
    await asyncio.sleep(0.3)
    for number in range(1, DAEMONS + 1):
        fleet.launch_router(number)
    for number in range(1, DAEMONS + 1):
        await fleet.wait_for_ready(number)


async def test_streams_go_on_at_another_version_after_a_kill_of_all_daemons(fleet):
    first = [asyncio.create_task(attempt(fleet, n)) for n in range(STREAMS)]
    await asyncio.sleep(1.5)
    await kill_all(fleet)
    broken = [
        (target, *item)
        for target, item in enumerate(await asyncio.gather(*first))
        if item[2] > 0
    ]
    assert len(broken) >= STREAMS / 2
    taken_up = await asyncio.gather(
        *(attempt(fleet, target, id_, last) for target, id_, _, last in broken)
    )
    versions = versions_by_id(fleet)
    joined = [
        (versions[began[1]], versions[now[0]])
        for began, now in zip(broken, taken_up, strict=True)
        if now[0] in versions
    ]
    assert all(began == now for began, now in joined)
    assert all(now[1] in (200, 503) for now in taken_up)
    assert len(joined) >= len(broken) / 2
