"""Queue of items that are piggybacked on probes, each a bounded number of times."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

REPEAT_FACTOR = 3

Item = TypeVar("Item")


class GossipQueue(Generic[Item]):
    """Holds the newest item of each key until it has been sent a number of times.

    That number grows with the logarithm of the number of members.
    """

    def __init__(self):
        self._items: dict[Hashable, Item] = {}
        self._send_counts: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, key: Hashable, item: Item) -> None:
        """Queue ``item``; it replaces an older one of the same key."""
        self._items[key] = item
        self._send_counts[key] = 0

    def discard(self, key: Hashable) -> None:
        """Drop the item of a key."""
        self._items.pop(key, None)
        self._send_counts.pop(key, None)

    def take(self, limit: int, member_count: int) -> tuple[Item, ...]:
        """Return up to ``limit`` items, least sent first, and count them as sent."""
        send_limit = REPEAT_FACTOR * math.ceil(math.log2(member_count + 1))
        keys = sorted(self._items, key=self._send_counts.__getitem__)[:limit]
        items = tuple(self._items[key] for key in keys)
        for key in keys:
            self._send_counts[key] += 1
            if self._send_counts[key] >= send_limit:
                del self._items[key], self._send_counts[key]
        return items
