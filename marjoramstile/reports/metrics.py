"""Metrics of one daemon."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_S = 1_000_000
PERCENTILES = (50, 90, 95, 99)


class Metrics:
    """Counters and latency histograms by name and service; durations in seconds."""

    def __init__(self):
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str, service: str) -> None:
        """Add one to a counter."""
        self._counters[name, service] += 1

    def value(self, name: str, service: str) -> int:
        """Return the value of a counter."""
        return self._counters[name, service]

    def observe(self, name: str, service: str, duration_s: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get((name, service))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name, service] = histogram
        histogram.record_value(max(LOWEST_US, int(duration_s * MICROSECONDS_PER_S)))

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
