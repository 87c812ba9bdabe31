"""Answers that are no whole answer: replicas, carriers and the store on bare sockets.

A bare socket can send any status, end an answer while the request is being written, and
end it by a reset.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import threading
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import pytest_asyncio

from marjoramstile.fronts.bodies import BodyReader
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.platform import replicas
from marjoramstile.platform.carriers import HTTPCarrierClient
from marjoramstile.platform.front import FrontHandler
from marjoramstile.platform.replicas import HTTPReplicaClient, create_replica_session
from marjoramstile.platform.store import create_store_session
from marjoramstile.platform.wholeness import (
    AnswerFault,
    BrokenAnswerError,
    end_fault,
    head_fault,
)
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.carrying import CarriedSend, Carrier
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.notices import ReplicaNotices
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import (
    AnswerLostError,
    ReplicaError,
    SendOptions,
)
from marjoramstile.routes.table import (
    EntryLimits,
    RoutedService,
    RouteKind,
    RoutingTable,
)
from marjoramstile.utils import loop_time
from tests.fronts.support import FrontHarness
from tests.platform.support import HOST, replica, request, store_client
from tests.routes.support import PLAIN, RoutingCore, route

BUFFER_BYTES = 25_000_000
HEAD_READ_BYTES = 4096
CALL_TIMEOUT_S = 1.0
# Above the route's timeout; an answer that takes longer is none.
TEST_TIMEOUT_S = 5.0
BUSY_S = 0.2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
INVALID_STATUSES = ("000", "099", "101", "199", "600", "999")
SERVER_LINES = b"X-Request-Id: q1\r\nX-Server-Stamp: s\r\n"
UPLOAD_BYTES = (2_000_000, 200_000)
# How an early answer ends: by FIN, by FIN while the rest of the request is read, by a
# close of a socket that has unread bytes, by a reset.
ENDS = ("fin", "fin_and_read", "close", "reset")
FRAMINGS = {
    "none": (SERVER_LINES, b"x" * 300),
    "length": (SERVER_LINES + b"Content-Length: 900\r\n", b"x" * 300),
    "chunks": (
        SERVER_LINES + b"Transfer-Encoding: chunked\r\n",
        b"12c\r\n" + b"x" * 300 + b"\r\n",
    ),
}


def answer(status: str, lines: bytes, body: bytes) -> bytes:
    """Return the bytes of an answer."""
    return b"HTTP/1.1 %s X\r\n%s\r\n%s" % (status.encode(), lines, body)


def framed(status: str, body: bytes = b"ok") -> bytes:
    """Return an answer with a length."""
    return answer(status, SERVER_LINES + b"Content-Length: %d\r\n" % len(body), body)


def early(framing: str) -> bytes:
    """Return the part of an answer that breaks off, or that has no length."""
    return answer("200", *FRAMINGS[framing])


class EarlyReplica:
    """Answers each connection as soon as it has read a request's head."""

    def __init__(self, data: bytes, end: str):
        """``end`` is one of ENDS, or ``open`` if the connection stays open."""
        self._data = data
        self._end = end
        self._listener = socket.create_server((HOST, 0))
        self._listener.setblocking(False)
        self._open: list[socket.socket] = []
        self._tasks: list[asyncio.Task] = []
        self.requests = 0

    @property
    def replica(self) -> Replica:
        """The replica's row."""
        return replica(self._listener.getsockname()[1])

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[Replica]:
        """Serve until the block ends."""
        self._start(self._accept())
        yield self.replica
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in (*self._open, self._listener):
            connection.close()

    def _start(self, work) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            connection.setblocking(False)
            self._start(self._answer(connection))

    async def _answer(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._open.append(connection)
        head = b""
        while b"\r\n\r\n" not in head:
            data = await loop.sock_recv(connection, HEAD_READ_BYTES)
            if not data:
                return
            head += data
        self.requests += 1
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(connection, self._data)
            await self._end_connection(connection)

    async def _end_connection(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        if self._end.startswith("fin"):
            connection.shutdown(socket.SHUT_WR)
        if self._end == "fin_and_read":
            while await loop.sock_recv(connection, 65536):
                pass
        if self._end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if self._end in ("close", "reset"):
            self._open.remove(connection)
            connection.close()


@pytest.fixture(autouse=True)
def _patient_connects(monkeypatch):
    """Let a loop that is busy with other processes' load connect late."""
    monkeypatch.setattr(replicas, "CONNECT_TIMEOUT_S", CALL_TIMEOUT_S)


@pytest_asyncio.fixture
async def client():
    """Yield a client whose session is closed after the test."""
    links = ReplicaLinks()
    async with create_replica_session(links) as session:
        yield HTTPReplicaClient(
            session, ReplicaNotices(), BufferBudget(BUFFER_BYTES), links
        )


def upload(size: int):
    """Return a request with a body of a size."""
    return request(method="POST", body=b"u" * size)


async def read_stream(client, target: Replica, sent) -> bytes:
    """Return what a stream brings until its end."""
    async with client.stream(target, sent, CALL_TIMEOUT_S, SendOptions()) as opened:
        return b"".join([chunk async for chunk in opened.chunks])


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_is_passed_on_as_an_answer(client, status, method):
    """000, 099, 600 and 999 reached the caller; 101 and 199 were waited for."""
    early_replica = EarlyReplica(framed(status), "open")
    body = b"u" * 100 if method == "POST" else b""
    started = loop_time()
    async with early_replica.serve() as target:
        with pytest.raises(AnswerLostError):
            await client.call(target, request(method=method, body=body), 4.0)
        with pytest.raises(AnswerLostError):
            await read_stream(client, target, request(method=method, body=body))
        with pytest.raises(AnswerLostError):
            await client.prefill(target, request(method=method, body=body), 4.0)
    assert loop_time() - started < 1.0


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_is_an_answer_to_a_control_call(client, status):
    body = b'{"hold": "h", "born": 1, "stage": "decode", "busy": false, "sequence": 1}'
    async with EarlyReplica(framed(status, body), "open").serve() as target:
        with pytest.raises(ReplicaError):
            await client.acquire_hold(target, 100, 1.0)
        with pytest.raises(ReplicaError):
            await client.stage_report(target)
        assert await client.started_at_ms(target) is None


@pytest.mark.parametrize("interim", ["100", "102", "103"])
async def test_an_interim_answer_is_taken_for_the_final_one(client, interim):
    data = b"HTTP/1.1 %s X\r\nLink: a\r\n\r\n" % interim.encode() + framed("200")
    async with EarlyReplica(data, "open").serve() as target:
        assert (await client.call(target, request(), 1.0)).body == b"ok"


async def test_an_offered_upgrade_makes_an_answer_invalid(client):
    """A server may name in any answer the protocols to which it could switch."""
    lines = SERVER_LINES + b"Upgrade: h2c\r\nConnection: Upgrade\r\nContent-Length: 2"
    data = answer("200", lines + b"\r\n", b"ok")
    async with EarlyReplica(data, "open").serve() as target:
        assert (await client.call(target, request(), 1.0)).body == b"ok"


@pytest.mark.parametrize("status", ["200", "299", "404", "599"])
async def test_a_whole_answer_is_refused(client, status):
    async with EarlyReplica(framed(status), "open").serve() as target:
        reply = await client.call(target, request(), 1.0)
    assert (reply.status, reply.body) == (int(status), b"ok")


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("size", UPLOAD_BYTES)
async def test_an_answer_that_ends_during_the_upload_is_whole(
    client, size, end, framing
):
    """A replica that gives up during an upload seemed to have answered it."""
    async with EarlyReplica(early(framing), end).serve() as target:
        with pytest.raises(AnswerLostError):
            await client.call(target, upload(size), CALL_TIMEOUT_S)
        with pytest.raises(AnswerLostError):
            await read_stream(client, target, upload(size))
        with pytest.raises(AnswerLostError):
            await client.prefill(target, upload(size), CALL_TIMEOUT_S)


@pytest.mark.parametrize("size", [0, 200_000, 2_000_000])
async def test_an_answer_without_length_to_a_whole_request_is_lost(client, size):
    data = early("none")

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(size)
        assert head
        writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    async with server:
        target = replica(server.sockets[0].getsockname()[1])
        for _ in range(5):
            reply = await client.call(target, upload(size), CALL_TIMEOUT_S)
            assert len(reply.body) == 300


async def test_an_early_answer_with_its_length_is_lost(client):
    """A replica may refuse an upload without reading it."""
    async with EarlyReplica(framed("413"), "fin").serve() as target:
        reply = await client.call(target, upload(2_000_000), CALL_TIMEOUT_S)
    assert (reply.status, reply.body) == (413, b"ok")


async def test_the_rest_of_an_upload_keeps_its_memory_after_the_answer(client):
    """A closed connection kept what the replica had not read, without end."""
    connector = client._session.connector
    async with EarlyReplica(framed("413"), "open").serve() as target:
        call = asyncio.create_task(client.call(target, upload(12_000_000), 4.0))
        transports = []
        while not call.done():
            transports += [
                protocol.transport for protocol in connector._acquired if protocol
            ]
            await asyncio.sleep(0)
        await call
        await asyncio.sleep(0.1)
        assert transports
        sizes = [item.get_write_buffer_size() for item in transports if item]
    assert not any(sizes)


@pytest.mark.parametrize(
    ("data", "end", "size", "fault"),
    [
        (framed("600"), "open", 0, AnswerFault.INVALID_STATUS),
        (framed("101"), "open", 0, AnswerFault.UPGRADE),
        (early("none"), "fin", 2_000_000, AnswerFault.ENDED_EARLY),
        (early("length"), "fin", 2_000_000, AnswerFault.ENDED_EARLY),
        (early("length"), "fin", 0, AnswerFault.BROKEN_OFF),
        (early("chunks"), "fin", 0, AnswerFault.BROKEN_OFF),
        (early("none"), "reset", 0, AnswerFault.RESET),
        (b"", "fin", 0, AnswerFault.NO_ANSWER),
        (framed("200").replace(b"q1", b"q2"), "open", 0, AnswerFault.OTHER_REQUEST),
        (b"no answer\r\n\r\n", "open", 0, AnswerFault.MALFORMED),
    ],
)
async def test_operators_do_not_see_which_replica_sends_what(
    client, data, end, size, fault
):
    metrics = Metrics()
    client._faults.count_with(metrics.count)
    async with EarlyReplica(data, end).serve() as target:
        with pytest.raises(BrokenAnswerError) as raised:
            await client.call(target, upload(size), CALL_TIMEOUT_S)
        assert raised.value.fault == fault
        assert metrics.value("answers_not_whole", f"i-1 {fault}") == 1
        with pytest.raises(ReplicaError):
            await client.acquire_hold(target, 100, 1.0)


async def test_an_invalid_answer_to_a_control_call_shows_lost_links(client):
    """The replica has accepted a connection; only its answer is wrong."""
    async with EarlyReplica(framed("600"), "open").serve() as target:
        with pytest.raises(BrokenAnswerError):
            await client.acquire_hold(target, 100, 1.0)
    assert not client._links._doubted.is_set()


@pytest.mark.parametrize(
    ("status", "lines", "fault"),
    [
        (100, {}, None),
        (103, {"Link": "a"}, None),
        (103, {"Content-Length": "2"}, AnswerFault.MALFORMED),
        (101, {}, AnswerFault.UPGRADE),
        (0, {}, AnswerFault.INVALID_STATUS),
        (99, {}, AnswerFault.INVALID_STATUS),
        (199, {}, AnswerFault.INVALID_STATUS),
        (200, {"Upgrade": "h2c"}, None),
        (599, {}, None),
        (600, {}, AnswerFault.INVALID_STATUS),
    ],
)
def test_a_head_is_judged_wrongly(status, lines, fault):
    assert head_fault(status, lines) == fault


@pytest.mark.parametrize(
    ("was_reset", "request_was_written", "fault"),
    [
        (False, True, None),
        (False, False, AnswerFault.ENDED_EARLY),
        (True, True, AnswerFault.RESET),
        (True, False, AnswerFault.RESET),
    ],
)
def test_an_end_is_judged_wrongly(was_reset, request_was_written, fault):
    assert end_fault(was_reset, request_was_written) == fault


CARRIED = CarriedSend("vm-1", 2, None)


async def carry(target: Replica, sent) -> bytes:
    """Return the body of a carrier's answer."""
    async with create_replica_session(ReplicaLinks()) as session:
        carriers = HTTPCarrierClient(session, BufferBudget(BUFFER_BYTES))
        carrier = Carrier("vm-2", target.address)
        async with carriers.send(carrier, sent, CALL_TIMEOUT_S, CARRIED) as opened:
            return (await carriers.read_reply(opened)).body


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_of_a_carrier_is_an_answer(status):
    async with EarlyReplica(framed(status), "open").serve() as target:
        with pytest.raises(AnswerLostError):
            await carry(target, request())


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("size", UPLOAD_BYTES)
async def test_a_carriers_answer_that_ends_during_the_upload_is_whole(size, end):
    async with EarlyReplica(early("none"), end).serve() as target:
        with pytest.raises(AnswerLostError):
            await carry(target, upload(size))


PAGE = b'{"rowVersion": 9, "rows": []}'


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_of_the_store_is_waited_for(status):
    """The store answered 101 and the call took all of its timeout."""
    started = loop_time()
    async with (
        EarlyReplica(framed(status, PAGE), "open").serve() as target,
        create_store_session() as session,
    ):
        store = store_client(session, target.address)
        assert (await store.read_table("t")).is_err()
    assert loop_time() - started < 0.5


@pytest.mark.parametrize("end", ["reset"])
async def test_an_answer_of_the_store_that_ends_by_a_reset_is_whole(end):
    """A page without a length that a reset has cut seemed to be the whole table."""
    data = answer("200", b"", PAGE)
    async with (
        EarlyReplica(data, end).serve() as target,
        create_store_session() as session,
    ):
        store = store_client(session, target.address)
        assert (await store.read_table("t")).is_err()


class FrontOverSockets(FrontHarness):
    """The callers' front over the HTTP client and one replica."""

    def __init__(self, client: HTTPReplicaClient, kind: RouteKind):
        super().__init__()
        self.buffers = BufferBudget(BUFFER_BYTES)
        self.bodies = BodyReader(self.buffers)
        self.core = RoutingCore(pool=client)
        self.table = RoutingTable(
            1,
            (route(kind, name="p", prefix="/plain/", timeout_s=CALL_TIMEOUT_S),),
            {PLAIN: RoutedService(PLAIN, None)},
            EntryLimits(3_000_000),
        )
        self.entry = self.core.dispatcher(lambda: self.table, self.metrics)


@asynccontextmanager
async def front(client, early_replica: EarlyReplica, kind: RouteKind):
    """Serve a front over one replica."""
    harness = FrontOverSockets(client, kind)
    handler = FrontHandler(harness.entry, harness.bodies).handle
    async with early_replica.serve() as target, harness.serve(handler):
        harness.core.directory.put(target)
        yield harness


def call_head(method: str, length: int) -> bytes:
    """Return the head of a caller's request."""
    lines = f"Host: H.example\r\nX-Request-Id: q1\r\nContent-Length: {length}\r\n"
    return f"{method} /plain/x HTTP/1.1\r\n{lines}Connection: close\r\n\r\n".encode()


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_a_caller_gets_an_invalid_status(client, status, method):
    early_replica = EarlyReplica(framed(status), "open")
    async with front(client, early_replica, RouteKind.NON_IDEMPOTENT) as harness:
        got = await harness.exchange(call_head(method, 0), TEST_TIMEOUT_S)
    assert got.startswith(b"HTTP/1.1 502 ")
    assert got.count(b"HTTP/1.1") == 1
    assert early_replica.requests == 1


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("size", UPLOAD_BYTES)
async def test_a_caller_gets_a_part_of_an_answer_as_a_whole_one(client, size, end):
    early_replica = EarlyReplica(early("none"), end)
    async with front(client, early_replica, RouteKind.NON_IDEMPOTENT) as harness:
        data = call_head("POST", size) + b"u" * size
        got = await harness.exchange(data, TEST_TIMEOUT_S)
    assert got.startswith(b"HTTP/1.1 502 ")
    assert early_replica.requests == 1


async def test_an_idempotent_call_is_not_repeated_after_an_invalid_answer(client):
    async with (
        front(client, EarlyReplica(framed("600"), "open"), RouteKind.IDEMPOTENT) as one,
        EarlyReplica(framed("200"), "open").serve() as sound,
    ):
        one.core.directory.put(dataclasses.replace(sound, id="i-2"))
        for _ in range(5):
            got = await one.exchange(call_head("POST", 0), TEST_TIMEOUT_S)
            assert got.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("end", ENDS)
async def test_a_stream_that_ends_during_the_upload_seems_complete(client, end):
    """The head has been passed on: the caller's connection ends without an end."""
    event = b"id: 1\ndata: a\n\n"
    early_replica = EarlyReplica(answer("200", SERVER_LINES, event), end)
    async with early_replica.serve() as target:
        received, error = await read_until_lost(client, target)
    assert received in (b"", event)
    assert isinstance(error, AnswerLostError)


async def read_until_lost(client, target: Replica):
    """Return what a stream brings until its error, and the error."""
    received = b""
    options = SendOptions()
    sent = upload(2_000_000)
    try:
        async with client.stream(target, sent, CALL_TIMEOUT_S, options) as opened:
            async for chunk in opened.chunks:
                received += chunk
    except ReplicaError as error:
        return received, error
    return received, None


def answer_in_thread(
    listener: socket.socket, data: bytes, taken: list[int], read_after_s: float | None
) -> None:
    """Answer one request after its head and end by FIN; read the rest later, if so."""
    connection, _ = listener.accept()
    with connection:
        head = connection.recv(HEAD_READ_BYTES)
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        taken.append(len(head))
        time.sleep(BUSY_S if read_after_s is None else read_after_s)
        with contextlib.suppress(ConnectionError):
            while read_after_s is not None and connection.recv(65536):
                pass


@pytest.mark.parametrize(
    ("size", "read_after_s"),
    [(2_000_000, 0.0), (2_000_000, None), (200_000, 0.02), (200_000, None)],
)
async def test_a_busy_daemon_takes_an_early_end_for_a_whole_answer(
    client, size, read_after_s
):
    """It looks at the connection when the replica has read the rest of the upload."""
    listener = socket.create_server((HOST, 0))
    taken: list[int] = []
    arguments = (listener, early("none"), taken, read_after_s)
    thread = threading.Thread(target=answer_in_thread, args=arguments)
    thread.start()
    target = replica(listener.getsockname()[1])
    call = asyncio.create_task(client.call(target, upload(size), CALL_TIMEOUT_S))
    while not taken:
        await asyncio.sleep(0)
    time.sleep(BUSY_S)
    with pytest.raises(AnswerLostError):
        await call
    thread.join()
    listener.close()
