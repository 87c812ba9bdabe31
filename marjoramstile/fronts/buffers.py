"""A memory budget shared by all bodies that a daemon buffers in full."""

from collections.abc import Iterator
from contextlib import contextmanager


class BufferFullError(Exception):
    """A body can't be buffered any further."""


class BodyTooLongError(BufferFullError):
    """A body is longer than its own limit."""


class BufferBudgetExceededError(BufferFullError):
    """The shared budget is used up by other bodies at the moment."""


class BufferedBody:
    """The buffered chunks of one body, counted against a budget.

    Created by ``BufferBudget.body``, which discards it at the end of its block.
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

    def add(self, chunk: bytes) -> None:
        """Append a chunk; raises BodyTooLongError or BufferBudgetExceededError."""
        if self._size + len(chunk) > self._max_bytes:
            raise BodyTooLongError(f"more than {self._max_bytes} bytes")
        self._budget.reserve(len(chunk))
        self._chunks.append(chunk)
        self._size += len(chunk)

    def to_bytes(self) -> bytes:
        """Return all chunks joined."""
        return b"".join(self._chunks)

    def discard(self) -> None:
        """Drop the chunks and release their bytes.

        An exception's traceback may keep this object alive long after its use.
        """
        self._budget.release(self._size)
        self._chunks.clear()
        self._size = 0


class BufferBudget:
    """Limits the bytes of all bodies that are buffered at one time."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._used = 0

    @property
    def used(self) -> int:
        """Bytes buffered now."""
        return self._used

    def reserve(self, count: int) -> None:
        """Reserve bytes; raises BufferBudgetExceededError if too few are free."""
        if self._used + count > self._max_bytes:
            raise BufferBudgetExceededError(
                f"{self._used} bytes of bodies are kept already"
            )
        self._used += count

    def release(self, count: int) -> None:
        """Return bytes that are no longer buffered to the budget."""
        self._used -= count

    @contextmanager
    def body(self, max_bytes: int) -> Iterator[BufferedBody]:
        """Buffer one body of at most ``max_bytes``; released when the block ends."""
        body = BufferedBody(self, max_bytes)
        try:
            yield body
        finally:
            body.discard()
