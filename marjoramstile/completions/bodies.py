"""Parsing of those fields of completion requests that routing uses.

Replicas receive the caller's body unchanged and interpret all other fields.
"""

import json
from dataclasses import dataclass
from typing import Any

import orjson

from marjoramstile.completions.errors import BAD_REQUEST, CompletionError
from marjoramstile.routes.requests import GenerationSize

# Estimate for all models: each has its own tokenizer, but they all need about one token
# for four bytes of text.
BYTES_PER_TOKEN = 4
MAX_TOKENS_LIMIT = 65_536
# Output limits for requests that set none: OpenAI's default for text, our own for chat.
DEFAULT_TEXT_TOKENS = 16
DEFAULT_CHAT_TOKENS = 1024


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


def parse_text_body(data: bytes) -> CompletionBody:
    """Parse the body of ``POST /v1/completions``; raises CompletionError."""
    fields = _Fields(data)
    prompt = fields.get("prompt", str)
    if not prompt:
        raise _body_error("prompt", "must not be empty")
    return _build_body(fields, prompt, ("max_tokens",), DEFAULT_TEXT_TOKENS)


def parse_chat_body(data: bytes) -> CompletionBody:
    """Parse the body of ``POST /v1/chat/completions``; raises CompletionError."""
    fields = _Fields(data)
    messages = fields.get("messages", list)
    if not messages or not all(isinstance(item, dict) for item in messages):
        raise _body_error("messages", "must be a list of messages")
    text = json.dumps(messages, ensure_ascii=False)
    names = ("max_completion_tokens", "max_tokens")
    return _build_body(fields, text, names, DEFAULT_CHAT_TOKENS)


def _build_body(
    fields: "_Fields", prompt: str, limit_names: tuple[str, ...], default: int
) -> CompletionBody:
    if fields.get("n", int, 1) != 1:
        raise _body_error("n", "only one answer a request is given")
    options = fields.get("stream_options", dict, {})
    return CompletionBody(
        model=fields.get("model", str),
        prompt_bytes=len(prompt.encode("utf-8", "surrogatepass")),
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

    def __init__(self, data: bytes):
        try:
            values = orjson.loads(data)
        except ValueError as error:
            raise _body_error(None, "the body is not JSON") from error
        if not isinstance(values, dict):
            raise _body_error(None, "the body is not a JSON object")
        self._values: dict[str, Any] = values

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
        if is_bool_for_int or not isinstance(value, expected_type):
            raise _body_error(name, f"must be of type {expected_type.__name__}")
        return value


def _body_error(param: str | None, message: str) -> CompletionError:
    text = message if param is None else f"{param}: {message}"
    return CompletionError(BAD_REQUEST, "bad_body", text, param=param)
