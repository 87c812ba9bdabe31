"""Header names of the platform's wire and what becomes of callers' headers."""

import math
from collections.abc import Iterable

from marjoramstile.routes.requests import GenerationSize, Headers
from marjoramstile.utils import MILLISECONDS_PER_S

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
TOKEN_COUNT = "X-Token-Count"
LENGTH_HINT = "X-Length-Hint"
EXPECT_INSTANCE = "X-Expect-Instance"
STAGE = "X-Stage"
KV_SOURCE = "X-Kv-Source"
KV_HOLD = "X-Kv-Hold"
PRIORITY = "X-Request-Priority"
LAST_EVENT_ID = "Last-Event-Id"
NOT_EXECUTED = "X-Not-Executed"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"

# Longest whole number that is read, in digits; longer ones fit no field.
DIGITS_MAX = 15

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# Set by the router alone; copies that a caller sends are dropped.
_ROUTER_ONLY = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        PRIORITY,
        "X-Kv-Backup",
        "X-Pin-Ms",
        "X-Expect-Version",
        "Kv-Fetch",
        "Wait-Ms",
    )
)


def _connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Return the headers that the sender's Connection header names."""
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }


def forwarded_request_headers(headers: Headers) -> Headers:
    """Return the caller's headers that go to a replica."""
    dropped = _HOP_BY_HOP | _ROUTER_ONLY | _connection_options(headers)
    return tuple(item for item in headers if item[0].lower() not in dropped)


def forwarded_answer_headers(headers: Headers) -> Headers:
    """Return the replica's headers that go to the caller."""
    dropped = _HOP_BY_HOP | _connection_options(headers)
    return tuple(item for item in headers if item[0].lower() not in dropped)


def first_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


def generation_size(headers: Headers) -> GenerationSize | None:
    """Return the size that a generation's headers state; None without them."""
    counts = first_value(headers, TOKEN_COUNT)
    if counts is None:
        return None
    prompt, _, max_output = counts.partition(",")
    prompt = _whole_number(prompt)
    max_output = _whole_number(max_output)
    if prompt is None or max_output is None:
        return None
    hint = _positive_number(first_value(headers, LENGTH_HINT))
    expected = max_output if hint is None else min(hint, max_output)
    return GenerationSize(prompt, max_output, max(1, int(expected)))


def generation_headers(request_id: str, size: GenerationSize) -> Headers:
    """Return the headers that tell a replica a generation's id and size."""
    return (
        (REQUEST_ID, request_id),
        (TOKEN_COUNT, f"{size.prompt},{size.max_output}"),
        (LENGTH_HINT, str(size.expected_output)),
    )


def resume_after(headers: Headers) -> int | None:
    """Return the last event that the caller has received."""
    return _whole_number(first_value(headers, LAST_EVENT_ID))


def time_left_s(headers: Headers) -> float | None:
    """Return for how many seconds the caller will wait, as far as it says so."""
    patience_ms = _positive_number(first_value(headers, DEADLINE_MS))
    return None if patience_ms is None else patience_ms / MILLISECONDS_PER_S


def _whole_number(text: str | None) -> int | None:
    """Return a number of decimal digits; None for anything else."""
    digits = (text or "").strip()
    if not digits.isascii() or not digits.isdecimal() or len(digits) > DIGITS_MAX:
        return None
    return int(digits)


def _positive_number(text: str | None) -> float | None:
    """Return a finite number above 0; None for anything else."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if 0 < number < math.inf else None
