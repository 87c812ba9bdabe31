"""Tells how long a caller has already waited from the patience that it states.

Callers state how long they will wait from now. Those who come for the first time
state one of a few usual values; those who come back state what is left of one.
"""

from collections import Counter, defaultdict

from marjoramstile.utils import MILLISECONDS_PER_S

# How often a value must have been stated to be usual.
USUAL_COUNT = 3
VALUES_KEPT = 512


class PatienceBook:
    """Usual values by route."""

    def __init__(self):
        self._counts: dict[str, Counter[int]] = defaultdict(Counter)

    def age_s(self, route: str, patience_s: float) -> float:
        """Note a stated patience and return how long the caller has waited before.

        The least usual value above it is taken for what the caller first stated;
        without one, the greatest value seen so far.
        """
        value = round(patience_s * MILLISECONDS_PER_S)
        counts = self._counts[route]
        counts[value] += 1
        self._forget(route)
        usual = [
            known
            for known, count in counts.items()
            if count >= USUAL_COUNT and known >= value
        ]
        stated = min(usual) if usual else max(counts)
        return (stated - value) / MILLISECONDS_PER_S

    def _forget(self, route: str) -> None:
        """Keep the values stated most often."""
        counts = self._counts[route]
        if len(counts) > VALUES_KEPT:
            self._counts[route] = Counter(dict(counts.most_common(VALUES_KEPT // 2)))
