"""A bound on the bytes of answers that slow callers have not taken yet.

Each connection's transport holds up to its high-water mark of them, so that a slow
caller doesn't hold the replica that answers it. Many slow callers together could exceed
the memory of the VM: then those with the most unsent bytes are cut off.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from marjoramstile.logs import get_logger

logger = get_logger(__name__)


class WritingConnection(Protocol):
    """A connection on which answers are sent."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not sent yet."""

    def cut_off_slow(self) -> None:
        """Close the connection at once, as its caller takes its answers too slowly."""


def slowest_beyond(sizes: Iterable[int], max_bytes: int) -> list[int]:
    """Return the indices of the largest sizes, so that the others fit ``max_bytes``.

    The load it answers: many callers that read slowly at once, among others that don't.
    """
    numbered = sorted(enumerate(sizes), key=lambda item: item[1], reverse=True)
    excess = sum(size for _, size in numbered) - max_bytes
    chosen = []
    for index, size in numbered:
        if excess <= 0:
            break
        chosen.append(index)
        excess -= size
    return chosen


class UnsentLimit:
    """Cuts off the slowest callers when all unsent bytes exceed ``max_bytes``.

    ``on_cut`` is called once for each.
    """

    def __init__(self, max_bytes: int, on_cut: Callable[[], None]):
        self._max_bytes = max_bytes
        self._on_cut = on_cut
        self._unsent = 0

    @property
    def unsent(self) -> int:
        """Unsent bytes of all connections at the last check."""
        return self._unsent

    def check(self, connections: Iterable[WritingConnection]) -> None:
        """Cut off what exceeds the bound; called periodically."""
        writing = [item for item in connections if item.unsent_bytes]
        sizes = [item.unsent_bytes for item in writing]
        self._unsent = sum(sizes)
        slowest = slowest_beyond(sizes, self._max_bytes)
        for index in slowest:
            writing[index].cut_off_slow()
            self._on_cut()
        if slowest:
            logger.warning(
                "slow_callers_cut",
                callers=len(slowest),
                unsent=self._unsent,
                limit=self._max_bytes,
            )
