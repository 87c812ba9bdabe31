"""HTTP client of replicas; implements the routing core's ReplicaClient and StageClient.

Each request uses a connection of its own: a failed connect proves that the replica
has not seen the request, and bytes left over from one response can't be taken for
part of another.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from multidict import CIMultiDict
from yarl import URL

from marjoramstile.descriptors import is_shortage
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.json_fields import JSONObject, MalformedJSONError, parse_object
from marjoramstile.logs import get_logger
from marjoramstile.loops import connect
from marjoramstile.platform import headers as platform_headers
from marjoramstile.platform.answers import (
    body_chunks,
    read_body,
    read_reply,
    stream_answer,
)
from marjoramstile.platform.connections import HEAD_MAX_BYTES, ReplicaConnector
from marjoramstile.platform.wholeness import (
    AnswerFault,
    AnswerFaults,
    BrokenAnswerError,
    UnwholeAnswerError,
    fault_of,
    lost_answer,
)
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.notices import ReplicaNotices
from marjoramstile.routes.order_ports import StageOrder, StageReport
from marjoramstile.routes.ports import StreamAnswer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.requests import (
    AnswerLostError,
    Hold,
    KVHandle,
    MisdirectedError,
    NoDescriptorError,
    NotExecutedError,
    NotSentError,
    ReplicaError,
    Reply,
    RoutedRequest,
    SendOptions,
)
from marjoramstile.utils import MILLISECONDS_PER_S, loop_time

CONNECT_TIMEOUT_S = 0.35
# Timeout of control calls, which replicas answer at once: holds, KV handles, stage
# reports and orders.
CONTROL_TIMEOUT_S = 0.35
# Longest responses to prefills and control calls that are buffered.
CONTROL_ANSWER_MAX_BYTES = 262_144
MISDIRECTED = 421
UNAVAILABLE = 503
OK = 200
_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

logger = get_logger(__name__)


def create_replica_session(links: ReplicaLinks) -> ClientSession:
    """Return a session that sends requests and returns responses unmodified.

    ``links`` records connections that are not accepted soon.
    """
    session = ClientSession(
        connector=ReplicaConnector(links.record_failure, limit=0, force_close=True),
        auto_decompress=False,
        skip_auto_headers=_AUTOMATIC_HEADERS,
        # Connections bound whole heads. Replicas repeat the ids of requests.
        max_line_size=HEAD_MAX_BYTES,
        max_field_size=HEAD_MAX_BYTES,
    )
    # aiohttp resends GET, PUT and DELETE when a response is lost, even if the route
    # does not allow it, and has no public option against that.
    session._retry_connection = False
    return session


class HTTPReplicaClient:
    """Sends requests, reservations and orders to replicas."""

    def __init__(
        self,
        session: ClientSession,
        notices: ReplicaNotices,
        buffers: BufferBudget,
        links: ReplicaLinks,
        faults: AnswerFaults | None = None,
    ):
        """``notices`` records which replicas are leaving or asked for a pause.

        ``links`` records which connections fail, ``faults`` which answers aren't whole.
        """
        self._session = session
        self._notices = notices
        self._buffers = buffers
        self._links = links
        self._faults = faults or AnswerFaults()

    async def call(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> Reply:
        """Send a request and return the complete response."""
        async with self._exchange(
            replica, request, timeout_s, SendOptions()
        ) as response:
            return await read_reply(
                stream_answer(response, self._buffers), self._buffers
            )

    @asynccontextmanager
    async def stream(
        self,
        replica: Replica,
        request: RoutedRequest,
        timeout_s: float,
        options: SendOptions,
    ) -> AsyncIterator[StreamAnswer]:
        """Send a request and open its stream; the connection closes after the block."""
        async with self._exchange(replica, request, timeout_s, options) as response:
            yield stream_answer(response, self._buffers)

    async def read_reply(self, answer: StreamAnswer) -> Reply:
        """Return a whole answer; raise AnswerLostError if truncated or too long."""
        return await read_reply(answer, self._buffers)

    async def prefill(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> KVHandle:
        """Run a request's prefill and return the handle of the KV cache."""
        options = SendOptions(extra=((platform_headers.STAGE, str(Stage.PREFILL)),))
        async with self._exchange(replica, request, timeout_s, options) as response:
            body = await self._read_control_answer(response)
            if response.status != OK:
                raise AnswerLostError(f"prefill: status {response.status}")
            try:
                return KVHandle(replica.address, parse_object(body).text("kvHandle"))
            except MalformedJSONError as error:
                raise AnswerLostError("prefill: no kvHandle in the response") from error

    async def accepts_connections(self, replica: Replica) -> bool:
        """Return whether the replica accepts a connection; never raises."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await connect(replica.host, replica.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def started_at_ms(self, replica: Replica) -> int | None:
        """Return the start of the process at a replica's address, in Unix ms."""
        try:
            status, answer = await self._control(
                "GET", replica.address, "/v1/report", None, replica
            )
        except (NotSentError, AnswerLostError) as error:
            logger.info("report_lost", replica=replica.id, reason=repr(error))
            return None
        try:
            return answer.integer("born", default=None) if status == OK else None
        except MalformedJSONError as error:
            logger.info("report_unreadable", replica=replica.id, reason=str(error))
            return None

    async def acquire_hold(
        self, replica: Replica, tokens: int, ttl_s: float
    ) -> Hold | None:
        """Reserve a slot and memory; None if the replica has no capacity."""
        body = {"tokens": tokens, "ttlMs": round(ttl_s * MILLISECONDS_PER_S)}
        status, answer = await self._control(
            "POST", replica.address, "/v1/hold-take", body, replica
        )
        if status == MISDIRECTED:
            raise MisdirectedError(status)
        if status != OK:
            return None
        try:
            return Hold(answer.text("hold"), tokens)
        except MalformedJSONError as error:
            raise AnswerLostError("hold-take: no hold in the response") from error

    async def release_hold(self, replica: Replica, hold: Hold) -> None:
        """Release a reservation.

        Raises NotSentError if the replica asked for a pause; the hold then expires.
        """
        self._check_not_paused(replica.address)
        path = f"/v1/hold-drop/{hold.id}"
        await self._control("DELETE", replica.address, path, None, replica)

    async def release_handle(self, handle: KVHandle) -> None:
        """Release a KV cache that will not be fetched.

        Raises NotSentError if the replica asked for a pause; the cache then expires.
        """
        self._check_not_paused(handle.address)
        path = f"/v1/kv-handle/{handle.id}"
        await self._control("DELETE", handle.address, path, None, None)

    def _check_not_paused(self, address: str) -> None:
        """Raise NotSentError while a replica at ``address`` has asked for a pause."""
        if self._notices.is_paused_at(address):
            raise NotSentError("the replica wants nothing for now")

    def _record_response(self, replica: Replica, response: ClientResponse) -> None:
        """Record what the headers announce; a 421 comes from another replica."""
        self._links.record_reached()
        if response.status == MISDIRECTED:
            return
        if response.headers.get(platform_headers.LEAVING, "").strip() == "1":
            self._notices.record_leaving(replica)
        retry_after = response.headers.get(platform_headers.RETRY_AFTER)
        if response.status == UNAVAILABLE and retry_after is not None:
            self._notices.record_pause(replica, retry_after, loop_time())
        else:
            self._notices.record_answered(replica)

        self._record_limit(replica, response.headers.get(platform_headers.LIMIT))

    def _record_limit(self, replica: Replica, named: str | None) -> None:
        """Record the limit that a response names, if any."""
        if named is None:
            return
        limit_per_s = platform_headers.request_limit(named)
        if limit_per_s is None:
            logger.warning("limit_unreadable", replica=replica.id, named=named[:80])
            return
        self._notices.record_limit(replica, limit_per_s)

    def _record_no_limit(
        self, replica: Replica, response: ClientResponse, sent_at: float
    ) -> None:
        """Record that the response to a request that has run names no limit.

        Responses to control calls and to requests that have not run don't show that a
        limit has ended: not every part of a replica need name it.
        """
        if platform_headers.LIMIT not in response.headers:
            self._notices.record_no_limit(replica, sent_at)

    async def stage_report(self, replica: Replica) -> StageReport:
        """Fetch a replica's report on its stage."""
        status, answer = await self._control(
            "GET", replica.address, "/v1/report", None, replica
        )
        if status != OK:
            raise NotExecutedError(status)
        try:
            return StageReport(
                stage=Stage(answer.text("stage")),
                busy=answer.flag("busy"),
                orders=answer.integer("sequence"),
            )
        except ValueError as error:
            raise AnswerLostError("the stage report is malformed") from error

    async def order_stage(self, replica: Replica, order: StageOrder) -> int:
        """Send an order; return the HTTP status of the response."""
        body = {
            "op": "stage",
            "stage": str(order.stage),
            "holder": order.holder,
            "fencingToken": order.fencing_token,
            "expectedRevision": order.expected_orders,
        }
        status, _ = await self._control(
            "POST", replica.address, "/v1/order", body, replica
        )
        return status

    async def _control(
        self,
        method: str,
        address: str,
        path: str,
        body: dict[str, Any] | None,
        replica: Replica | None,
    ) -> tuple[int, JSONObject]:
        """Return the status and, if it is OK, the object of the response."""
        headers = (
            {} if replica is None else {platform_headers.EXPECT_INSTANCE: replica.id}
        )
        if replica is not None:
            self._notices.record_sent(replica, loop_time())
        timeout = ClientTimeout(total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        url = URL(f"http://{address}{path}", encoded=True)
        try:
            async with self._session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as response:
                if replica is not None:
                    self._record_response(replica, response)
                data = await self._read_control_answer(response)
                is_object = data and response.status == OK
                answer = parse_object(data) if is_object else JSONObject({})
                return response.status, answer
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            name = address if replica is None else replica.id
            raise self._control_failure(name, error) from error
        except BrokenAnswerError as error:
            self._faults.record(address if replica is None else replica.id, error.fault)
            raise

    def _control_failure(self, name: str, error: Exception) -> ReplicaError:
        """Record why a control call failed, and return its error."""
        fault = fault_of(error)
        if fault is not None:
            self._faults.record(name, fault)
        if isinstance(error, UnwholeAnswerError):
            return lost_answer(error)
        failure = _not_sent_error(error)
        self._record_link_failure(failure)
        return failure

    async def _read_control_answer(self, response: ClientResponse) -> bytes:
        """Return a whole body; raise AnswerLostError if truncated or too long."""
        chunks = body_chunks(response)
        body = await read_body(chunks, self._buffers, CONTROL_ANSWER_MAX_BYTES)
        return body.to_bytes()

    @asynccontextmanager
    async def _exchange(
        self,
        replica: Replica,
        request: RoutedRequest,
        timeout_s: float,
        options: SendOptions,
    ) -> AsyncIterator[ClientResponse]:
        """Send a request; yield the response of a replica that ran it."""
        sent_at = loop_time()
        with self._faults.watch(replica.id):
            response = await self._send(replica, request, timeout_s, options)
            try:
                self._record_response(replica, response)
                _check_response(response, request)
                self._record_no_limit(replica, response, sent_at)
                yield response
            finally:
                response.close()

    async def _send(
        self,
        replica: Replica,
        request: RoutedRequest,
        timeout_s: float,
        options: SendOptions,
    ) -> ClientResponse:
        if timeout_s <= 0:
            raise NotSentError("no time left")
        self._notices.record_sent(replica, loop_time())
        headers = _request_headers(replica, request, timeout_s, options)
        try:
            return await send_request(
                self._session, replica.address, request, headers, timeout_s
            )
        except NotSentError as error:
            self._record_link_failure(error)
            raise

    def _record_link_failure(self, error: NotSentError) -> None:
        """Record a failed connection; one that was not tried says nothing of links."""
        if not isinstance(error, NoDescriptorError):
            self._links.record_failure()


def _not_sent_error(error: Exception) -> NotSentError:
    kind = NoDescriptorError if is_shortage(error) else NotSentError
    return kind(repr(error))


async def send_request(
    session: ClientSession,
    address: str,
    request: RoutedRequest,
    headers: CIMultiDict[str],
    timeout_s: float,
) -> ClientResponse:
    """Send a request on a new connection; return the head of the response.

    Raises NotSentError if no connection was made, and AnswerLostError.
    """
    timeout = ClientTimeout(
        total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s)
    )
    try:
        return await session.request(
            request.method,
            URL(f"http://{address}{request.target}", encoded=True),
            headers=headers,
            data=request.body or None,
            timeout=timeout,
            allow_redirects=False,
        )
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise _not_sent_error(error) from error
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        raise lost_answer(error) from error


