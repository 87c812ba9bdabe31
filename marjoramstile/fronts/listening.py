"""Server connections with a timeout for receiving the head of a request.

aiohttp limits the size of a head and the idle time between requests, but not the time
that a head takes from its first bytes on. It doesn't tell why a connection ended.
"""

import asyncio
import select
from collections.abc import Callable

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from marjoramstile.fronts.closing import (
    CUT_SHORT,
    ClosedConnection,
    CloseReason,
    ClosingReport,
)
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.logs import get_logger
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.requests import SendRecord

# Longer than any caller of the routes waits for its response.
HEAD_TIMEOUT_S = 30.0
HEAD_END = b"\r\n\r\n"
SERVER_ERROR = 500
# Time for the first request on a connection that was opened as its listener closed.
FIRST_REQUEST_WAIT_S = 0.1
IDLE_CHECK_S = 0.005
UNAVAILABLE = 503
# Room for a connection may be made at any moment.
RETRY_AFTER_REFUSED_S = 1

logger = get_logger(__name__)


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for incomplete request heads.

    It reports its end to its server, with the first reason that was noted.
    """

    def __init__(
        self,
        server: "CallerServer",
        *,
        limit: ConnectionLimit | None = None,
        **options,
    ):
        super().__init__(server, **options)
        self._server = server
        self._limit = limit
        self._body = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._reason: CloseReason | None = None
        # The request whose answer is not whole yet, its id, and what was sent of it.
        self._unanswered: web.BaseRequest | None = None
        self._request_id = ""
        self._sends = SendRecord()
        self._opened_at = 0.0
        self._closes_when_idle = False
        self._idle_check: asyncio.Handle | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        if self._current_request is not None or self._messages:
            return True
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that were written and not sent yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def closes_when_idle(self) -> bool:
        """Whether answers announce that this connection is about to be closed."""
        return self._closes_when_idle

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to answer, to send or to read."""
        if self.is_busy or self._head_timer is not None:
            return False
        if self._waiter is None or self._waiter.done():
            return False
        return not has_unread_bytes(self.transport)

    @property
    def _is_just_opened(self) -> bool:
        age_s = self._loop.time() - self._opened_at
        return self._request_count == 0 and age_s < FIRST_REQUEST_WAIT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a new connection; abort it if there is no room for it."""
        super().connection_made(transport)
        self._opened_at = self._loop.time()
        if self._limit is not None and not self._limit.add(self):
            self.note_closing(CloseReason.NO_ROOM)
            transport.abort()
        elif self._server.closes_when_idle:
            self.close_when_idle()

    def close_idle(self) -> None:
        """Close the connection to make room for another one."""
        self.note_closing(CloseReason.ROOM_NEEDED)
        self.force_close()

    def close_when_idle(self) -> None:
        """Close the connection when all that was sent on it is answered."""
        self._closes_when_idle = True
        self._check_idle_later(0.0)

    def cut_off(self) -> None:
        """Close the connection at once, so that no begun answer can look whole."""
        if self.transport is not None:
            self.note_closing(CloseReason.STOP_FORCED)
            self.transport.abort()

    def cut_off_slow(self) -> None:
        """Close the connection at once, as its caller takes its answers too slowly."""
        if self.transport is not None:
            self.note_closing(CloseReason.ANSWER_NOT_TAKEN)
            self.transport.abort()

    def _check_idle_later(self, delay_s: float) -> None:
        if self._idle_check is None:
            self._idle_check = self._loop.call_later(delay_s, self._check_idle)

    def _check_idle(self) -> None:
        """Close the connection if it is idle; the end of a request checks again."""
        self._idle_check = None
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_idle and not self._is_just_opened:
            self.note_closing(CloseReason.STOP_IDLE)
            self.force_close()
        elif not self._request_in_progress:
            self._check_idle_later(IDLE_CHECK_S)

    def data_received(self, data: bytes) -> None:
        """Feed the parser and start or stop the head timer.

        Bytes that neither belong to a body nor complete a head are part of an
        incomplete head; the first of them start the timer.
        """
        if self._limit is not None:
            self._limit.record_received(self)
        requests_before = self._request_count
        is_body = self._body is not None and not self._body.is_eof()
        super().data_received(data)
        if self._request_count > requests_before:
            self._body = self._messages[-1][1]
        is_new = self._request_count > requests_before
        if is_new and self._body is EMPTY_PAYLOAD and not data.endswith(HEAD_END):
            self._restart_head_timer()
        elif is_body or is_new:
            self._cancel_head_timer()
        elif data and self._head_timer is None:
            self._restart_head_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end, and cancel the head timer."""
        self._cancel_head_timer()
        if self._limit is not None:
            self._limit.remove(self)
        if self._idle_check is not None:
            self._idle_check.cancel()
        self._server.report_closed(self._describe_end(exc))
        super().connection_lost(exc)

    def note_closing(self, reason: CloseReason) -> None:
        """Record why this connection is about to be closed; the first reason holds."""
        self._reason = self._reason or reason

    def note_request(self, request_id: str, sends: SendRecord) -> None:
        """Record the id of the request in progress, and what tells of its sends."""
        self._request_id = request_id
        self._sends = sends

    def _describe_end(self, exc: BaseException | None) -> ClosedConnection:
        reason = self._reason
        if reason is None:
            is_last = not self._keepalive or self._close
            reason = CloseReason.ANSWERED if is_last else CloseReason.CALLER_GONE
        queued = [payload for _, payload in self._messages]
        current = self._unanswered
        bodies = queued if current is None else [current.content, *queued]
        return ClosedConnection(
            self._server.name,
            reason,
            sum(body.is_eof() for body in bodies),
            self._request_id if current is not None else "",
            current is not None and self._sends.may_have_run,
            repr(exc) if exc is not None else "",
        )

    async def _handle_request(self, request, start_time, request_handler):
        self._unanswered = request
        self._request_id = ""
        self._sends = SendRecord()
        if self._server.closes_when_idle:
            self.close_when_idle()
        try:
            response, reset = await super()._handle_request(
                request, start_time, _announcing(request_handler)
            )
        finally:
            if self._closes_when_idle:
                self._check_idle_later(IDLE_CHECK_S)
        if not reset and self._reason not in CUT_SHORT:
            self._unanswered = None
        return response, reset

    def _make_error_handler(self, err_info):
        self.note_closing(CloseReason.BAD_REQUEST)
        return super()._make_error_handler(err_info)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to a request that is unreadable, or whose handler failed.

        After a failure, what else was sent on the connection is answered as well.
        """
        if status < SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        self.note_closing(CloseReason.HANDLER_FAILED)
        logger.error("handler_failed", request=self._request_id, error=repr(exc))
        response = super().handle_error(request, status, exc, message)
        self.close_when_idle()
        answer = web.Response(status=status, text=response.text)
        announce_close(request, answer)
        return answer

    def _process_keepalive(self) -> None:
        if self._head_timer is not None:
            return
        was_open = self.transport is not None
        super()._process_keepalive()
        if was_open and self.transport is None:
            self.note_closing(CloseReason.KEEP_ALIVE_ENDED)

    def _restart_head_timer(self) -> None:
        self._cancel_head_timer()
        self._head_timer = self._loop.call_later(
            HEAD_TIMEOUT_S, self._handle_head_timeout
        )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        """Close the connection, unless an earlier request on it is in progress."""
        self._head_timer = None
        if self.is_busy:
            self._restart_head_timer()
        else:
            logger.warning("head_not_whole", limit_s=HEAD_TIMEOUT_S)
            self.note_closing(CloseReason.HEAD_TIMEOUT)
            self.force_close()


def refuse_connection() -> web.Response:
    """Return the response to a request for whose connection there is no room."""
    headers = {"Retry-After": str(RETRY_AFTER_REFUSED_S)}
    return web.Response(status=UNAVAILABLE, headers=headers)


class CallerServer(web.Server):
    """aiohttp's server with the head timeout and a limit on its connections.

    ``name`` is that of its listener; ``closings`` gets the ends of its connections.
    ``refuse`` returns the response to requests that exceed ``limit``.
    """

    def __init__(
        self,
        handler,
        *,
        name: str = "",
        closings: ClosingReport | None = None,
        limit: ConnectionLimit | None = None,
        refuse: Callable[[], web.Response] = refuse_connection,
        **options,
    ):
        super().__init__(self._handle, **options)
        self.name = name
        self._handler = handler
        self._closings = closings or ClosingReport(Metrics())
        self._limit = limit
        self._refuse = refuse
        self._closes_when_idle = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        return any(connection.is_busy for connection in self.connections)

    def report_closed(self, closed: ClosedConnection) -> None:
        """Record the end of one of its connections."""
        self._closings.record(closed)

    @property
    def closes_when_idle(self) -> bool:
        """Whether all connections are closed as soon as they are idle."""
        return self._closes_when_idle

    def close_when_idle(self) -> None:
        """Close each connection, also new ones, when all on it is answered."""
        self._closes_when_idle = True
        for connection in self.connections:
            connection.close_when_idle()

    def cut_off(self) -> None:
        """Close all connections at once."""
        for connection in self.connections:
            connection.cut_off()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections, those with requests after ``timeout`` seconds."""
        for connection in self.connections:
            is_busy = connection.is_busy
            reason = CloseReason.STOP_FORCED if is_busy else CloseReason.STOP_IDLE
            connection.note_closing(reason)
        await super().shutdown(timeout)

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, limit=self._limit, loop=self._loop, **self._kwargs
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request unless there is no room for its connection."""
        if self._limit is not None and self._limit.refuses(request.protocol):
            close_when_idle(request)
            return self._refuse()
        return await self._handler(request)


def note_closing(request: web.BaseRequest, reason: CloseReason) -> None:
    """Record why the connection of a request is about to be closed."""
    if isinstance(request.protocol, CallerConnection):
        request.protocol.note_closing(reason)


def note_request(request: web.BaseRequest, request_id: str, sends: SendRecord) -> None:
    """Record the id of a request, and what tells of its sends, at its connection."""
    if isinstance(request.protocol, CallerConnection):
        request.protocol.note_request(request_id, sends)


def close_when_idle(request: web.BaseRequest) -> None:
    """Close a request's connection when all that was sent on it is answered."""
    if isinstance(request.protocol, CallerConnection):
        request.protocol.close_when_idle()


def announce_close(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Tell in a response, before it is sent, that its connection will be closed."""
    connection = request.protocol
    if isinstance(connection, CallerConnection) and connection.closes_when_idle:
        response.headers["Connection"] = "close"


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether the kernel holds bytes, or an end, that were not read yet."""
    if transport.is_closing():
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))


def _announcing(handler):
    """Return a handler whose answers announce that their connection closes."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        response = await handler(request)
        if not response.prepared:
            announce_close(request, response)
        return response

    return handle
