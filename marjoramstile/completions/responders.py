"""Turn a replica's events into an answer of OpenAI's interface."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from marjoramstile.completions.errors import CompletionError
from marjoramstile.completions.formats import (
    STREAM_END,
    AnswerFormat,
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
class TokenCount:
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
    def reason(self) -> FinishReason:
        """Why the answer ended, if it has."""
        if self.usage.completion_tokens >= self.size.max_output:
            return FinishReason.LENGTH
        return FinishReason.STOP


class WholeResponder:
    """Collects an answer for a caller who wants it in one piece."""

    def __init__(
        self, answer_format: AnswerFormat, count: TokenCount, kept: BufferedBody
    ):
        self._format = answer_format
        self._count = count
        self._kept = kept

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head of the replica's answer, of which nothing is kept."""

    async def write(self, data: bytes) -> None:
        """Take a whole event; raises BufferFullError if there is no room for it."""
        self._count.events += 1
        self._kept.add(event_text(data).encode())

    async def finish(self) -> None:
        """Take the end."""

    def response(self, headers: dict[str, str]) -> web.StreamResponse:
        """Return the answer."""
        text = self._kept.whole().decode()
        body = self._format.whole(text, self._count.reason, self._count.usage)
        return web.json_response(body, headers=headers)


class PartsResponder:
    """Sends each event on as it comes."""

    def __init__(
        self,
        stream: AnswerStream,
        answer_format: AnswerFormat,
        count: TokenCount,
        headers: dict[str, str],
        include_usage: bool,
        closes: Callable[[], bool],
    ):
        """``closes`` tells whether the connection ends after the answer."""
        self._stream = stream
        self._format = answer_format
        self._count = count
        self._headers = headers
        self._include_usage = include_usage
        self._closes = closes

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head; that of the replica's answer is not passed on."""
        sent = (*STREAM_HEADERS, *self._headers.items())
        await self._stream.start(OK, sent, self._closes())

    async def write(self, data: bytes) -> None:
        """Send an event's text."""
        self._count.events += 1
        await self._stream.write(self._format.part(event_text(data)))

    async def finish(self) -> None:
        """Send the reason of the end, the usage if it is wanted, and the end."""
        await self._stream.write(self._format.part("", self._count.reason))
        if self._include_usage:
            await self._stream.write(self._format.usage(self._count.usage))
        await self._stream.write(STREAM_END)
        await self._stream.finish()

    async def fail(self, error: CompletionError) -> web.StreamResponse:
        """Send an error as the last event; the body is not ended as a whole one."""
        await self._stream.write(event_bytes(error.to_body()))
        return self._stream.abort()
