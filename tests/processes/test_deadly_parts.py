"""Parts of prompts that crash replicas, in front of three daemons as processes."""

import asyncio
import itertools
import time

import pytest
import pytest_asyncio
from aiohttp import ClientError

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, STREAM_SERVICE, PublishedFleet

pytestmark = pytest.mark.asyncio(loop_scope="module")

DAEMONS = 3
DECODE = 4
DEADLY_PART = "dead01"
FIRST_PART = "f1f1"
# The rule: CONTACT_S after the fifth crash, three more requests may reach replicas.
CRASHES_KNOWN = 5
CONTACT_S = 3.0
REQUESTS_LATER = 3
DOWN_S = 1.5
LOAD_S = 12.0
DEADLY_PER_S = 4
SOUND_PER_S = 8
_ids = itertools.count()


@pytest_asyncio.fixture(loop_scope="module")
async def fleet():
    """Three daemons in front of replicas that a part of a prompt crashes."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=DAEMONS, decode=DECODE)
        yield fleet


class CrashingReplicas:
    """Restarts decode replicas some time after they have crashed."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.crashed_at: list[float] = []

    async def run(self) -> None:
        """Make all decode replicas crash on the part, until cancelled."""
        await asyncio.gather(*(self._run(n) for n in range(1, DECODE + 1)))

    async def _run(self, number: int) -> None:
        name = f"decode-{number}"
        await self._fleet.fail_replica(name, deadly_part=DEADLY_PART)
        while True:
            process = self._fleet.get(name).process
            while process.poll() is None:
                await asyncio.sleep(0.02)
            self.crashed_at.append(time.monotonic())
            await asyncio.sleep(DOWN_S)
            self._fleet.launch_replica(
                "decode", number, STREAM_SERVICE, "decode", deadly_part=DEADLY_PART
            )


async def generate(fleet, kind: str, parts: list[str]) -> tuple[str, float, int]:
    """Send a generation to one of the daemons; return its id, time and status."""
    number = next(_ids)
    request_id = f"{kind}-{number}"
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Token-Count": "400,33",
        "X-Prefix-Hash": ",".join(f"{part}:100" for part in [*parts, f"{number:x}"]),
    }
    url = f"http://{fleet.front(1 + number % DAEMONS)}/first/stream/{number}"
    sent_at = time.monotonic()
    try:
        async with fleet.session.post(url, headers=headers, data=b"x") as response:
            await response.read()
            return request_id, sent_at, response.status
    except ClientError:
        return request_id, sent_at, 0


async def load(fleet, seconds: float):
    """Send deadly and sound generations at constant rates; return their outcomes."""
    tasks = []
    until = time.monotonic() + seconds
    period = 0
    while time.monotonic() < until:
        for per_s, kind, parts in (
            (DEADLY_PER_S, "deadly", [FIRST_PART, DEADLY_PART]),
            (SOUND_PER_S, "sound", [FIRST_PART, f"{period:x}"]),
        ):
            if period % (16 // per_s) == 0:
                tasks.append(asyncio.create_task(generate(fleet, kind, parts)))
        period += 1
        await asyncio.sleep(1 / 16)
    return await asyncio.gather(*tasks)


def runs(fleet) -> list[str]:
    """Return the ids of all requests that decode replicas began to run."""
    logs = [fleet.get(f"decode-{n}").log.read_text() for n in range(1, DECODE + 1)]
    lines = itertools.chain.from_iterable(log.splitlines() for log in logs)
    return [line.removeprefix("run ") for line in lines if line.startswith("run ")]


async def test_requests_that_share_a_deadly_part_crash_replica_after_replica(fleet):
    replicas = CrashingReplicas(fleet)
    crashing = asyncio.create_task(replicas.run())
    outcomes = await load(fleet, LOAD_S)
    crashing.cancel()
    ran = set(runs(fleet))
    known_at = (sorted(replicas.crashed_at) + [float("inf")] * CRASHES_KNOWN)[
        CRASHES_KNOWN - 1
    ] + CONTACT_S
    later = [id_ for id_, at, _ in outcomes if "deadly" in id_ and at > known_at]
    crashes = len(replicas.crashed_at)
    assert len(ran & set(later)) <= REQUESTS_LATER, f"{crashes} crashes"
    assert crashes <= CRASHES_KNOWN + REQUESTS_LATER
    sound = [status for id_, at, status in outcomes if "sound" in id_]
    assert sound[-len(sound) // 2 :].count(200) >= 0.5 * len(sound) / 2
