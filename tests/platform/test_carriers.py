"""Requests between VMs: what is sent, and what a carrier's answers mean."""

import asyncio
import socket

import pytest
import pytest_asyncio

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.platform import headers as platform_headers
from marjoramstile.platform.carriers import HTTPCarrierClient
from marjoramstile.platform.replicas import create_replica_session
from marjoramstile.results import ResultCode
from marjoramstile.routes.carrying import CarriedSend, Carrier
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotSentError,
    OutcomeUnknownError,
    RequestRefusedError,
)
from tests.platform.support import HOST, raw_replica, request, reset_connection

CARRIED = CarriedSend("vm-1", 2, None)
STAMPED = b"X-Request-Id: q1\r\nX-Server-Stamp: s\r\n"


@pytest_asyncio.fixture
async def client():
    """Yield a client whose session is closed after the test."""
    async with create_replica_session(ReplicaLinks()) as session:
        yield HTTPCarrierClient(session, BufferBudget(1_000_000))


def answering(status: int, headers: bytes, body: bytes = b"body", length: int = 0):
    """Return a carrier's script that gives one answer."""

    async def script(head, writer):
        count = length or len(body)
        lines = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, count)
        writer.write(lines + headers + b"\r\n" + body)

    return script


async def send(client, script, carried: CarriedSend = CARRIED):
    """Send a request to a carrier; return the status, the headers and the body."""
    async with raw_replica(script) as peer:
        carrier = Carrier("vm-2", peer.address)
        async with client.send(carrier, request(), 2.0, carried) as answer:
            reply = await client.read_reply(answer)
            return reply.status, reply.headers, reply.body


@pytest.mark.parametrize("status", [200, 404, 500, 503])
async def test_an_answer_of_a_replica_is_taken_for_the_carriers_own(client, status):
    answer = await send(client, answering(status, STAMPED))
    assert answer[0] == status
    assert ("X-Server-Stamp", "s") in answer[1]
    assert answer[2] == b"body"


@pytest.mark.parametrize(
    ("status", "code", "expected"),
    [
        (503, ResultCode.LEAVING, NotSentError),
        (503, ResultCode.FENCED, NotSentError),
        (503, ResultCode.NO_ENDPOINT, NotSentError),
        (503, ResultCode.OVERLOADED, RequestRefusedError),
        (503, ResultCode.QUARANTINED, RequestRefusedError),
        (502, ResultCode.OUTCOME_UNKNOWN, OutcomeUnknownError),
        (504, ResultCode.OUTCOME_UNKNOWN, OutcomeUnknownError),
        (413, ResultCode.BAD_BODY, NotSentError),
        (503, 99, AnswerLostError),
    ],
)
async def test_a_failure_of_the_carrier_is_taken_for_an_answer(
    client, status, code, expected
):
    headers = b"Marjoramstile-Result: %d\r\nRetry-After: 1.5\r\n" % int(code)
    with pytest.raises(expected) as raised:
        await send(client, answering(status, headers))
    if expected is RequestRefusedError:
        assert raised.value.retry_after_s == 1.5
    if expected is OutcomeUnknownError:
        assert raised.value.timed_out == (status == 504)


async def test_an_answer_to_another_request_is_taken(client):
    with pytest.raises(AnswerLostError):
        await send(client, answering(200, b"X-Request-Id: q2\r\n"))


async def test_an_answer_that_breaks_off_is_taken_for_a_whole_one(client):
    with pytest.raises(AnswerLostError):
        await send(client, answering(200, STAMPED, length=99))


async def test_a_carrier_that_resets_is_said_not_to_have_run_the_request(client):
    async def script(head, writer):
        reset_connection(writer)

    with pytest.raises(AnswerLostError):
        await send(client, script)


async def test_a_carrier_without_a_listener_is_said_to_have_run_the_request(client):
    with socket.create_server((HOST, 0)) as unused:
        port = unused.getsockname()[1]
    carrier = Carrier("vm-2", f"{HOST}:{port}")
    with pytest.raises(NotSentError):
        async with client.send(carrier, request(), 1.0, CARRIED):
            pass


async def test_what_the_request_needs_is_not_sent(client):
    heads = []

    async def script(head, writer):
        heads.append(head.decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    await send(client, script)
    await send(client, script, CarriedSend("vm-1", 1, 7))
    assert "Marjoramstile-Carried-For: vm-1" in heads[0]
    assert "Marjoramstile-Carried-Runs: 2" in heads[0]
    assert "X-Request-Id: q1" in heads[0]
    assert "X-Deadline-Ms: 2000" in heads[0]
    assert "X-Expect-Instance" not in heads[0]
    assert "Last-Event-Id" not in heads[0]
    assert "Last-Event-Id: 7" in heads[1]
    assert "Resumes: q1" in heads[1]


async def test_a_closed_block_leaves_the_carrier_at_work(client):
    closed = asyncio.Event()

    async def script(head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\nx\r\n")
            await asyncio.sleep(0.01)
        closed.set()

    async with raw_replica(script) as peer:
        carrier = Carrier("vm-2", peer.address)
        async with client.send(carrier, request(), 5.0, CARRIED):
            pass
        async with asyncio.timeout(1.0):
            await closed.wait()


@pytest.mark.parametrize(
    ("headers", "runs"),
    [
        ((), None),
        ((("Marjoramstile-Carried-Runs", "2"),), None),
        ((("Marjoramstile-Carried-For", "vm"),), 1),
        (
            (
                ("marjoramstile-carried-for", "vm"),
                ("marjoramstile-carried-runs", "2"),
            ),
            2,
        ),
        (
            (
                ("Marjoramstile-Carried-For", "vm"),
                ("Marjoramstile-Carried-Runs", "-1"),
            ),
            1,
        ),
    ],
)
def test_runs_of_a_carried_request(headers, runs):
    assert platform_headers.carried_runs(headers) == runs


def test_headers_between_vms_reach_replicas_or_come_from_them():
    sent = (("Marjoramstile-Carried-For", "vm"), ("Marjoramstile-Carried-Runs", "1"))
    assert platform_headers.forwarded_request_headers(sent) == ()
    answered = (("Marjoramstile-Result", "2004"), ("A", "b"))
    assert platform_headers.forwarded_response_headers(answered) == (("A", "b"),)


async def test_a_replica_that_falls_silent_is_cut_off_by_the_kernel(client):
    """TCP_USER_TIMEOUT stays unset: each call has timeouts of its own."""
    async with raw_replica(answering(200, STAMPED, length=99)) as peer:
        carrier = Carrier("vm-2", peer.address)
        async with client.send(carrier, request(), 2.0, CARRIED):
            connector = client._session.connector
            protocol = next(iter(connector._acquired))
            connection = protocol.transport.get_extra_info("socket")
            option = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert option == 0
