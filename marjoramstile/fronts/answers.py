"""Chunked responses that are streamed to callers."""

from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError
from multidict import CIMultiDict

from marjoramstile.routes.requests import Headers

BAD_GATEWAY = 502


class CallerDisconnectedError(Exception):
    """The caller's connection closed while its response was being sent."""


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
        """Send the head; ``close`` closes the connection after the response."""
        self._response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        self._response.enable_chunked_encoding()
        if close:
            self._response.force_close()
        try:
            await self._response.prepare(self._request)
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error

    async def write(self, data: bytes) -> None:
        """Send bytes of the body."""
        try:
            await self._response.write(data)
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error

    async def finish(self) -> None:
        """End the response as complete."""
        try:
            await self._response.write_eof()
        except (ClientConnectionResetError, OSError) as error:
            raise CallerDisconnectedError from error

    def abort(self) -> web.StreamResponse:
        """Close the connection so that the response can't be taken for complete.

        Returns the response that was started, else an unsent 502.
        """
        if self._request.transport is not None:
            self._request.transport.close()
        return self._response or web.Response(status=BAD_GATEWAY)
