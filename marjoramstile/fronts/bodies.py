"""Reads request bodies within limits of size, time and the shared buffer budget."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager, asynccontextmanager

from aiohttp import web

from marjoramstile.fronts.buffers import (
    BodyTooLongError,
    BufferBudget,
    BufferBudgetExceededError,
    BufferedBody,
)
from marjoramstile.fronts.closing import CloseReason
from marjoramstile.fronts.listening import note_closing
from marjoramstile.fronts.received import fields_memory_bytes
from marjoramstile.logs import get_logger

# By then some of the bodies that use up the buffer budget have probably been released.
RETRY_AFTER_FULL_S = 0.5
# Longer than any caller of the routes waits for its response.
BODY_TIMEOUT_S = 30.0
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
UNAVAILABLE = 503

logger = get_logger(__name__)


class BodyRefusedError(Exception):
    """A request body was rejected; ``status`` is the HTTP status of the response.

    ``retry_after_s`` is set only if the request may be retried after that time.
    """

    def __init__(self, status: int, message: str, retry_after_s: float | None = None):
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s


class BodyReader:
    """Reads request bodies into buffers that share one budget."""

    def __init__(self, buffers: BufferBudget):
        self._buffers = buffers

    def response_buffer(self, max_bytes: int) -> AbstractContextManager[BufferedBody]:
        """Return a buffer for a response of at most ``max_bytes``.

        It is a context manager: the buffered bytes are released when it exits.
        """
        return self._buffers.body(max_bytes)

    @asynccontextmanager
    async def read_body(
        self, request: web.BaseRequest, max_bytes: int
    ) -> AsyncIterator[bytes]:
        """Read a whole body; its bytes count against the budget until the block ends.

        So does the memory of a head with many fields. Raises BodyRefusedError.
        """
        fields_bytes = fields_memory_bytes(len(request.raw_headers))
        try:
            self._buffers.reserve(0, fields_bytes)
        except BufferBudgetExceededError as error:
            note_closing(request, CloseReason.BODY_REFUSED)
            raise _no_room(error) from None
        try:
            with self._buffers.body(max_bytes) as buffered:
                yield await self._read(request, buffered)
        finally:
            self._buffers.release(fields_bytes)

    async def _read(self, request: web.BaseRequest, buffered: BufferedBody) -> bytes:
        try:
            return await self._read_in_time(request, buffered)
        except BodyRefusedError:
            note_closing(request, CloseReason.BODY_REFUSED)
            raise

    @staticmethod
    async def _read_in_time(request: web.BaseRequest, buffered: BufferedBody) -> bytes:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await _read_all(request, buffered)
        except TimeoutError:
            logger.warning("body_not_whole", limit_s=BODY_TIMEOUT_S)
            raise BodyRefusedError(REQUEST_TIMEOUT, "the body is late") from None
        except web.RequestPayloadError as error:
            raise BodyRefusedError(BAD_REQUEST, str(error)) from None
        except BodyTooLongError as error:
            raise BodyRefusedError(TOO_LARGE, str(error)) from None
        except BufferBudgetExceededError as error:
            raise _no_room(error) from None


def _no_room(error: BufferBudgetExceededError) -> BodyRefusedError:
    logger.warning("no_room_for_body", reason=str(error))
    return BodyRefusedError(UNAVAILABLE, str(error), RETRY_AFTER_FULL_S)


async def _read_all(request: web.BaseRequest, buffered: BufferedBody) -> bytes:
    buffered.check_length(request.content_length or 0)
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    async for chunk in request.content.iter_any():
        buffered.add(chunk)
    return buffered.to_bytes()
