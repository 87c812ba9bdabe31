"""Routing daemons as processes: signals, store outages, replicas that drain."""

import asyncio
import itertools
import json
import signal
from dataclasses import dataclass

import openai
import pytest
import pytest_asyncio
from aiohttp import ClientError
from typer.testing import CliRunner

from demo.fleet import own_network
from demo.published_fleet import (
    GRACE_S,
    HOST_NAME,
    PLAIN_SERVICE,
    STREAM_SERVICE,
    STRIDE,
    PublishedFleet,
    configuration,
)
from marjoramstile.cli.main import FAILED_EXIT, app

EVENTS = 20
pytestmark = pytest.mark.asyncio(loop_scope="module")
_ids = itertools.count()


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """Three daemons in front of a few replicas, shared by this module's tests."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start()
        yield fleet


@dataclass(frozen=True)
class Answer:
    """A caller's answer; the status is 0 if none arrived completely."""

    id: str
    status: int
    body: bytes = b""


async def send_request(fleet, front: str, path: str, method="GET", **headers) -> Answer:
    """Send one request to a front."""
    request_id = f"q{next(_ids)}"
    sent = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Deadline-Ms": "10000"}
    try:
        async with fleet.session.request(
            method, f"http://{front}{path}", headers={**sent, **headers}
        ) as response:
            return Answer(request_id, response.status, await response.read())
    except (ClientError, OSError, TimeoutError):
        return Answer(request_id, 0)


async def stream(fleet, front: str, prefix: str = "/first/") -> Answer:
    """Request a generation of ``EVENTS`` events."""
    counts = {"X-Token-Count": f"3200,{11 * EVENTS}"}
    return await send_request(fleet, front, f"{prefix}stream/x", "POST", **counts)


def is_whole(answer: Answer) -> bool:
    """Return whether a stream has every event once, in order."""
    lines = answer.body.decode().splitlines()
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    return answer.status == 200 and ids == list(range(1, EVENTS + 1))


async def runs_of(fleet, request_id: str) -> int:
    """Return how often replicas ran a request."""
    names = [name for name in fleet.replicas if not name.startswith("prefill")]
    results = await asyncio.gather(*(fleet.runs(name) for name in names))
    return sum(item["runs"].get(request_id, 0) for item in results)


async def test_streams_and_calls_are_served_by_every_daemon(fleet):
    for number in (1, 2, 3):
        front = fleet.front(number)
        assert is_whole(await stream(fleet, front))
        for path in ("/first/look/x", "/first/book/x"):
            answer = await send_request(fleet, front, path)
            assert (answer.status, answer.body) == (200, answer.id.encode())
            assert await runs_of(fleet, answer.id) == 1


async def check_completions(fleet, number: int) -> None:
    """Check a whole and a streamed answer of a daemon's completions front."""
    options = {"model": STREAM_SERVICE, "prompt": "x" * 4000, "max_tokens": 110}
    events = options["max_tokens"] // STRIDE
    url = fleet.completions(number)
    async with openai.AsyncOpenAI(api_key="none", base_url=url) as client:
        answer = await client.completions.create(**options)
        assert answer.choices[0].text == answer.id * events
        assert await runs_of(fleet, answer.id) == 1
        chunks = [
            chunk
            async for chunk in await client.completions.create(**options, stream=True)
        ]
        assert "".join(c.choices[0].text for c in chunks) == chunks[0].id * events


async def test_completions_are_served_by_every_daemon(fleet):
    await asyncio.gather(*(check_completions(fleet, number) for number in (1, 2, 3)))


async def test_every_daemon_lists_all_addresses(fleet):
    expected = {fleet.front(number) for number in (1, 2, 3)}
    async with asyncio.timeout(10):
        for number in (1, 2, 3):
            while set(await fleet.addresses(number)) != expected:
                await asyncio.sleep(0.05)


async def test_a_configuration_is_in_force_on_every_daemon_within_2_s(fleet):
    await fleet.configure(configuration(2, "/second/"))
    await asyncio.sleep(2.0)
    for number in (1, 2, 3):
        front = fleet.front(number)
        assert (await send_request(fleet, front, "/second/look/x")).status == 200
        assert (await send_request(fleet, front, "/first/look/x")).status == 404
    await fleet.configure(configuration(3))
    await asyncio.sleep(2.0)


