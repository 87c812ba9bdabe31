"""Finds who is served far less often than all, from recent requests and grants."""

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

HALF_LIFE_S = 4.0
# Nobody may be served less than a quarter as often as all. Protection starts above
# that, as the counts are of few requests.
STARVED_FRACTION = 0.35
# Recent requests from which on somebody may count as starved.
MIN_ASKED = 2.0
# Most keys that are kept; the one that asked longest ago is forgotten.
MAX_KEYS = 8192


@dataclass
class _Counts:
    """Exponentially decaying counts of requests and of grants."""

    asked: float = 0.0
    granted: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the counts decay until now."""
        factor = math.exp2(-max(0.0, now - self.at) / HALF_LIFE_S)
        self.asked *= factor
        self.granted *= factor
        self.at = max(self.at, now)


class ServedRatios:
    """Fractions of the recent requests that were granted, by key and over all.

    Requests count when they are granted or refused. If those that wait counted as well,
    a flood would seem to be starved when it begins.
    """

    def __init__(self):
        self._by_key: OrderedDict[Hashable, _Counts] = OrderedDict()
        self._all = _Counts()

    def observe_asked(self, key: Hashable, now: float) -> None:
        """Add a request."""
        counts = self._by_key.get(key)
        if counts is None:
            counts = self._by_key[key] = _Counts(at=now)
            if len(self._by_key) > MAX_KEYS:
                self._by_key.popitem(last=False)
        self._by_key.move_to_end(key)
        for item in (counts, self._all):
            item.decay(now)
            item.asked += 1

    def observe_granted(self, key: Hashable, now: float) -> None:
        """Add a grant."""
        counts = self._by_key.get(key)
        if counts is None:
            return
        for item in (counts, self._all):
            item.decay(now)
            item.granted += 1

    def is_starved(self, key: Hashable) -> bool:
        """Return whether a key is served about a quarter as often as all, or less.

        All counts of a key decay alike, so the ratio doesn't depend on the time.
        """
        counts = self._by_key.get(key)
        if counts is None or counts.asked < MIN_ASKED:
            return False
        return counts.granted * self._all.asked < (
            STARVED_FRACTION * counts.asked * self._all.granted
        )
