"""One bound for all bytes that a daemon keeps of bodies that it reads whole."""

from collections.abc import Iterator
from contextlib import contextmanager


class BufferFullError(Exception):
    """No more of a body can be kept."""


class BodyTooLongError(BufferFullError):
    """A body is longer than any may be."""


class BufferBudgetExceededError(BufferFullError):
    """Other bodies take the room at the moment."""


class BufferedBody:
    """The parts of one body; what they take of the budget is given back in the end."""

    def __init__(self, budget: "BufferBudget", max_bytes: int):
        self._budget = budget
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes so far."""
        return self._size

    def add(self, part: bytes) -> None:
        """Add a part; raises BodyTooLongError or BufferBudgetExceededError."""
        if self._size + len(part) > self._max_bytes:
            raise BodyTooLongError(f"more than {self._max_bytes} bytes")
        self._budget.reserve(len(part))
        self._parts.append(part)
        self._size += len(part)

    def whole(self) -> bytes:
        """Return all parts as one."""
        return b"".join(self._parts)

    def discard(self) -> None:
        """Drop the parts: an error's traceback may keep this object for long."""
        self._budget.release(self._size)
        self._parts.clear()
        self._size = 0


class BufferBudget:
    """Bytes of all bodies that are being read."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._used = 0

    @property
    def used(self) -> int:
        """Bytes kept now."""
        return self._used

    def reserve(self, count: int) -> None:
        """Count bytes; raises BufferBudgetExceededError if there are too many."""
        if self._used + count > self._max_bytes:
            raise BufferBudgetExceededError(
                f"{self._used} bytes of bodies are kept already"
            )
        self._used += count

    def release(self, count: int) -> None:
        """Uncount bytes that are no longer kept."""
        self._used -= count

    @contextmanager
    def body(self, max_bytes: int) -> Iterator[BufferedBody]:
        """Read one body of at most ``max_bytes``; its bytes count within the block."""
        body = BufferedBody(self, max_bytes)
        try:
            yield body
        finally:
            body.discard()
