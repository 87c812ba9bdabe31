"""Metrics of one daemon."""

from collections import Counter
from typing import Any

from ddsketch import LogCollapsingLowestDenseDDSketch

LOWEST_S = 1e-6
HIGHEST_S = 3600.0
# Largest error of a percentile, relative to the exact value.
RELATIVE_ERROR = 0.01
# Beyond these, the bins of the shortest durations are merged: the error bound holds
# for durations of up to 1 / 4,000,000 of the longest one.
BINS_MAX = 768
# A histogram takes at most 25 KB, a counter 0.2 KB.
HISTOGRAMS_MAX = 256
COUNTERS_MAX = 8192
PERCENTILES = (50, 90, 95, 99)


class Histogram:
    """Durations in seconds, in logarithmic bins."""

    def __init__(self):
        self._sketch = LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, BINS_MAX)

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._sketch.count)

    def record(self, duration_s: float) -> None:
        """Add a duration."""
        self._sketch.add(min(max(duration_s, LOWEST_S), HIGHEST_S))

    def percentile(self, percent: float) -> float:
        """Return the duration of nearest rank; there must be at least one."""
        rank = max(1, int(percent / 100 * self.count + 0.5))
        # The sketch counts ranks from 0 and takes the first that exceeds the quantile.
        quantile = (rank - 0.5) / max(1, self.count - 1)
        return self._sketch.get_quantile_value(min(1.0, quantile))


class Metrics:
    """Counters and latency histograms by name and service; durations in seconds.

    Routes come and go: of each kind, those that were used last are kept.
    """

    def __init__(self):
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str, service: str) -> None:
        """Add one to a counter."""
        self._counters[name, service] = self._counters.pop((name, service), 0) + 1
        if len(self._counters) > COUNTERS_MAX:
            del self._counters[next(iter(self._counters))]

    def value(self, name: str, service: str) -> int:
        """Return the value of a counter."""
        return self._counters[name, service]

    def observe(self, name: str, service: str, duration_s: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.pop((name, service), None)
        if histogram is None:
            histogram = Histogram()
        self._histograms[name, service] = histogram
        histogram.record(duration_s)
        if len(self._histograms) > HISTOGRAMS_MAX:
            del self._histograms[next(iter(self._histograms))]

    def snapshot(self) -> list[dict[str, Any]]:
        """Return all metrics as rows, counters first."""
        counters = [
            {"metric": name, "service": service, "count": count}
            for (name, service), count in sorted(self._counters.items())
        ]
        return counters + [
            self._summarize(name, service) for name, service in sorted(self._histograms)
        ]

    def _summarize(self, name: str, service: str) -> dict[str, Any]:
        histogram = self._histograms[name, service]
        row = {"metric": name, "service": service, "count": histogram.count}
        for percentile in PERCENTILES:
            row[f"p{percentile}_s"] = round(histogram.percentile(percentile), 6)
        return row
