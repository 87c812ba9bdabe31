"""A memory budget shared by all bodies that a daemon buffers in full.

Long bodies may not use all of it: one that grows without end, or that its reader takes
slowly, leaves room for the short ones of everybody else.
"""

from collections.abc import Iterator
from contextlib import contextmanager

# Bodies up to this size may use the whole budget.
SHORT_BODY_BYTES = 65_536
# Share of the budget up to which longer bodies may grow.
LONG_BODIES_SHARE = 0.75


class BufferFullError(Exception):
    """A body can't be buffered any further."""


class BodyTooLongError(BufferFullError):
    """A body is longer than its own limit."""


class BufferBudgetExceededError(BufferFullError):
    """The shared budget is used up by other bodies at the moment."""


class BufferedBody:
    """The buffered chunks of one body, counted against a budget until discarded.

    That is at the end of a ``BufferBudget.body`` block, or when the last reference to
    a body of ``BufferBudget.open_body`` is dropped.
    """

    def __init__(self, budget: "BufferBudget", max_bytes: int):
        self._budget = budget
        self._max_bytes = max_bytes
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes buffered so far."""
        return self._size

    def check_length(self, length: int) -> None:
        """Raise BodyTooLongError if a body of this length is longer than its limit."""
        if length > self._max_bytes:
            raise BodyTooLongError(f"more than {self._max_bytes} bytes")

    def add(self, chunk: bytes) -> None:
        """Append a chunk; raises BodyTooLongError or BufferBudgetExceededError."""
        self.check_length(self._size + len(chunk))
        self._budget.reserve(self._size, len(chunk))
        self._chunks.append(chunk)
        self._size += len(chunk)

    def to_bytes(self) -> bytes:
        """Return all chunks joined; they are kept as one from then on."""
        if len(self._chunks) > 1:
            self._chunks = [b"".join(self._chunks)]
        return self._chunks[0] if self._chunks else b""

    def discard(self) -> None:
        """Drop the chunks and release their bytes.

        An exception's traceback may keep this object alive long after its use.
        """
        self._budget.release(self._size)
        self._chunks.clear()
        self._size = 0

    def __del__(self):
        self.discard()


class BufferBudget:
    """Limits the bytes of all bodies that are buffered at one time."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._used = 0

    @property
    def used(self) -> int:
        """Bytes buffered now."""
        return self._used

    def reserve(self, size: int, count: int) -> None:
        """Reserve more bytes for a body that has ``size`` of them.

        Raises BufferBudgetExceededError if too few are free.
        """
        is_short = size + count <= SHORT_BODY_BYTES
        share = 1.0 if is_short else LONG_BODIES_SHARE
        if self._used + count > share * self._max_bytes:
            raise BufferBudgetExceededError(
                f"{self._used} bytes of bodies are kept already"
            )
        self._used += count

    def release(self, count: int) -> None:
        """Return bytes that are no longer buffered to the budget."""
        self._used -= count

    def open_body(self, max_bytes: int) -> BufferedBody:
        """Return a body of at most ``max_bytes`` to be filled and kept."""
        return BufferedBody(self, max_bytes)

    @contextmanager
    def body(self, max_bytes: int) -> Iterator[BufferedBody]:
        """Buffer one body of at most ``max_bytes``; released when the block ends."""
        body = self.open_body(max_bytes)
        try:
            yield body
        finally:
            body.discard()
