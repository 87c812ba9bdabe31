"""Connections from callers, on which the head of a request must come in time.

aiohttp bounds the size of a head and the idle time between requests, but not the time
that a head takes once its first bytes are there.
"""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from marjoramstile.logs import get_logger

# Longer than any caller of the routes waits for its answer.
HEAD_TIMEOUT_S = 30.0

logger = get_logger(__name__)


class CallerConnection(RequestHandler):
    """aiohttp's server protocol that gives up heads that never become whole."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._body = None
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Take bytes; those that neither end a head nor belong to a body begin one."""
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
        """Forget the timer with the connection."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        """Close the connection, unless an earlier request on it is still answered."""
        self._head_timer = None
        if self._current_request is None and not self._messages:
            logger.warning("head_not_whole", limit_s=HEAD_TIMEOUT_S)
            self.force_close()


class CallerServer(web.Server):
    """aiohttp's server whose connections are bounded."""

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)
