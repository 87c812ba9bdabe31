"""SIGTERM, SIGKILL and SIGSTOP sent to daemons and engines."""

import asyncio
import signal
import time

import pytest
import pytest_asyncio

from demo.fleet import CALLERS_PORT, Fleet, own_network
from tests.processes.clients import (
    HEADERS,
    call,
    completion_body,
    stream,
    whole_text,
)

pytestmark = pytest.mark.asyncio(loop_scope="function")
DAEMONS = (1, 2, 3)
CALLERS = 6
# A request that crosses the end of its connection wasn't read.
LOSS_SLACK_S = 0.2
LOST_CROSSING = 3


@pytest_asyncio.fixture(loop_scope="function")
async def fleet():
    """A fleet for one test, which may kill its processes."""
    async with Fleet(own_network(), address_ttl_s=1.0, leave_margin_s=0.5) as fleet:
        await fleet.start_all(DAEMONS, prefills=2, decodes=2)
        yield fleet


async def engines_are_idle(fleet) -> bool:
    """Return whether no engine holds work."""
    for kind in ("prefill", "decode"):
        for number in (1, 2):
            counted = await fleet.control(fleet.engine_url(kind, number))
            if counted["work"]:
                return False
    return True


async def keep_calling(fleet, stopped: asyncio.Event) -> int:
    """Stream completions as a client that caches addresses for their TTL.

    Returns the number of completions answered.
    """
    loop = asyncio.get_running_loop()
    answered = 0
    addresses: list[str] = []
    expires_at = 0.0
    while not stopped.is_set():
        if loop.time() >= expires_at:
            answer = await call(fleet, 1, "GET", "/v1/addresses?data_centre=gr-north-b")
            addresses = answer.body["addresses"]
            expires_at = loop.time() + answer.body["ttl_s"]
        number = int(addresses[0].split(":")[0].rsplit(".", 1)[1])
        body = completion_body(20)
        assert await stream(fleet, number, body) == whole_text(body)
        answered += 1
    return answered


async def test_a_planned_stop_under_load_fails_no_request(fleet):
    stopped = asyncio.Event()
    callers = [
        asyncio.create_task(keep_calling(fleet, stopped)) for _ in range(CALLERS)
    ]
    long_body = completion_body(150)
    long_stream = asyncio.create_task(stream(fleet, 2, long_body))
    await asyncio.sleep(0.5)
    fleet.signal("vm-2", signal.SIGTERM)
    assert await fleet.wait_exit("vm-2") == 0
    stopped.set()
    answered = await asyncio.gather(*callers)
    assert min(answered) > 0
    assert await long_stream == whole_text(long_body)


async def test_engine_memory_of_a_killed_daemon_is_released(fleet):
    first_token = asyncio.Event()
    body = completion_body(5000)
    running = [
        asyncio.create_task(stream(fleet, 2, body, first_token.set)) for _ in range(4)
    ]
    await first_token.wait()
    fleet.signal("vm-2", signal.SIGKILL)
    await asyncio.gather(*running, return_exceptions=True)
    assert not await engines_are_idle(fleet)
    await fleet.wait_until(lambda: engines_are_idle(fleet))


async def test_a_caller_disconnect_ends_the_work_of_the_engines(fleet):
    first_token = asyncio.Event()
    body = completion_body(5000)
    running = asyncio.create_task(stream(fleet, 1, body, first_token.set))
    await first_token.wait()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    await fleet.wait_until(lambda: engines_are_idle(fleet))


async def test_streams_survive_a_killed_decode_engine(fleet):
    tokens = asyncio.Semaphore(0)
    body = completion_body(60, model="lexis-late")
    running = [
        asyncio.create_task(stream(fleet, number, body, tokens.release))
        for number in DAEMONS
        for _ in range(2)
    ]
    for _ in range(30):
        await tokens.acquire()
    fleet.signal("decode-1", signal.SIGKILL)
    answers = await asyncio.gather(*running)
    assert answers == [whole_text(body)] * len(running)


async def test_a_request_whose_daemon_is_suspended_never_runs_twice(fleet):
    await fleet.control(fleet.service_url(1), delay_s=1.0)
    headers = {**HEADERS, "Idempotency-Key": "once"}
    path = "/v1/services/pagkos-app/charge"
    first = asyncio.create_task(call(fleet, 2, "POST", path, headers=headers, json={}))

    async def executed() -> bool:
        counted = await fleet.control(fleet.service_url(1))
        return "once" in counted["executions"]

    await fleet.wait_until(executed)
    fleet.signal("vm-2", signal.SIGSTOP)
    second = await call(fleet, 1, "POST", path, headers=headers, json={})
    assert second.status == 409
    fleet.signal("vm-2", signal.SIGCONT)
    assert (await first).status == 200

    async def recorded() -> bool:
        answer = await call(fleet, 3, "POST", path, headers=headers, json={})
        return answer.status == 200

    await fleet.wait_until(recorded)
    counted = await fleet.control(fleet.service_url(1))
    assert counted["executions"]["once"] == 1


async def test_completions_survive_a_store_outage_with_a_killed_daemon(fleet):
    await fleet.control(fleet.platform_url, outage=True)
    fleet.signal("vm-3", signal.SIGKILL)
    body = completion_body(30, model="lexis-late")
    answers = await asyncio.gather(
        *(stream(fleet, number, body) for number in (1, 2) for _ in range(3))
    )
    assert answers == [whole_text(body)] * 6


async def keep_asking(host: str, kept: bool, ended: asyncio.Event, lost: list[float]):
    """Ask a daemon without a pause; add how long each unanswered request took."""
    writer = None
    while not ended.is_set():
        if writer is None:
            try:
                reader, writer = await asyncio.open_connection(host, CALLERS_PORT)
            except ConnectionError:
                await asyncio.sleep(0.01)
                continue
        began = time.monotonic()
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = await reader.readuntil(b"}")
        except (ConnectionError, asyncio.IncompleteReadError):
            lost.append(time.monotonic() - began)
            answer = b"connection: close"
        if not kept or b"connection: close" in answer:
            writer.close()
            writer = None
        await asyncio.sleep(0.002)
    if writer is not None:
        writer.close()


async def test_no_request_that_was_read_is_left_unanswered_as_a_daemon_ends(fleet):
    lost: list[float] = []
    ended = asyncio.Event()
    launched = fleet.get("vm-2")
    async with asyncio.TaskGroup() as callers:
        for number in range(40):
            callers.create_task(
                keep_asking(launched.host, number % 2 == 0, ended, lost)
            )
        await asyncio.sleep(0.5)
        fleet.signal("vm-2", signal.SIGTERM)
        while launched.process.poll() is None:
            await asyncio.sleep(0.01)
        ended.set()
    assert launched.process.returncode == 0
    assert [took_s for took_s in lost if took_s > LOSS_SLACK_S] == []
    assert len(lost) <= LOST_CROSSING