async def test_every_daemon_serves_through_a_store_outage(fleet):
    await fleet.fail_store(mode="silent")
    await asyncio.sleep(3.0)
    for number in (1, 2, 3):
        assert await fleet.is_ready(number)
        assert (
            await send_request(fleet, fleet.front(number), "/first/look/x")
        ).status == 200
    await fleet.fail_store()
    await asyncio.sleep(1.5)
    assert is_whole(await stream(fleet, fleet.front(1)))


async def test_a_daemon_refused_by_the_store_gets_the_configuration_from_its_peers(
    fleet,
):
    await fleet.fail_store(mode="busy", only=[fleet.vm_host(1)])
    await fleet.configure(configuration(4, "/third/"))
    await asyncio.sleep(3.0)
    assert (await send_request(fleet, fleet.front(1), "/third/look/x")).status == 200
    await fleet.fail_store()
    await fleet.configure(configuration(5))
    await asyncio.sleep(2.0)


async def test_a_draining_replica_gets_no_new_requests(fleet):
    fleet.launch_replica("service", 9, "pagkos-app", "")
    await fleet.wait_for_replicas(6)
    await asyncio.sleep(1.0)
    await fleet.drain_replica("service-9")
    await asyncio.sleep(2.0)
    before = sum((await fleet.runs("service-9"))["runs"].values())
    for _ in range(30):
        await send_request(fleet, fleet.front(2), "/first/look/x")
    assert sum((await fleet.runs("service-9"))["runs"].values()) == before


async def test_a_caller_disconnect_releases_the_replicas(fleet):
    tasks = [asyncio.create_task(stream(fleet, fleet.front(3))) for _ in range(4)]
    await asyncio.sleep(0.4)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(2.5)
    for name in ("decode-1", "decode-2"):
        held = await fleet.runs(name)
        assert (held["running"], held["tokens"]) == (0, 0)


async def test_a_planned_stop_under_load_cuts_off_no_answer(fleet):
    """Callers keep using the address of a stopping daemon for three TTLs."""
    answers: list[Answer] = []
    stopping = asyncio.Event()

    async def caller() -> None:
        while not stopping.is_set():
            answers.append(await stream(fleet, fleet.front(2)))
            answers.append(await send_request(fleet, fleet.front(2), "/first/book/x"))

    callers = [asyncio.create_task(caller()) for _ in range(4)]
    await asyncio.sleep(0.5)
    process = fleet.get("router-2").process
    process.send_signal(signal.SIGTERM)
    await fleet.wait_for_ready(2, ready=False)
    for number in (1, 3):
        assert fleet.front(2) not in await fleet.addresses(number)
    await asyncio.sleep(1.5)
    stopping.set()
    await asyncio.gather(*callers)
    assert process.wait(timeout=GRACE_S) == 0
    cut = [answer for answer in answers if answer.status == 0]
    whole = [answer for answer in answers if answer.status == 200]
    assert not cut
    assert len(whole) > 5
    fleet.launch_router(2)
    await fleet.wait_for_ready(2)


async def test_a_killed_daemon_is_not_listed_until_it_is_restarted(fleet):
    fleet.get("router-3").process.kill()
    async with asyncio.timeout(10):
        while fleet.front(3) in await fleet.addresses(1):
            await asyncio.sleep(0.05)
    assert is_whole(await stream(fleet, fleet.front(1)))
    fleet.launch_router(3)
    await fleet.wait_for_ready(3)
    async with asyncio.timeout(10):
        while fleet.front(3) not in await fleet.addresses(1):
            await asyncio.sleep(0.05)


async def test_streams_survive_a_killed_replica(fleet):
    running = [
        asyncio.create_task(stream(fleet, fleet.front(number)))
        for number in (1, 2, 3)
        for _ in range(2)
    ]
    await asyncio.sleep(0.5)
    fleet.get("decode-1").process.kill()
    answers = await asyncio.gather(*running)
    assert all(is_whole(answer) for answer in answers)
    fleet.launch_replica("decode", 1, "lexis-pool", "decode")
    await wait_until_used(fleet, "decode-1")


