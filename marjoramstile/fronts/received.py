"""Counts received bytes that are no part of a whole request yet, and bounds them.

aiohttp's parser bounds single lines and the number of fields, but not a whole head,
empty lines before it, or what surrounds the chunks of a body.
"""

from dataclasses import dataclass
from typing import Protocol

from marjoramstile.fronts.chunks import CHUNKS_START
from marjoramstile.routes.table import HEAD_MAX_BYTES, HEAD_TIMEOUT_S, EntryLimits

# A request line may have this size besides the header fields: servers should accept
# lines of at least 8,000 bytes (RFC 9112, section 3).
REQUEST_LINE_MAX_BYTES = 8192
# Time that a head may spend on its way, in addition to its timeout.
HEAD_MARGIN_S = 0.5
# Time for a caller's last request to arrive, in addition to the idle timeout.
IDLE_MARGIN_S = 1.0
# Longer than any idle time of the clients of the other listeners.
IDLE_TIMEOUT_S = 120.0
HEAD_END = b"\r\n\r\n"
# Fields of a head whose memory is not counted, and memory of each further one, however
# short it is.
FIELDS_UNCOUNTED = 64
FIELD_BYTES = 500
# Shortest field with its line end.
FIELD_MIN_BYTES = 4
# Framing that a body may have for each of its bytes, beside the size of a head. A chunk
# of one byte without extensions has five bytes of it, more with leading zeros.
FRAMING_PER_BYTE = 16
# Framing between two parts of a body that no timeout applies to. It is longer than the
# line of a chunk without extensions.
FRAMING_UNTIMED_BYTES = 64


@dataclass(frozen=True)
class ReadLimits:
    """Limits on what is read of a connection besides the bodies of requests.

    ``head_max_bytes`` includes the request line and what comes before it.
    """

    head_max_bytes: int
    head_timeout_s: float
    idle_timeout_s: float

    @classmethod
    def of(cls, limits: EntryLimits) -> "ReadLimits":
        """Return the limits that apply if callers keep within ``limits``."""
        return cls(
            limits.head_max_bytes + REQUEST_LINE_MAX_BYTES,
            limits.head_timeout_s + HEAD_MARGIN_S,
            limits.idle_timeout_s + IDLE_MARGIN_S,
        )


# Of listeners that the operator's configuration does not apply to.
DEFAULT_READ_LIMITS = ReadLimits(
    HEAD_MAX_BYTES + REQUEST_LINE_MAX_BYTES,
    HEAD_TIMEOUT_S + HEAD_MARGIN_S,
    IDLE_TIMEOUT_S,
)


class HeadCounter:
    """Counts the bytes of a head that is not whole, and of empty lines before it."""

    def __init__(self):
        self._size = 0
        self._lines = 0
        self._tail = b""

    @property
    def size(self) -> int:
        """Bytes received since the end of the last request."""
        return self._size

    @property
    def lines(self) -> int:
        """Lines received since the end of the last request."""
        return self._lines

    @property
    def memory_bytes(self) -> int:
        """Memory of what was received since the end of the last request."""
        return self._size + fields_memory_bytes(self._lines)

    def reset(self) -> None:
        """Begin anew, after the end of a request."""
        self._size = 0
        self._lines = 0
        self._tail = b""

    def find_chunks(self, part: bytes) -> int:
        """Return the size of a part up to the first chunk that follows a head's end.

        All of it if there is none.
        """
        match = CHUNKS_START.search(self._tail + part)
        return len(part) if match is None else match.end() - len(self._tail)

    def is_end(self, part: bytes) -> bool:
        """Return whether a part, which is not counted yet, ends a head."""
        return (self._tail + part).endswith(HEAD_END)

    def add(self, part: bytes, ended_heads: bool) -> None:
        """Count bytes; ``ended_heads`` tells that they completed one head or more.

        What follows the last of these heads belongs to the next one.
        """
        joined = self._tail + part
        self._tail = joined[1 - len(HEAD_END) :]
        if not ended_heads:
            self._size += len(part)
            self._lines += part.count(b"\n")
            return
        end = joined.rfind(HEAD_END)
        rest = b"" if end < 0 else joined[end + len(HEAD_END) :]
        self._size = len(rest)
        self._lines = rest.count(b"\n")


def fields_memory_bytes(fields: int) -> int:
    """Return the memory of a head's fields that is counted."""
    return max(0, fields - FIELDS_UNCOUNTED) * FIELD_BYTES


class FramingCounter:
    """Counts the bytes of a body's transfer coding: sizes, extensions, trailers."""

    def __init__(self):
        self._total = 0
        self._since_body = 0
        self._body = 0

    @property
    def is_timed(self) -> bool:
        """Whether the next part of the body has to arrive within the timeout."""
        return self._since_body > FRAMING_UNTIMED_BYTES

    def add(self, received: int, body: int) -> None:
        """Count received bytes, of which ``body`` were bytes of the body itself."""
        self._total = max(0, self._total + received - body)
        self._body += body
        self._since_body = 0 if body else self._since_body + received

    def exceeds(self, max_bytes: int) -> bool:
        """Return whether there is more framing than a body may have."""
        allowed = max_bytes + FRAMING_PER_BYTE * self._body
        return self._since_body > max_bytes or self._total > allowed


class InputHolder(Protocol):
    """A connection that holds bytes which no handler has taken."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""

    def drop_input(self) -> None:
        """Drop the bytes, read no more, and close as soon as nothing is in progress."""


class HeldBytes:
    """Bounds the bytes of all connections that no handler has taken.

    At the bound the connection that has held some for longest is closed; one with a
    request in progress only if there is no other.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._used = 0
        # In the order in which they began to hold bytes.
        self._holders: dict[InputHolder, int] = {}

    @property
    def used(self) -> int:
        """Bytes held by all connections."""
        return self._used

    def update(self, holder: InputHolder, count: int) -> None:
        """Set the number of bytes that a connection holds now."""
        self._used += count - self._holders.get(holder, 0)
        if count:
            self._holders[holder] = count
        else:
            self._holders.pop(holder, None)
        while self._used > self._max_bytes:
            dropped = self._choose()
            self._used -= self._holders.pop(dropped)
            dropped.drop_input()

    def _choose(self) -> InputHolder:
        idle = (holder for holder in self._holders if not holder.is_busy)
        return next(idle, next(iter(self._holders)))
