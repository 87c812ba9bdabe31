"""Callers' and operators' connections to the daemon, within a limit."""

from functools import partial

from sanic import Request
from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.listening import has_unread_bytes
from marjoramstile.results import Failure, RequestFailedError, ResultCode

# Room for a connection may be made at any moment.
RETRY_AFTER_REFUSED_S = 1.0


def is_idle(connection: HttpProtocol) -> bool:
    """Return whether nothing is left to answer, to send or to read."""
    http = connection.http
    if http is None or http.stage is not Stage.IDLE or connection.recv_buffer:
        return False
    transport = connection.transport
    if transport is None or transport.is_closing():
        return False
    return not transport.get_write_buffer_size() and not has_unread_bytes(transport)


class LimitedProtocol(HttpProtocol):
    """sanic's server protocol, whose connections count towards a limit."""

    __slots__ = ("_limit",)

    def __init__(self, *, limit: ConnectionLimit, **options):
        super().__init__(**options)
        self._limit = limit

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to answer, to send or to read."""
        return is_idle(self)

    @property
    def is_refused(self) -> bool:
        """Whether there is no room for this connection."""
        return self._limit.refuses(self)

    def close_idle(self) -> None:
        """Close the connection to make room for another one."""
        self.close_if_idle()

    def connection_made(self, transport) -> None:
        """Count the connection; abort it if there is no room for it."""
        super().connection_made(transport)
        if not self._limit.add(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Record that the connection is in use."""
        self._limit.record_received(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._limit.remove(self)
        super().connection_lost(exc)


def limited_protocol(limit: ConnectionLimit) -> partial[LimitedProtocol]:
    """Return what creates the connections of a server with a limit."""
    return partial(LimitedProtocol, limit=limit)


async def refuse_connection(request: Request) -> None:
    """Refuse a request, as sanic's middleware, if its connection exceeds the limit."""
    if request.protocol.is_refused:
        request.stream.keep_alive = False
        message = "this daemon has too many connections; ask for other addresses"
        raise RequestFailedError(
            Failure(ResultCode.OVERLOADED, message, retry_after_s=RETRY_AFTER_REFUSED_S)
        )
