"""Tests of metrics and of service-level burn."""

from marjoramstile.configuration.documents import LanguageService
from marjoramstile.entry.measuring import meets_targets
from marjoramstile.reports.burn import BurnReport, burn_rate
from marjoramstile.reports.metrics import COUNTERS_MAX, HISTOGRAMS_MAX, Metrics

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
