"""Reads the bodies of answers to the daemon's own calls, within bounds."""

from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse

from marjoramstile.fronts.buffers import (
    BufferBudget,
    BufferedBody,
    BufferFullError,
)
from marjoramstile.logs import get_logger
from marjoramstile.routes.requests import AnswerLostError

logger = get_logger(__name__)


class AnswerTooLongError(AnswerLostError):
    """An answer is longer than its bound, or than the memory that is left."""


async def body_chunks(response: ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body's bytes; raise AnswerLostError if it is truncated."""
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        raise AnswerLostError(repr(error)) from error


async def read_body(
    chunks: AsyncIterator[bytes], buffers: BufferBudget, max_bytes: int
) -> BufferedBody:
    """Return a whole body.

    Raises AnswerLostError if it is truncated, AnswerTooLongError if it is too long.
    """
    body = buffers.open_body(max_bytes)
    try:
        async for chunk in chunks:
            body.add(chunk)
    except BufferFullError as error:
        body.discard()
        logger.warning("answer_too_long", reason=str(error))
        raise AnswerTooLongError(str(error)) from error
    except BaseException:
        body.discard()
        raise
    return body
