"""Lock that is granted by priority."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class PriorityTurns:
    """Grants exclusive access by priority (0 first), then in order of arrival."""

    def __init__(self):
        self._waiting: list[tuple[int, int, asyncio.Event]] = []
        self._numbers = itertools.count()
        self._taken = False

    @asynccontextmanager
    async def take(self, priority: int) -> AsyncIterator[None]:
        """Wait for the lock and hold it for the block."""
        turn = asyncio.Event()
        heapq.heappush(self._waiting, (priority, next(self._numbers), turn))
        self._pass_on()
        await turn.wait()
        try:
            yield
        finally:
            self._taken = False
            self._pass_on()

    def _pass_on(self) -> None:
        if self._waiting and not self._taken:
            self._taken = True
            heapq.heappop(self._waiting)[2].set()
