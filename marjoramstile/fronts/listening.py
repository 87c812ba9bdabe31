"""Servers of callers' connections, and what handlers tell a connection."""

from collections.abc import Callable

from aiohttp import web

from marjoramstile.fronts.caller_connection import CallerConnection
from marjoramstile.fronts.closing import (
    ClosedConnection,
    CloseReason,
    ClosingReport,
)
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.reading import READ_MAX_BYTES, BoundedReads
from marjoramstile.fronts.received import (
    DEFAULT_READ_LIMITS,
    FIELD_MIN_BYTES,
    HeldBytes,
    ReadLimits,
)
from marjoramstile.fronts.turns import Turns
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.requests import SendRecord

# Of servers whose limits are not given.
HEAD_TIMEOUT_S = DEFAULT_READ_LIMITS.head_timeout_s
UNAVAILABLE = 503
# Room for a connection may be made at any moment.
RETRY_AFTER_REFUSED_S = 1


def default_limits() -> ReadLimits:
    """Return the limits of a server to which none are given."""
    return ReadLimits(
        DEFAULT_READ_LIMITS.head_max_bytes,
        HEAD_TIMEOUT_S,
        DEFAULT_READ_LIMITS.idle_timeout_s,
    )


def refuse_connection() -> web.Response:
    """Return the response to a request for whose connection there is no room."""
    headers = {"Retry-After": str(RETRY_AFTER_REFUSED_S)}
    return web.Response(status=UNAVAILABLE, headers=headers)


class CallerServer(web.Server):
    """aiohttp's server with limits on its connections and on what they send.

    ``name`` is that of its listener; ``closings`` gets the ends of its connections.
    ``refuse`` returns the response to requests that exceed ``limit``. ``read_limits``
    returns the limits in force. ``held`` counts what no handler has taken, together
    with that of other servers, and ``turns`` are those of long work of all of them.
    """

    def __init__(
        self,
        handler,
        *,
        name: str = "",
        closings: ClosingReport | None = None,
        limit: ConnectionLimit | None = None,
        refuse: Callable[[], web.Response] = refuse_connection,
        read_limits: Callable[[], ReadLimits] | None = None,
        held: HeldBytes | None = None,
        turns: Turns | None = None,
        **options,
    ):
        super().__init__(self._handle, **options)
        self._read_limits = read_limits or default_limits
        self._held = held
        self._turns = turns or Turns()
        self._read_buffer = bytearray(READ_MAX_BYTES)
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

    @property
    def limits(self) -> ReadLimits:
        """Limits on what is read of a connection, as they are now."""
        return self._read_limits()

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

    def __call__(self) -> BoundedReads:
        """Return the protocol of a new connection."""
        limits = self.limits
        options = {
            "keepalive_timeout": limits.idle_timeout_s,
            "max_line_size": limits.head_max_bytes,
            "max_field_size": limits.head_max_bytes,
            "max_headers": limits.head_max_bytes // FIELD_MIN_BYTES,
            **self._kwargs,
        }
        connection = CallerConnection(
            self,
            limit=self._limit,
            held=self._held,
            turns=self._turns,
            loop=self._loop,
            **options,
        )
        return BoundedReads(connection, self._read_buffer)

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
