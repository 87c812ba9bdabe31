"""Server connections with a timeout for receiving the head of a request.

aiohttp limits the size of a head and the idle time between requests, but not the time
that a head takes from its first bytes on.
"""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from marjoramstile.logs import get_logger

# Longer than any caller of the routes waits for its response.
HEAD_TIMEOUT_S = 30.0

logger = get_logger(__name__)


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for incomplete request heads."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._body = None
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        if self._current_request is not None or self._messages:
            return True
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def data_received(self, data: bytes) -> None:
        """Feed the parser and start or stop the head timer.

        Bytes that neither belong to a body nor complete a head are part of an
        incomplete head; the first of them start the timer.
        """
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


class CallerServer(web.Server):
    """aiohttp's server with the head timeout on its connections."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        return any(connection.is_busy for connection in self.connections)

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)
