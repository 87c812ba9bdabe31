"""Metrics of one daemon."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_S = 1_000_000
# A histogram takes about 27 KB, a counter 0.2 KB.
HISTOGRAMS_MAX = 256
COUNTERS_MAX = 8192
PERCENTILES = (50, 90, 95, 99)


class Metrics:
    """Counters and latency histograms by name and service; durations in seconds.

    Routes come and go: of each kind, those that were used last are kept.
    """

    def __init__(self):
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

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
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._histograms[name, service] = histogram
        histogram.record_value(max(LOWEST_US, int(duration_s * MICROSECONDS_PER_S)))
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
        row = {
            "metric": name,
            "service": service,
            "count": histogram.get_total_count(),
        }
        for percentile in PERCENTILES:
            value_us = histogram.get_value_at_percentile(percentile)
            row[f"p{percentile}_s"] = round(value_us / MICROSECONDS_PER_S, 6)
        return row
