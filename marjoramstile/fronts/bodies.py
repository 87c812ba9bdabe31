"""Reads callers' bodies within limits of size, time, and room for all of them."""

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
from marjoramstile.logs import get_logger

# When bodies that were being read have likely gone on.
RETRY_AFTER_FULL_S = 0.5
# Longer than any caller of the routes waits for its answer.
BODY_LIMIT_S = 30.0
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
UNAVAILABLE = 503

logger = get_logger(__name__)


class BodyRefusedError(Exception):
    """A body was not taken; ``status`` is the HTTP status that says why."""

    def __init__(self, status: int, message: str, retry_after_s: float | None = None):
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s


class BodyReader:
    """Reads bodies into one room that they share."""

    def __init__(self, buffers: BufferBudget):
        self._buffers = buffers

    def response_buffer(self, max_bytes: int) -> AbstractContextManager[BufferedBody]:
        """Return room for an answer of at most ``max_bytes``, for a block."""
        return self._buffers.body(max_bytes)

    @asynccontextmanager
    async def whole_body(
        self, request: web.BaseRequest, max_bytes: int
    ) -> AsyncIterator[bytes]:
        """Read a body; its bytes count within the block. Raises BodyRefusedError."""
        with self._buffers.body(max_bytes) as buffered:
            yield await self._read(request, buffered)

    async def _read(self, request: web.BaseRequest, buffered: BufferedBody) -> bytes:
        try:
            async with asyncio.timeout(BODY_LIMIT_S):
                return await _read_all(request, buffered)
        except TimeoutError:
            logger.warning("body_not_whole", limit_s=BODY_LIMIT_S)
            raise BodyRefusedError(REQUEST_TIMEOUT, "the body is late") from None
        except BodyTooLongError as error:
            raise BodyRefusedError(TOO_LARGE, str(error)) from None
        except BufferBudgetExceededError as error:
            logger.warning("no_room_for_body", reason=str(error))
            raise BodyRefusedError(
                UNAVAILABLE, str(error), RETRY_AFTER_FULL_S
            ) from None


async def _read_all(request: web.BaseRequest, buffered: BufferedBody) -> bytes:
    if request.headers.get("Expect", "").lower() == "100-continue":
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    async for chunk in request.content.iter_any():
        buffered.add(chunk)
    return buffered.whole()
