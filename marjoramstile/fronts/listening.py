"""Server connections with a timeout for receiving the head of a request.

aiohttp limits the size of a head and the idle time between requests, but not the time
that a head takes from its first bytes on.
"""

import asyncio
import select
from collections.abc import Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.logs import get_logger

# Longer than any caller of the routes waits for its response.
HEAD_TIMEOUT_S = 30.0
UNAVAILABLE = 503
# Room for a connection may be made at any moment.
RETRY_AFTER_REFUSED_S = 1

logger = get_logger(__name__)


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for incomplete request heads."""

    def __init__(self, *args, limit: ConnectionLimit | None = None, **options):
        super().__init__(*args, **options)
        self._limit = limit
        self._body = None
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        if self._current_request is not None or self._messages:
            return True
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    @property
    def is_idle(self) -> bool:
        """Whether the next request is awaited, and no byte of it has arrived."""
        if self._waiter is None or self._waiter.done():
            return False
        if self._head_timer is not None or self.is_busy:
            return False
        return not has_unread_bytes(self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; abort it if there is no room for it."""
        super().connection_made(transport)
        if self._limit is not None and not self._limit.add(self):
            transport.abort()

    def close_idle(self) -> None:
        """Close the connection to make room for another one."""
        self.force_close()

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
        if is_body or self._request_count > requests_before:
            self._cancel_head_timer()
        elif data and self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(
                HEAD_TIMEOUT_S, self._handle_head_timeout
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the head timer of the lost connection."""
        self._cancel_head_timer()
        if self._limit is not None:
            self._limit.remove(self)
        super().connection_lost(exc)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        """Close the connection, unless an earlier request on it is in progress."""
        self._head_timer = None
        if self._current_request is None and not self._messages:
            logger.warning("head_not_whole", limit_s=HEAD_TIMEOUT_S)
            self.force_close()


def refuse_connection() -> web.Response:
    """Return the response to a request for whose connection there is no room."""
    headers = {"Retry-After": str(RETRY_AFTER_REFUSED_S)}
    return web.Response(status=UNAVAILABLE, headers=headers)


class CallerServer(web.Server):
    """aiohttp's server with the head timeout and a limit on its connections."""

    def __init__(
        self,
        handler,
        *,
        limit: ConnectionLimit | None = None,
        refuse: Callable[[], web.Response] = refuse_connection,
        **options,
    ):
        """``refuse`` returns the response to requests that exceed ``limit``."""
        super().__init__(self._handle, **options)
        self._handler = handler
        self._limit = limit
        self._refuse = refuse

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        return any(connection.is_busy for connection in self.connections)

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, limit=self._limit, loop=self._loop, **self._kwargs
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request unless there is no room for its connection."""
        if self._limit is not None and self._limit.refuses(request.protocol):
            response = self._refuse()
            response.force_close()
            return response
        return await self._handler(request)


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether the kernel holds bytes, or an end, that were not read yet."""
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))