def _request_headers(
    replica: Replica, request: RoutedRequest, timeout_s: float, options: SendOptions
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[platform_headers.DEADLINE_MS] = str(
        max(1, int(timeout_s * MILLISECONDS_PER_S))
    )
    headers[platform_headers.EXPECT_INSTANCE] = replica.id
    if request.workspace is not None:
        headers[platform_headers.TENANT] = request.workspace.name
    if not request.hides_credentials:
        platform_headers.add_credentials(headers, request.credentials)
    if options.hold is not None:
        headers[platform_headers.KV_HOLD] = options.hold.id
    if options.source is not None:
        source = options.source
        headers[platform_headers.KV_SOURCE] = f"{source.address}/{source.id}"
    if options.resume_after is not None:
        headers[platform_headers.LAST_EVENT_ID] = str(options.resume_after)
    headers.extend(options.extra)
    return headers


def _check_response(response: ClientResponse, request: RoutedRequest) -> None:
    """Raise unless the response belongs to this request and it was executed."""
    if response.status == MISDIRECTED:
        raise MisdirectedError(response.status)
    if platform_headers.NOT_EXECUTED in response.headers:
        raise NotExecutedError(response.status)
    if response.headers.get(platform_headers.REQUEST_ID) != request.id:
        raise BrokenAnswerError(AnswerFault.OTHER_REQUEST)
