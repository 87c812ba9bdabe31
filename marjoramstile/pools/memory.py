"""Memory that generations use until they end, as pure computations.

All generations of a replica are assumed to add tokens at the same rate; each frees its
memory at its end.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter

# Average fraction of its output that a generation has in memory, plus a margin.
MEAN_OUTPUT_FRACTION = 0.6

_remaining = attrgetter("remaining")


@dataclass(frozen=True)
class Generation:
    """Memory of a running or future generation, in tokens.

    ``tokens`` is its memory now, ``remaining`` what it is still expected to add, and
    ``output_tokens`` the expected length of its whole output.
    """

    tokens: int
    remaining: int
    output_tokens: int


def mean_tokens(prompt: int, output: int) -> int:
    """Return the memory of a generation in tokens, averaged over its duration."""
    return prompt + round(MEAN_OUTPUT_FRACTION * output)


def peak_tokens(generations: Iterable[Generation]) -> int:
    """Return the largest memory, in tokens, that generations will use together."""
    return GenerationGroup(generations).peak


class GenerationGroup:
    """The generations of one replica, prepared for questions about one more.

    The load it answers: a long queue, each of whose requests asks all replicas. The
    peaks are kept so that a question takes a binary search only.
    """

    __slots__ = (
        "_first_peaks",
        "_items",
        "_last_growths",
        "_squared_outputs",
        "_sums",
        "ends",
        "size",
    )

    def __init__(self, generations: Iterable[Generation]):
        items = sorted(generations, key=_remaining, reverse=True)
        self._items = items
        self.size = len(items)
        # Tokens that each generation adds until one ends, for each end in order.
        self.ends = [item.remaining for item in reversed(items)]
        self._squared_outputs = sum(item.output_tokens**2 for item in items)
        # Memory now of the first 0, 1, ... generations, those that end last first.
        self._sums = [0]
        # Largest memory at the ends of the first 0, 1, ... generations.
        self._first_peaks = [0]
        peaks = []
        for count, item in enumerate(items, start=1):
            self._sums.append(self._sums[-1] + item.tokens)
            peaks.append(self._sums[-1] + count * item.remaining)
            self._first_peaks.append(max(self._first_peaks[-1], peaks[-1]))
        # Largest memory at the ends from each index on, with one more that adds tokens.
        self._last_growths = [0] * (self.size + 1)
        for index in range(self.size - 1, -1, -1):
            grown = peaks[index] + items[index].remaining
            self._last_growths[index] = max(grown, self._last_growths[index + 1])

    @property
    def tokens(self) -> int:
        """Memory now, in tokens."""
        return self._sums[-1]

    @property
    def peak(self) -> int:
        """Largest memory, in tokens, that the generations will use together."""
        return self._first_peaks[-1]

    def peak_with(self, added: Generation) -> int:
        """Return the largest memory, in tokens, if one more generation runs."""
        sooner = bisect_left(self.ends, added.remaining)
        later = self.size - sooner
        own = self._sums[later] + added.tokens + (later + 1) * added.remaining
        peak = max(self._first_peaks[later], own)
        if sooner:
            peak = max(peak, self._last_growths[later] + added.tokens)
        return peak

    def output_deviation(self, added: Generation, spread: float) -> float:
        """Return the standard deviation of all outputs, in tokens, with one more.

        ``spread`` is that of one output relative to its expected length.
        """
        return spread * math.sqrt(self._squared_outputs + added.output_tokens**2)

    def after(self, tokens: int) -> "GenerationGroup":
        """Return the generations that still run when each has added ``tokens``."""
        return GenerationGroup(
            Generation(
                item.tokens + tokens, item.remaining - tokens, item.output_tokens
            )
            for item in self._items
            if item.remaining > tokens
        )