async def test_a_booking_with_a_lost_answer_is_not_retried(fleet):
    for name in ("service-1", "service-2"):
        await fleet.fail_replica(name, lose_answers=1)
    answers = [
        await send_request(fleet, fleet.front(1), "/first/book/x") for _ in range(6)
    ]
    statuses = [answer.status for answer in answers]
    assert statuses.count(502) == 2
    assert statuses.count(200) == 4
    for answer in answers:
        assert await runs_of(fleet, answer.id) == 1


async def test_a_replica_that_announces_its_leaving_gets_no_new_requests(fleet):
    """Its row in the store still has the state ready."""
    await fleet.fail_replica("service-1", leaving=True)
    before = sum((await fleet.runs("service-1"))["runs"].values())
    answers = [
        await send_request(fleet, fleet.front(number), "/first/look/x")
        for _ in range(12)
        for number in (1, 2, 3)
    ]
    assert all(answer.status == 200 for answer in answers)
    after = sum((await fleet.runs("service-1"))["runs"].values())
    assert after - before <= 3
    await restart_replica(fleet, "service", 1)


async def test_a_pause_that_a_replica_asked_for_is_respected(fleet):
    await fleet.fail_replica("service-2", pause_s=3.0)
    answers = [
        await send_request(fleet, fleet.front(number), "/first/look/x")
        for _ in range(25)
        for number in (1, 2, 3)
    ]
    assert all(answer.status == 200 for answer in answers)
    in_pause = (await fleet.runs("service-2"))["in_pause"]
    assert all(count <= 2 for count in in_pause.values())
    await restart_replica(fleet, "service", 2)


async def restart_replica(fleet, kind: str, number: int) -> None:
    """Restart a plain replica under its id and wait until all daemons use it."""
    name = f"{kind}-{number}"
    process = fleet.get(name).process
    process.kill()
    process.wait()
    fleet.launch_replica(kind, number, PLAIN_SERVICE, "")
    await wait_until_used(fleet, name)


async def wait_until_used(fleet, name: str) -> None:
    """Wait until a replica has started and all daemons send requests to it."""
    async with asyncio.timeout(60):
        while not await is_used_by_all(fleet, name):
            await asyncio.sleep(0.1)


async def is_used_by_all(fleet, name: str) -> bool:
    """Return whether a replica answers and all daemons send requests to it."""
    try:
        await fleet.runs(name)
        url = f"http://{fleet.vm_host(1)}:7675/v1/rows/replicas"
        async with fleet.session.get(url) as response:
            rows = (await response.json())["rows"]
    except (ClientError, OSError, TimeoutError):
        return False
    standings = [row["standing"] for row in rows if row["replica"] == name]
    return len(standings) == 3 and set(standings) == {"used"}


def run_statement(fleet, statement: str):
    """Run a statement with the operators' tool on the first daemon."""
    daemon = f"--daemon={fleet.vm_host(1)}:7675"
    return CliRunner().invoke(app, ["fleet", statement, daemon, "--json"])


async def test_operators_see_the_rows_of_every_daemon(fleet):
    done = await asyncio.to_thread(run_statement, fleet, "show daemons order by daemon")
    answer = json.loads(done.stdout)
    assert len(answer["rows"]) == 3
    assert answer["silent"] == []
    query = "show replicas where standing = used and stage = decode"
    rows = json.loads((await asyncio.to_thread(run_statement, fleet, query)).stdout)[
        "rows"
    ]
    assert len({row["daemon"] for row in rows}) == 3
    wrong = await asyncio.to_thread(run_statement, fleet, "show weather")
    assert wrong.exit_code == FAILED_EXIT
    assert "replicas" in wrong.stderr


async def test_the_metrics_can_be_scraped(fleet):
    url = f"http://{fleet.vm_host(1)}:7675/metrics"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    assert any(line.startswith("marjoramstile_requests_200_total") for line in lines)
    for line in lines:
        name, _, value = line.rpartition(" ")
        assert name.startswith("marjoramstile_")
        float(value)
