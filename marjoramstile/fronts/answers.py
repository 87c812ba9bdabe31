"""Responses to callers: streamed in chunks, or whole."""

import asyncio

from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError
from multidict import CIMultiDict

from marjoramstile.fronts.caller_connection import announce_close
from marjoramstile.fronts.closing import CloseReason
from marjoramstile.fronts.listening import close_when_idle, note_closing
from marjoramstile.logs import get_logger
from marjoramstile.routes.requests import CallerDisconnectedError, Headers

BAD_GATEWAY = 502
# Time for a caller to take a whole answer: longer than any of them waits for one.
ANSWER_TIMEOUT_S = 30.0

# Time for a caller to make room for a stream's next event. A replica cuts off a stream
# that isn't read for some seconds.
EVENT_TIMEOUT_S = 10.0
# Bytes of a body that are passed to the transport at a time.
SLICE_BYTES = 65_536

logger = get_logger(__name__)


async def _write_slices(response: web.StreamResponse, body: bytes) -> None:
    view = memoryview(body)
    for start in range(0, len(body), SLICE_BYTES):
        await response.write(view[start : start + SLICE_BYTES])


class ResponseStream:
    """A chunked response to one request.

    ``start``, ``write`` and ``finish`` raise CallerDisconnectedError if the caller's
    connection is lost.
    """

    def __init__(self, request: web.BaseRequest):
        self._request = request
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response; None before ``start``."""
        return self._response

    async def start(self, status: int, headers: Headers, close: bool) -> None:
        """Send the head; ``close`` closes the connection when it is idle."""
        self._response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        self._response.enable_chunked_encoding()
        if close:
            close_when_idle(self._request)
        announce_close(self._request, self._response)
        try:
            await self._response.prepare(self._request)
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error

    async def write(self, data: bytes) -> None:
        """Send bytes of the body; abort if the caller makes no room for them."""
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                await self._response.write(data)
        except TimeoutError as error:
            logger.warning("event_not_taken", limit_s=EVENT_TIMEOUT_S)
            self.abort(CloseReason.ANSWER_NOT_TAKEN)
            raise CallerDisconnectedError from error
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error

    async def finish(self) -> None:
        """End the response as complete; abort if the caller doesn't take the rest."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._response.write_eof()
        except TimeoutError as error:
            logger.warning("answer_not_taken", limit_s=ANSWER_TIMEOUT_S)
            self.abort(CloseReason.ANSWER_NOT_TAKEN)
            raise CallerDisconnectedError from error
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error

    async def send_whole(
        self, status: int, headers: Headers, body: bytes, close: bool
    ) -> web.StreamResponse:
        """Send a complete response; abort if the caller takes too long over it.

        A long body is written in slices: the transport copies what it can't send yet.
        """
        fields = CIMultiDict(headers)
        is_long = len(body) > SLICE_BYTES
        if is_long:
            response = web.StreamResponse(status=status, headers=fields)
            response.content_length = len(body)
        else:
            response = web.Response(status=status, headers=fields, body=body)
        if close:
            close_when_idle(self._request)
        announce_close(self._request, response)
        self._response = response
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await response.prepare(self._request)
                if is_long:
                    await _write_slices(response, body)
                await response.write_eof()
        except TimeoutError:
            logger.warning("answer_not_taken", limit_s=ANSWER_TIMEOUT_S)
            return self.abort(CloseReason.ANSWER_NOT_TAKEN)
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error
        return response

    def abort(
        self, reason: CloseReason = CloseReason.STREAM_BROKEN
    ) -> web.StreamResponse:
        """Close the connection so that the response can't be taken for complete.

        Returns the response that was started, else an unsent 502.
        """
        transport = self._request.transport
        if transport is not None and not transport.is_closing():
            note_closing(self._request, reason)
            if reason == CloseReason.ANSWER_NOT_TAKEN:
                transport.abort()
            else:
                transport.close()
        return self._response or web.Response(status=BAD_GATEWAY)
