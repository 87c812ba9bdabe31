"""Turns at a resource that serves one user at a time, urgent ones first."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class PriorityTurns:
    """Gives turns by priority (0 first), then in the order of asking."""

    def __init__(self):
        self._waiting: list[tuple[int, int, asyncio.Event]] = []
        self._numbers = itertools.count()
        self._taken = False

    @asynccontextmanager
    async def take(self, priority: int) -> AsyncIterator[None]:
        """Hold the resource."""
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
