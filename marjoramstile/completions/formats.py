"""Response bodies of OpenAI's interface for text and chat completions."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

STREAM_END = b"data: [DONE]\n\n"


class CompletionKind(StrEnum):
    """Which of the two completion interfaces a caller uses."""

    TEXT = "text"
    CHAT = "chat"


class FinishReason(StrEnum):
    """Why a generation ended."""

    STOP = "stop"
    LENGTH = "length"


@dataclass(frozen=True)
class CompletionMetadata:
    """Fields in all bodies of one completion; ``created_s`` is seconds since 1970."""

    id: str
    model: str
    created_s: int


@dataclass(frozen=True)
class Usage:
    """Token counts: the prompt's is estimated, the output's derived from its events."""

    prompt_tokens: int
    completion_tokens: int

    def to_body(self) -> dict[str, int]:
        """Return the JSON object."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }


class CompletionFormatter(ABC):
    """Builds the response bodies of one completion; subclassed for each kind."""

    completion_object: str
    chunk_object: str

    def __init__(self, metadata: CompletionMetadata):
        self._metadata = metadata

    def completion(
        self, text: str, reason: FinishReason, usage: Usage
    ) -> dict[str, Any]:
        """Return the body of a whole completion."""
        choice = {**self._completion_choice(text), "index": 0, "finish_reason": reason}
        body = self._build_body(self.completion_object, [choice])
        return {**body, "usage": usage.to_body()}

    def chunk(self, text: str, reason: FinishReason | None = None) -> bytes:
        """Return an event of a streamed completion; only the last has a reason."""
        choice = {**self._chunk_choice(text), "index": 0, "finish_reason": reason}
        return event_bytes(self._build_body(self.chunk_object, [choice]))

    def usage_chunk(self, usage: Usage) -> bytes:
        """Return the event that reports the usage at the end of a stream."""
        body = self._build_body(self.chunk_object, [])
        return event_bytes({**body, "usage": usage.to_body()})

    def _build_body(self, name: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
        metadata = self._metadata
        return {
            "id": metadata.id,
            "object": name,
            "created": metadata.created_s,
            "model": metadata.model,
            "choices": choices,
        }

    @abstractmethod
    def _completion_choice(self, text: str) -> dict[str, Any]:
        """Return the fields of a choice that hold a whole text."""

    @abstractmethod
    def _chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the fields of a choice that hold a part of a streamed text."""


_FORMATTERS: dict[CompletionKind, type[CompletionFormatter]] = {}


def create_formatter(
    kind: CompletionKind, metadata: CompletionMetadata
) -> CompletionFormatter:
    """Return the formatter of one completion."""
    return _FORMATTERS[kind](metadata)


def event_bytes(body: dict[str, Any]) -> bytes:
    """Return a JSON object as a server-sent event."""
    return f"data: {json.dumps(body, separators=(',', ':'))}\n\n".encode()


def _register_formatter(
    kind: CompletionKind,
) -> Callable[[type[CompletionFormatter]], type[CompletionFormatter]]:
    def register(
        formatter_class: type[CompletionFormatter],
    ) -> type[CompletionFormatter]:
        _FORMATTERS[kind] = formatter_class
        return formatter_class

    return register


@_register_formatter(CompletionKind.TEXT)
class TextFormatter(CompletionFormatter):
    """Formats responses of ``/v1/completions``."""

    completion_object = "text_completion"
    chunk_object = "text_completion"

    def _completion_choice(self, text: str) -> dict[str, Any]:
        return {"text": text, "logprobs": None}

    def _chunk_choice(self, text: str) -> dict[str, Any]:
        return {"text": text, "logprobs": None}


@_register_formatter(CompletionKind.CHAT)
class ChatFormatter(CompletionFormatter):
    """Formats responses of ``/v1/chat/completions``."""

    completion_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def _completion_choice(self, text: str) -> dict[str, Any]:
        return {"message": {"role": "assistant", "content": text}}

    def _chunk_choice(self, text: str) -> dict[str, Any]:
        return {"delta": {"role": "assistant", "content": text}}
