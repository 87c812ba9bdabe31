"""Parsing of those fields of completion requests that routing uses.

Replicas receive the caller's body unchanged and interpret all other fields.
"""

import json
from dataclasses import dataclass
from typing import Any

from marjoramstile.completions.errors import BAD_REQUEST, CompletionError
from marjoramstile.fronts.json_bodies import (
    ScanError,
    ScannedList,
    parse_object,
    parse_whole,
)
from marjoramstile.fronts.turns import Turns
from marjoramstile.routes.requests import GenerationSize

# Estimate for all models: each has its own tokenizer, but they all need about one token
# for four bytes of text.
BYTES_PER_TOKEN = 4
MAX_TOKENS_LIMIT = 65_536
# Output limits for requests that set none: OpenAI's default for text, our own for chat.
DEFAULT_TEXT_TOKENS = 16
DEFAULT_CHAT_TOKENS = 1024
# The fields that routing uses.
_NAMES = frozenset(
    {
        "model",
        "prompt",
        "messages",
        "max_tokens",
        "max_completion_tokens",
        "n",
        "stream",
        "stream_options",
    }
)


@dataclass(frozen=True)
class CompletionBody:
    """The parsed fields of a completion request.

    ``prompt_bytes`` is the UTF-8 length of the prompt, or of a chat's messages as JSON.
    """

    model: str
    prompt_bytes: int
    max_tokens: int
    stream: bool
    include_usage: bool

    @property
    def size(self) -> GenerationSize:
        """The generation's size; its prompt tokens are estimated from the bytes."""
        prompt = max(1, -(-self.prompt_bytes // BYTES_PER_TOKEN))
        return GenerationSize(prompt, self.max_tokens, self.max_tokens)


async def parse_fields(data: bytes, turns: Turns) -> dict[str, Any]:
    """Return the fields of a body, those that routing uses at least.

    Lists of a body with many values are not parsed, only measured, by ``turns``. Raises
    CompletionError, and BufferBudgetExceededError if there are too many such bodies.
    """
    try:
        return await parse_object(data, _NAMES, turns)
    except ScanError as error:
        raise _body_error(None, str(error)) from error


def parse_text_body(body: bytes | dict[str, Any]) -> CompletionBody:
    """Parse the body of ``POST /v1/completions``, or its fields.

    Raises CompletionError.
    """
    fields = _Fields(body)
    prompt = fields.get("prompt", str)
    if not prompt:
        raise _body_error("prompt", "must not be empty")
    prompt_bytes = len(prompt.encode("utf-8", "surrogatepass"))
    return _build_body(fields, prompt_bytes, ("max_tokens",), DEFAULT_TEXT_TOKENS)


def parse_chat_body(body: bytes | dict[str, Any]) -> CompletionBody:
    """Parse the body of ``POST /v1/chat/completions``, or its fields.

    Raises CompletionError.
    """
    fields = _Fields(body)
    messages_bytes = _messages_bytes(fields.get("messages", list))
    names = ("max_completion_tokens", "max_tokens")
    return _build_body(fields, messages_bytes, names, DEFAULT_CHAT_TOKENS)


def _messages_bytes(messages: list | ScannedList) -> int:
    """Return the bytes of a chat's messages as JSON."""
    if isinstance(messages, ScannedList):
        if messages.is_empty or not messages.holds_objects:
            raise _body_error("messages", "must be a list of messages")
        return messages.size_bytes
    if not messages or not all(isinstance(item, dict) for item in messages):
        raise _body_error("messages", "must be a list of messages")
    try:
        text = json.dumps(messages, ensure_ascii=False)
    except RecursionError as error:
        raise _body_error("messages", "are nested too deep") from error
    return len(text.encode("utf-8", "surrogatepass"))


def _build_body(
    fields: "_Fields", prompt_bytes: int, limit_names: tuple[str, ...], default: int
) -> CompletionBody:
    if fields.get("n", int, 1) != 1:
        raise _body_error("n", "only one answer a request is given")
    options = fields.get("stream_options", dict, {})
    return CompletionBody(
        model=fields.get("model", str),
        prompt_bytes=prompt_bytes,
        max_tokens=_max_tokens(fields, limit_names, default),
        stream=fields.get("stream", bool, False),
        include_usage=options.get("include_usage") is True,
    )


def _max_tokens(fields: "_Fields", names: tuple[str, ...], default: int) -> int:
    """Return the first of the fields ``names`` that is set, else the default."""
    for name in names:
        limit = fields.get(name, int, 0)
        if fields.has(name):
            if not 1 <= limit <= MAX_TOKENS_LIMIT:
                raise _body_error(name, f"must be from 1 to {MAX_TOKENS_LIMIT}")
            return limit
    return default


class _Fields:
    """The fields of a JSON object, checked on access; null counts as absent."""

    def __init__(self, body: bytes | dict[str, Any]):
        """``body`` is JSON, or what ``parse_fields`` returned."""
        try:
            self._values = parse_whole(body) if isinstance(body, bytes) else body
        except ScanError as error:
            raise _body_error(None, str(error)) from error

    def has(self, name: str) -> bool:
        """Return whether a field is present."""
        return self._values.get(name) is not None

    def get(self, name: str, expected_type: type, default: Any = None) -> Any:
        """Return a field, or the default if it is absent.

        Raises CompletionError if the field has another type, or is absent and has no
        default.
        """
        value = self._values.get(name)
        if value is None:
            value = default
        if value is None:
            raise _body_error(name, "is missing")
        is_bool_for_int = expected_type is int and isinstance(value, bool)
        found = list if isinstance(value, ScannedList) else type(value)
        if is_bool_for_int or not issubclass(found, expected_type):
            raise _body_error(name, f"must be of type {expected_type.__name__}")
        return value


def _body_error(param: str | None, message: str) -> CompletionError:
    text = message if param is None else f"{param}: {message}"
    return CompletionError(BAD_REQUEST, "bad_body", text, param=param)
