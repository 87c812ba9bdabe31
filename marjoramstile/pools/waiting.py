"""Requests that wait for a place, in the order in which they are placed."""

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from marjoramstile.pools.decisions import Generation, mean_tokens
from marjoramstile.pools.messages import PlacementRequest, Urgency

# A waiting request whose daemon stopped asking is dropped.
POLL_TIMEOUT_S = 0.45


@dataclass(order=True)
class WaitingRequest:
    """A request in the queue until ``until``.

    ``output_tokens`` is the answer that is expected. ``polled_at`` is when its daemon
    last asked; None if it needs not ask.
    """

    rank: tuple[int, int, float, int]
    request: PlacementRequest = field(compare=False)
    urgency: Urgency = field(compare=False)
    output_tokens: int = field(compare=False)
    queued_at: float = field(compare=False)
    deadline: float = field(compare=False)
    polled_at: float | None = field(compare=False)

    @property
    def tokens(self) -> int:
        """Memory that the generation is expected to have, in the mean of its run."""
        return mean_tokens(self.request.prompt_tokens, self.output_tokens)

    @property
    def generation(self) -> Generation:
        """The generation as it would begin."""
        return Generation(
            self.request.prompt_tokens, self.output_tokens, self.output_tokens
        )


class RequestQueue:
    """Waiting requests by urgency, priority and time of arrival."""

    def __init__(self):
        self._items: list[WaitingRequest] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._items)

    def __contains__(self, waiting: WaitingRequest) -> bool:
        return waiting in self._items

    @property
    def prompt_tokens(self) -> int:
        """Tokens of all prompts that wait."""
        return sum(item.request.prompt_tokens for item in self._items)

    def rank(
        self, request: PlacementRequest, urgency: Urgency, now: float
    ) -> tuple[int, int, float, int]:
        """Return the rank of a request that comes now."""
        arrived = now - request.waited_s
        return urgency, request.priority, arrived, next(self._numbers)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request at its rank."""
        bisect.insort(self._items, waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request."""
        self._items.remove(waiting)

    def find(self, request_id: str) -> WaitingRequest | None:
        """Return a request by the id of its place."""
        return next(
            (item for item in self._items if item.request.id == request_id), None
        )

    def first(self, count: int) -> list[WaitingRequest]:
        """Return the first few."""
        return self._items[:count]

    def ahead_of(self, waiting: WaitingRequest) -> list[WaitingRequest]:
        """Return those that are placed before a request."""
        return [item for item in self._items if item.rank < waiting.rank]

    def cancel(self, request_id: str) -> None:
        """Drop a request by the id of its place."""
        self._items = [item for item in self._items if item.request.id != request_id]

    def drop_abandoned(self, now: float) -> None:
        """Drop requests whose daemon has stopped asking."""
        self._items = [
            item
            for item in self._items
            if item.polled_at is None or now - item.polled_at <= POLL_TIMEOUT_S
        ]

    def overdue(self, now: float) -> list[WaitingRequest]:
        """Return those that have waited for as long as they may."""
        return [item for item in self._items if now >= item.deadline]
