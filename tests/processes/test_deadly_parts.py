"""Parts of prompts that crash replicas, in front of three daemons as processes."""

import asyncio
import itertools
import time

import pytest
import pytest_asyncio
from aiohttp import ClientError
from typer.testing import CliRunner

from demo.fleet import own_network
from demo.published_fleet import (
    HOST_NAME,
    METRICS_PORT,
    STREAM_SERVICE,
    PublishedFleet,
)
from marjoramstile.cli.explain import explain
from marjoramstile.cli.main import app

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


async def operate(fleet, *arguments: str) -> None:
    """Run the operators' tool against the first daemon."""
    option = f"--daemon={fleet.vm_host(1)}:{METRICS_PORT}"
    done = await asyncio.to_thread(CliRunner().invoke, app, [*arguments, option])
    assert done.exit_code == 0, done.output


async def refusals(fleet) -> list[dict]:
    """Send a generation with the part to each daemon; return the bodies of refusals."""
    bodies = []
    for number in range(1, DAEMONS + 1):
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"refused-{number}",
            "X-Token-Count": "400,33",
            "X-Prefix-Hash": f"{FIRST_PART}:100,{DEADLY_PART}:100,{number}:200",
        }
        url = f"http://{fleet.front(number)}/first/stream/{number}"
        async with fleet.session.post(url, headers=headers, data=b"x") as response:
            if response.status == 503:
                assert float(response.headers["Retry-After"]) > 0
                bodies.append(await response.json())
            else:
                await response.read()
    return bodies


async def test_a_block_by_operators_is_not_in_force_or_not_lifted_everywhere(fleet):
    key = f"part/{DEADLY_PART}"
    await operate(fleet, "block", STREAM_SERVICE, key)
    await asyncio.sleep(CONTACT_S)
    bodies = await refusals(fleet)
    assert [body["error"]["code"] for body in bodies] == [2005] * DAEMONS
    assert {body["error"]["ran"] for body in bodies} == {"not run"}
    log = fleet.get("router-2").log
    steps = explain("refused-2", [log]).steps
    assert any(f"key={key} by=operator" in step.text for step in steps)
    fleet.get("router-2").process.kill()
    fleet.launch_router(2)
    await fleet.wait_for_ready(2)
    await asyncio.sleep(CONTACT_S)
    assert len(await refusals(fleet)) == DAEMONS
    await operate(fleet, "unblock", STREAM_SERVICE, key)
    await asyncio.sleep(CONTACT_S)
    assert await refusals(fleet) == []
