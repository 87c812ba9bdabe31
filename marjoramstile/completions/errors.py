"""Errors of completion requests, in the format of OpenAI's interface.

OpenAI's clients retry after 408, 409, 429 and 5xx by themselves, unless the response's
header ``x-should-retry`` overrides it.
"""

from typing import Any

from marjoramstile.fronts.buffers import BufferFullError
from marjoramstile.routes.requests import (
    OutcomeUnknownError,
    RefusalReason,
    RequestRefusedError,
)

REQUEST_ID = "x-request-id"
BAD_REQUEST = 400
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class CompletionError(Exception):
    """An error response to the caller.

    ``param`` names the faulty field. ``should_retry`` is true only if a retry would run
    the request for the first time. ``request_id`` is the request's id in the logs; None
    until the request has one.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        param: str | None = None,
        retry_after_s: float | None = None,
        should_retry: bool = False,
    ):
        super().__init__(message)
        self.request_id: str | None = None
        self.status = status
        self.code = code
        self.param = param
        self.retry_after_s = retry_after_s
        self.should_retry = should_retry

    @property
    def type(self) -> str:
        """OpenAI's type of the error: a fault of the request or of the server."""
        is_client_error = self.status < SERVER_ERROR
        return "invalid_request_error" if is_client_error else "server_error"

    def to_body(self) -> dict[str, Any]:
        """Return the JSON body."""
        return {
            "error": {
                "message": str(self),
                "type": self.type,
                "param": self.param,
                "code": self.code,
            }
        }

    def to_headers(self) -> dict[str, str]:
        """Return the headers that tell a client whether and when to retry."""
        headers = {"x-should-retry": "true" if self.should_retry else "false"}
        if self.retry_after_s is not None:
            headers["Retry-After"] = f"{self.retry_after_s:.3f}"
        if self.request_id is not None:
            headers[REQUEST_ID] = self.request_id
        return headers


def unknown_model_error(model: str) -> CompletionError:
    """Return the error for a model that no route leads to."""
    return CompletionError(
        NOT_FOUND,
        "model_not_found",
        f"the model {model!r} does not exist",
        param="model",
    )


def request_refused_error(error: RequestRefusedError) -> CompletionError:
    """Return the error for a request that has not run and will not run.

    One that crashes replicas is of no use before operators have looked at it.
    """
    is_quota = error.reason == RefusalReason.QUOTA
    return CompletionError(
        TOO_MANY_REQUESTS if is_quota else UNAVAILABLE,
        str(error.reason),
        "the request has not run; it may be sent again",
        retry_after_s=error.retry_after_s,
        should_retry=error.reason != RefusalReason.QUARANTINED,
    )


def outcome_unknown_error(error: OutcomeUnknownError) -> CompletionError:
    """Return the error for a request that may have run."""
    status = GATEWAY_TIMEOUT if error.timed_out else BAD_GATEWAY
    message = "no complete answer came; the request may have run"
    return CompletionError(status, "outcome_unknown", message)


def stream_broken_error() -> CompletionError:
    """Return the error for a response that broke off and can't be completed."""
    message = "the answer broke off and is not complete"
    return CompletionError(BAD_GATEWAY, "broken_off", message)


def answer_too_long_error(error: BufferFullError) -> CompletionError:
    """Return the error for a whole completion that exceeds its buffer or the budget."""
    return CompletionError(BAD_GATEWAY, "answer_too_long", str(error))
