"""Tests of metrics and of service-level burn."""

import random
import tracemalloc

import pytest

from marjoramstile.configuration.documents import LanguageService
from marjoramstile.entry.measuring import meets_targets
from marjoramstile.reports.burn import BurnReport, burn_rate
from marjoramstile.reports.metrics import (
    COUNTERS_MAX,
    HIGHEST_S,
    HISTOGRAMS_MAX,
    LOWEST_S,
    PERCENTILES,
    RELATIVE_ERROR,
    Histogram,
    Metrics,
)

SERVICE = LanguageService("m", "p", "d")


def test_burn_is_one_when_bad_answers_come_as_fast_as_allowed():
    assert burn_rate(100, 5) == 1.0
    assert burn_rate(100, 0) == 0.0
    assert burn_rate(0, 0) == 0.0


def test_burn_ignores_answers_older_than_its_window():
    report = BurnReport()
    report.record("s", "in_time", good=False, now=0.0)
    report.record("s", "in_time", good=True, now=1000.0)
    rows = {row.window: (row.total, row.bad) for row in report.rows(1000.0)}
    assert rows == {"5m": (1, 0), "1h": (2, 1), "6h": (2, 1)}


def test_histograms_give_percentiles():
    metrics = Metrics()
    for number in range(1, 101):
        metrics.observe("ttft", "s", number / 1000)
    (row,) = metrics.snapshot()
    assert row["count"] == 100
    assert 0.094 <= row["p95_s"] <= 0.096


@pytest.mark.parametrize("count", [1, 2, 3, 10, 100, 5000])
def test_percentiles_are_those_of_nearest_rank_within_the_error(count):
    draws = random.Random(count)
    durations = sorted(draws.lognormvariate(-2, 2) for _ in range(count))
    histogram = Histogram()
    for duration_s in durations:
        histogram.record(duration_s)
    assert histogram.count == count
    for percent in PERCENTILES:
        exact_s = durations[max(1, int(percent / 100 * count + 0.5)) - 1]
        error_s = abs(histogram.percentile(percent) - exact_s)
        assert error_s <= exact_s * RELATIVE_ERROR * (1 + 1e-9)


def test_durations_beyond_the_range_are_counted_at_its_ends():
    histogram = Histogram()
    for duration_s in (-1.0, 0.0, 1e9):
        histogram.record(duration_s)
    assert histogram.count == 3
    assert histogram.percentile(1) <= histogram.percentile(50) <= 0.001
    assert histogram.percentile(99) == pytest.approx(HIGHEST_S, rel=RELATIVE_ERROR)


def test_a_histogram_of_all_durations_stays_within_its_memory():
    draws = random.Random(1)
    tracemalloc.start()
    try:
        histogram = Histogram()
        for _ in range(20_000):
            histogram.record(LOWEST_S * (HIGHEST_S / LOWEST_S) ** draws.random())
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert histogram.count == 20_000
    assert taken_bytes <= 27_000


def test_metrics_of_routes_that_are_no_longer_used_take_memory():
    """Each route ever used kept a histogram: 100 MB after eleven configurations."""
    metrics = Metrics()
    for number in range(COUNTERS_MAX + 500):
        metrics.count("requests_200", f"r{number}")
        metrics.count("requests_200", "kept")
    for number in range(HISTOGRAMS_MAX + 50):
        metrics.observe("request_duration", f"r{number}", 0.1)
        metrics.observe("request_duration", "kept", 0.1)
    rows = metrics.snapshot()
    assert len(rows) == COUNTERS_MAX + HISTOGRAMS_MAX
    kept = [row["count"] for row in rows if row["service"] == "kept"]
    assert kept == [COUNTERS_MAX + 500, HISTOGRAMS_MAX + 50]


def test_an_answer_meets_its_targets_or_not():
    assert meets_targets(SERVICE, 0.0, [0.5, 0.55, 0.6])
    assert not meets_targets(SERVICE, 0.0, [0.7, 0.75])
    assert not meets_targets(SERVICE, 0.0, [0.5, 0.6])
    assert not meets_targets(SERVICE, 0.0, [])
