"""Answers to the daemon's own calls: their headers, and bodies within bounds."""

from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse

from marjoramstile.fronts.buffers import (
    BufferBudget,
    BufferedBody,
    BufferFullError,
)
from marjoramstile.logs import get_logger
from marjoramstile.platform import headers as platform_headers
from marjoramstile.platform.wholeness import lost_answer
from marjoramstile.routes.ports import StreamAnswer
from marjoramstile.routes.requests import AnswerLostError, Headers, Reply

# Longest answer of a replica or a carrier that is read in full.
ANSWER_MAX_BYTES = 8_388_608

logger = get_logger(__name__)


class AnswerTooLongError(AnswerLostError):
    """An answer is longer than its bound, or than the memory that is left."""


def response_headers(response: ClientResponse) -> Headers:
    """Return the headers of a response that are passed on."""
    raw = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.raw_headers
    )
    return platform_headers.forwarded_response_headers(raw)


async def body_chunks(response: ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body's bytes; raise AnswerLostError if it is truncated."""
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        raise lost_answer(error) from error


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


def stream_answer(response: ClientResponse, buffers: BufferBudget) -> StreamAnswer:
    """Return the head of a response, and its bytes as they arrive."""
    return StreamAnswer(
        response.status, response_headers(response), body_chunks(response), buffers
    )


async def read_reply(answer: StreamAnswer, buffers: BufferBudget) -> Reply:
    """Return a whole answer; raise AnswerLostError if truncated or too long."""
    body = await read_body(answer.chunks, buffers, ANSWER_MAX_BYTES)
    return Reply(answer.status, answer.headers, body.to_bytes(), body)
