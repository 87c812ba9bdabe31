"""Queue of news that ride on probes, each a bounded number of times."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

REPEAT_FACTOR = 3

Item = TypeVar("Item")


class GossipQueue(Generic[Item]):
    """Holds the newest item of each key until it was sent often enough."""

    def __init__(self):
        self._items: dict[Hashable, Item] = {}
        self._sent: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, key: Hashable, item: Item) -> None:
        """Queue ``item``; it replaces an older one of the same key."""
        self._items[key] = item
        self._sent[key] = 0

    def discard(self, key: Hashable) -> None:
        """Drop the item of a key."""
        self._items.pop(key, None)
        self._sent.pop(key, None)

    def take(self, limit: int, member_count: int) -> tuple[Item, ...]:
        """Return up to ``limit`` items, the least sent first, and count them sent."""
        enough = REPEAT_FACTOR * math.ceil(math.log2(member_count + 1))
        keys = sorted(self._items, key=self._sent.__getitem__)[:limit]
        items = tuple(self._items[key] for key in keys)
        for key in keys:
            self._sent[key] += 1
            if self._sent[key] >= enough:
                del self._items[key], self._sent[key]
        return items
