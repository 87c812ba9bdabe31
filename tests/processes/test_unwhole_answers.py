"""Daemons as processes, beside replicas whose answers are no whole answers."""

import asyncio

import pytest
import pytest_asyncio
from aiohttp import ClientError

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, PublishedFleet
from tests.processes.test_published import is_whole, send_request, stream

REPLICAS = ("decode-1", "prefill-1", "service-1")
UPLOAD_BYTES = 2_000_000
HEAD = "X-Request-Id: ID\r\nX-Server-Stamp: s\r\n"
LENGTH = HEAD + "Content-Length: 2\r\n\r\nok"
# A part of a stream, and of any other answer.
PART = HEAD + "\r\n" + "id: 1\ndata: a\n\n" * 20
ANSWERS = {
    "600": f"HTTP/1.1 600 X\r\n{LENGTH}",
    "099": f"HTTP/1.1 099 X\r\n{LENGTH}",
    "101": f"HTTP/1.1 101 X\r\n{LENGTH}",
    "199": f"HTTP/1.1 199 X\r\n{LENGTH}",
}
# What callers may get: a whole answer of another replica, or a refusal or an error.
STATUSES = {200, 502, 503}
SENDS = 12
pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet():
    """One daemon in front of a few replicas."""
    async with PublishedFleet(own_network()) as fleet:
        async with asyncio.timeout(60):
            await fleet.start(daemons=1, decode=1)
        yield fleet


async def counted(fleet) -> list[str]:
    """Return the lines of the metric of answers that are not whole."""
    url = f"http://{fleet.vm_host(1)}:7675/metrics"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    return [line for line in lines if "answers_not_whole" in line]


async def upload(fleet, number: int) -> tuple[int, bytes]:
    """Book with a long body; return the status, 0 if no whole answer came."""
    headers = {"Host": HOST_NAME, "X-Request-Id": f"u{number}", "X-Deadline-Ms": "4000"}
    url = f"http://{fleet.front(1)}/first/book/x"
    try:
        async with fleet.session.post(
            url, data=b"u" * UPLOAD_BYTES, headers=headers
        ) as response:
            return response.status, await response.read()
    except (ClientError, OSError):
        return 0, b""


@pytest.mark.parametrize("status", ANSWERS)
@pytest.mark.parametrize("name", REPLICAS)
async def test_an_invalid_answer_of_a_replica_reaches_a_caller(fleet, name, status):
    """Callers got 0, 99, 600 and 999 as statuses, or nothing."""
    await fleet.fail_replica(name, raw_answers=2, raw_answer=ANSWERS[status])
    if name == "service-1":
        sending = [
            send_request(fleet, fleet.front(1), "/first/book/x") for _ in range(SENDS)
        ]
    else:
        sending = [stream(fleet, fleet.front(1)) for _ in range(3)]
    async with asyncio.timeout(10):
        answers = await asyncio.gather(*sending)
    await fleet.fail_replica(name)
    assert {answer.status for answer in answers} <= STATUSES
    assert any(f"{name} " in line for line in await counted(fleet))
    assert all(answer.body != b"ok" for answer in answers)
    async with asyncio.timeout(10):
        while not is_whole(await stream(fleet, fleet.front(1))):
            await asyncio.sleep(0.2)


async def test_a_part_of_an_answer_to_an_upload_reaches_a_caller_as_a_whole(fleet):
    """The replica answers without a length and ends while the upload is written."""
    text = f"HTTP/1.1 200 OK\r\n{PART}"
    await fleet.fail_replica("service-1", raw_answers=4, raw_answer=text)
    async with asyncio.timeout(10):
        answers = await asyncio.gather(*(upload(fleet, n) for n in range(SENDS)))
    await fleet.fail_replica("service-1")
    assert not any(body.startswith(b"id: 1") for _, body in answers)
    assert {status for status, _ in answers} <= STATUSES
    lines = await counted(fleet)
    assert any("ended_before" in line for line in lines), (lines, answers)
