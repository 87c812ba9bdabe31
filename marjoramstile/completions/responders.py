"""Turn a replica's events into an answer of OpenAI's interface."""

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
from marjoramstile.fronts.answers import AnswerStream
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
    """Tokens of one answer, of which each event brings ``stride``."""

    size: GenerationSize
    stride: int
    events: int = 0

    @property
    def usage(self) -> Usage:
        """Tokens so far; the last event may bring fewer than the others."""
        produced = min(self.events * self.stride, self.size.max_output)
        return Usage(self.size.prompt, produced)

    @property
    def finish_reason(self) -> FinishReason:
        """Why the answer ended, if it has."""
        if self.usage.completion_tokens >= self.size.max_output:
            return FinishReason.LENGTH
        return FinishReason.STOP


class BufferingResponder:
    """Collects an answer for a caller who wants it in one piece."""

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
        """Take the head of the replica's answer, of which nothing is kept."""

    async def write(self, data: bytes) -> None:
        """Take a whole event; raises BufferFullError if there is no room for it."""
        self._counter.events += 1
        self._buffer.add(event_text(data).encode())

    async def finish(self) -> None:
        """Take the end."""

    def response(self, headers: dict[str, str]) -> web.StreamResponse:
        """Return the answer."""
        text = self._buffer.whole().decode()
        body = self._formatter.completion(
            text, self._counter.finish_reason, self._counter.usage
        )
        return web.json_response(body, headers=headers)


class StreamingResponder:
    """Sends each event on as it comes."""

    def __init__(
        self,
        stream: AnswerStream,
        formatter: CompletionFormatter,
        counter: TokenCounter,
        headers: dict[str, str],
        include_usage: bool,
        closes_connection: Callable[[], bool],
    ):
        """``closes`` tells whether the connection ends after the answer."""
        self._stream = stream
        self._formatter = formatter
        self._counter = counter
        self._headers = headers
        self._include_usage = include_usage
        self._closes_connection = closes_connection

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head; that of the replica's answer is not passed on."""
        sent_headers = (*STREAM_HEADERS, *self._headers.items())
        await self._stream.start(OK, sent_headers, self._closes_connection())

    async def write(self, data: bytes) -> None:
        """Send an event's text."""
        self._counter.events += 1
        await self._stream.write(self._formatter.chunk(event_text(data)))

    async def finish(self) -> None:
        """Send the reason of the end, the usage if it is wanted, and the end."""
        await self._stream.write(self._formatter.chunk("", self._counter.finish_reason))
        if self._include_usage:
            await self._stream.write(self._formatter.usage_chunk(self._counter.usage))
        await self._stream.write(STREAM_END)
        await self._stream.finish()

    async def fail(self, error: CompletionError) -> web.StreamResponse:
        """Send an error as the last event; the body is not ended as a whole one."""
        await self._stream.write(event_bytes(error.to_body()))
        return self._stream.abort()
