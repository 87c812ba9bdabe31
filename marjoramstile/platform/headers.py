"""Names of the platform's HTTP headers; parsing and forwarding of headers."""

import math
from collections.abc import Iterable

from multidict import CIMultiDict

from marjoramstile.routes.requests import GenerationSize, Headers
from marjoramstile.utils import MILLISECONDS_PER_S

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
TOKEN_COUNT = "X-Token-Count"
LENGTH_HINT = "X-Length-Hint"
PROMPT_PARTS = "X-Prefix-Hash"
EXPECT_INSTANCE = "X-Expect-Instance"
STAGE = "X-Stage"
KV_SOURCE = "X-Kv-Source"
KV_HOLD = "X-Kv-Hold"
PRIORITY = "X-Request-Priority"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
NOT_EXECUTED = "X-Not-Executed"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"
AUTHORIZATION = "Authorization"
# The name of the caller's workspace.
TENANT = "X-Tenant"
# Between VMs: for which VM a request is carried, how many replicas may run it, and the
# result code of the carrier's own failure.
CARRIED_FOR = "Marjoramstile-Carried-For"
CARRIED_RUNS = "Marjoramstile-Carried-Runs"
CARRIER_RESULT = "Marjoramstile-Result"

# Longest id of a request that is read, in characters.
REQUEST_ID_MAX = 128
# Longest whole number accepted, in digits; no field can hold a longer one.
DIGITS_MAX = 15
# Parts of a prompt that are read, and the longest id of one, in characters.
PARTS_MAX = 64
PART_ID_MAX = 64

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
# Set only by the router; dropped from callers' requests. Credentials are kept apart
# from the other headers, as not all replicas get them.
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
        TENANT,
        AUTHORIZATION,
        CARRIED_FOR,
        CARRIED_RUNS,
    )
)

# Set only by carriers; dropped from replicas' answers.
_CARRIER_ONLY = frozenset({CARRIER_RESULT.lower()})


def _connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Return the lower-case names of headers listed in the Connection header."""
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }


def forwarded_request_headers(headers: Headers) -> Headers:
    """Return the caller's headers to forward to a replica."""
    dropped = _HOP_BY_HOP | _ROUTER_ONLY | _connection_options(headers)
    return tuple(item for item in headers if item[0].lower() not in dropped)


def forwarded_response_headers(headers: Headers) -> Headers:
    """Return the replica's headers to forward to the caller."""
    dropped = _HOP_BY_HOP | _CARRIER_ONLY | _connection_options(headers)
    return tuple(item for item in headers if item[0].lower() not in dropped)


def first_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header; None if it is absent."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


def credentials(headers: Headers) -> tuple[str, ...]:
    """Return the values of all Authorization headers."""
    wanted = AUTHORIZATION.lower()
    return tuple(value for name, value in headers if name.lower() == wanted)


def add_credentials(target: CIMultiDict[str], values: tuple[str, ...]) -> None:
    """Add a caller's credentials to the headers of a request that is sent on."""
    for value in values:
        target.add(AUTHORIZATION, value)


def generation_size(headers: Headers) -> GenerationSize | None:
    """Return the size stated in a generation's headers; None if absent or invalid."""
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
    """Return the headers that state a generation's id and size to a replica."""
    return (
        (REQUEST_ID, request_id),
        (TOKEN_COUNT, f"{size.prompt},{size.max_output}"),
        (LENGTH_HINT, str(size.expected_output)),
    )


def shared_parts(headers: Headers) -> tuple[str, ...]:
    """Return the ids of a prompt's parts in order, without the last, its own one.

    The header lists ID:TOKENS entries. Returns nothing if one of them is malformed.
    """
    entries = (first_value(headers, PROMPT_PARTS) or "").split(",")[:-1]
    ids = [entry.partition(":")[0].strip().lower() for entry in entries[:PARTS_MAX]]
    if not all(0 < len(id_) <= PART_ID_MAX and id_.isalnum() for id_ in ids):
        return ()
    return tuple(dict.fromkeys(ids))


def resume_after(headers: Headers) -> int | None:
    """Return the id of the last event that the caller received, if stated."""
    return _whole_number(first_value(headers, LAST_EVENT_ID))


def resumed_id(headers: Headers) -> str | None:
    """Return the id of the attempt that brought the first event of a stream.

    None if the caller names none, or what can't be one.
    """
    named = (first_value(headers, RESUMES) or "").strip()
    if not 0 < len(named) <= REQUEST_ID_MAX or not named.isprintable():
        return None
    return named


def carried_runs(headers: Headers) -> int | None:
    """Return how many replicas may run a carried request; None if it isn't carried."""
    if not first_value(headers, CARRIED_FOR):
        return None
    return max(1, _whole_number(first_value(headers, CARRIED_RUNS)) or 1)


def time_left_s(headers: Headers) -> float | None:
    """Return how long the caller waits for the response, in seconds, if stated."""
    time_left_ms = _positive_number(first_value(headers, DEADLINE_MS))
    return None if time_left_ms is None else time_left_ms / MILLISECONDS_PER_S


def request_limit(text: str | None) -> float | None:
    """Parse a limit in requests a second; None if absent or not a number from 0 up."""
    try:
        per_s = float(text or "")
    except ValueError:
        return None
    return per_s if 0 <= per_s < math.inf else None


def _whole_number(text: str | None) -> int | None:
    """Parse a whole number of at most DIGITS_MAX digits; None for anything else."""
    digits = (text or "").strip()
    if not digits.isascii() or not digits.isdecimal() or len(digits) > DIGITS_MAX:
        return None
    return int(digits)


def _positive_number(text: str | None) -> float | None:
    """Parse a finite number above 0; None for anything else."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if 0 < number < math.inf else None
