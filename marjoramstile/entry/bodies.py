"""The JSON bodies of completions: validates requests and builds answers."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import Annotated, Any

from pydantic import (
    ConfigDict,
    Field,
    StrictBool,
    StrictInt,
    StrictStr,
    TypeAdapter,
    ValidationError,
)

from marjoramstile.configuration.documents import describe_fault
from marjoramstile.results import Failure, RequestFailedError, ResultCode

MAX_TOKENS_LIMIT = 65_536
DEFAULT_MAX_TOKENS = 16
STREAM_END = "data: [DONE]\n\n"


@dataclass(frozen=True)
class CompletionBody:
    """Body of a completion request; ``model`` names the service."""

    __pydantic_config__ = ConfigDict(extra="ignore")
    model: StrictStr
    prompt: Annotated[StrictStr, Field(min_length=1)]
    max_tokens: Annotated[StrictInt, Field(ge=1, le=MAX_TOKENS_LIMIT)] = (
        DEFAULT_MAX_TOKENS
    )
    stream: StrictBool = False


COMPLETION_FIELDS = frozenset(item.name for item in fields(CompletionBody))
_BODY_ADAPTER = TypeAdapter(CompletionBody)


def parse_completion_body(body: dict[str, Any]) -> CompletionBody:
    """Return the validated body of a request.

    Raises ``RequestFailedError`` with a message that names the first invalid field.
    """
    try:
        return _BODY_ADAPTER.validate_python(body)
    except ValidationError as error:
        message = describe_fault(error.errors()[0])
        raise RequestFailedError(Failure(ResultCode.BAD_BODY, message)) from error


def completion_answer(
    request_id: str, model: str, tokens: Sequence[str], prompt_tokens: int
) -> dict[str, Any]:
    """Return the body of a complete answer that isn't streamed."""
    body = _common_fields(request_id, model)
    body["choices"] = [
        {"index": 0, "text": "".join(tokens), "logprobs": None, "finish_reason": "stop"}
    ]
    body["usage"] = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(tokens),
        "total_tokens": prompt_tokens + len(tokens),
    }
    return body


def completion_event(request_id: str, model: str, text: str) -> str:
    """Return one server-sent event of a streamed answer."""
    body = _common_fields(request_id, model)
    body["choices"] = [{"index": 0, "text": text, "finish_reason": None}]
    return _server_sent_event(body)


def failure_event(failure: Failure) -> str:
    """Return the last event of a streamed answer that has failed."""
    return _server_sent_event(failure.to_body())


def _common_fields(request_id: str, model: str) -> dict[str, Any]:
    return {
        "id": request_id,
        "object": "text_completion",
        "created": int(time.time()),
        "model": model,
    }


def _server_sent_event(body: dict[str, Any]) -> str:
    return f"data: {json.dumps(body, separators=(',', ':'))}\n\n"
