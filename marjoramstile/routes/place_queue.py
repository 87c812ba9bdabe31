"""The queue of a service's requests that wait for room at decode replicas."""

import asyncio
import heapq
import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from marjoramstile.routes.admission import Urgency


@dataclass(order=True)
class WaitingPlace:
    """A request in the queue; ``turn`` is set while it is the first."""

    rank: tuple[int, int, float, int]
    turn: asyncio.Event = field(compare=False, default_factory=asyncio.Event)


class PlaceQueue:
    """Requests of one service that wait for room, the first of them asking."""

    def __init__(self):
        self._waiting: list[WaitingPlace] = []
        self._numbers = itertools.count()

    @property
    def length(self) -> int:
        """Requests waiting now, the asking one included."""
        return len(self._waiting)

    @asynccontextmanager
    async def entry(self, urgency: Urgency, priority: int, arrived: float):
        """Wait in the queue for as long as the block runs."""
        rank = (urgency, priority, arrived, next(self._numbers))
        waiting = WaitingPlace(rank)
        heapq.heappush(self._waiting, waiting)
        self._wake_first()
        try:
            yield waiting
        finally:
            self._waiting.remove(waiting)
            heapq.heapify(self._waiting)
            self._wake_first()

    def _wake_first(self) -> None:
        for waiting in self._waiting:
            if waiting is self._waiting[0]:
                waiting.turn.set()
            else:
                waiting.turn.clear()
