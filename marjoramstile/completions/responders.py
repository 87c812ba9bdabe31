"""Responders that turn a replica's events into responses of OpenAI's interface."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from marjoramstile.completions.errors import CompletionError
from marjoramstile.completions.formats import (
    STREAM_END,
    CompletionFormatter,
    FinishReason,
    Usage,
    event_bytes,
)
from marjoramstile.fronts.answers import ResponseStream
from marjoramstile.fronts.buffers import BufferedBody
from marjoramstile.routes.events import event_text
from marjoramstile.routes.requests import GenerationSize, Headers

OK = 200
STREAM_HEADERS: Headers = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
)


@dataclass
class TokenCounter:
    """Counts the tokens of one completion; each event holds ``stride`` of them."""

    size: GenerationSize
    stride: int
    events: int = 0

    @property
    def usage(self) -> Usage:
        """Tokens so far, capped at the limit: the last event may hold fewer tokens."""
        produced = min(self.events * self.stride, self.size.max_output)
        return Usage(self.size.prompt, produced)

    @property
    def finish_reason(self) -> FinishReason:
        """Why the completion ended; meaningful only after its last event."""
        if self.usage.completion_tokens >= self.size.max_output:
            return FinishReason.LENGTH
        return FinishReason.STOP


class BufferingResponder:
    """Collects a completion for a caller that did not request a stream."""

    def __init__(
        self,
        formatter: CompletionFormatter,
        counter: TokenCounter,
        buffer: BufferedBody,
    ):
        self._formatter = formatter
        self._counter = counter
        self._buffer = buffer

    async def start(self, status: int, headers: Headers) -> None:
        """Ignore the head of the replica's response."""

    async def write(self, data: bytes) -> None:
        """Buffer the text of an event; raises BufferFullError if it does not fit."""
        self._counter.events += 1
        self._buffer.add(event_text(data).encode())

    async def finish(self) -> None:
        """Do nothing at the end of the stream; ``response`` builds the body."""

    def response(self, headers: dict[str, str]) -> web.StreamResponse:
        """Return the response with the whole completion."""
        text = self._buffer.to_bytes().decode()
        body = self._formatter.completion(
            text, self._counter.finish_reason, self._counter.usage
        )
        return web.json_response(body, headers=headers)


class StreamingResponder:
    """Streams a completion to its caller, one chunk for each event."""

    def __init__(
        self,
        stream: ResponseStream,
        formatter: CompletionFormatter,
        counter: TokenCounter,
        headers: dict[str, str],
        include_usage: bool,
        closes_connection: Callable[[], bool],
    ):
        """``closes_connection`` returns whether to close the connection afterwards."""
        self._stream = stream
        self._formatter = formatter
        self._counter = counter
        self._headers = headers
        self._include_usage = include_usage
        self._closes_connection = closes_connection

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head; the replica's status and headers are not forwarded."""
        sent_headers = (*STREAM_HEADERS, *self._headers.items())
        await self._stream.start(OK, sent_headers, self._closes_connection())

    async def write(self, data: bytes) -> None:
        """Send an event's text as a chunk."""
        self._counter.events += 1
        await self._stream.write(self._formatter.chunk(event_text(data)))

    async def finish(self) -> None:
        """Send the finish reason, the usage if requested, and the end of the stream."""
        await self._stream.write(self._formatter.chunk("", self._counter.finish_reason))
        if self._include_usage:
            await self._stream.write(self._formatter.usage_chunk(self._counter.usage))
        await self._stream.write(STREAM_END)
        await self._stream.finish()

    async def fail(self, error: CompletionError) -> web.StreamResponse:
        """Send an error as the last event and close the connection.

        The chunked body gets no last chunk, so it can't be taken for complete.
        """
        await self._stream.write(event_bytes(error.to_body()))
        return self._stream.abort()
