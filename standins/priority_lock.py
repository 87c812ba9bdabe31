"""Lock that is granted by priority."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class PriorityLock:
    """Grants exclusive access by priority (0 first), then in order of arrival."""

    def __init__(self):
        self._waiting: list[tuple[int, int, asyncio.Event]] = []
        self._numbers = itertools.count()
        self._locked = False

    @asynccontextmanager
    async def acquire(self, priority: int) -> AsyncIterator[None]:
        """Wait for the lock and hold it for the block."""
        granted = asyncio.Event()
        heapq.heappush(self._waiting, (priority, next(self._numbers), granted))
        self._wake_next()
        await granted.wait()
        try:
            yield
        finally:
            self._locked = False
            self._wake_next()

    def _wake_next(self) -> None:
        if self._waiting and not self._locked:
            self._locked = True
            heapq.heappop(self._waiting)[2].set()
