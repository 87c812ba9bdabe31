"""Metrics in the Prometheus text exposition format."""

from typing import Any

PREFIX = "marjoramstile_"
_QUANTILES = {"p50_s": "0.5", "p90_s": "0.9", "p95_s": "0.95", "p99_s": "0.99"}


def exposition_text(rows: list[dict[str, Any]]) -> str:
    """Return counters and latency summaries, one sample a line."""
    lines: list[str] = []
    for row in rows:
        lines.extend(_samples(row))
    return "\n".join(lines) + "\n"


def _samples(row: dict[str, Any]) -> list[str]:
    name = PREFIX + row["metric"]
    label = _escape(row["service"])
    if "p50_s" not in row:
        return [f'{name}_total{{service="{label}"}} {row["count"]}']
    samples = [
        f'{name}_seconds{{service="{label}",quantile="{quantile}"}} {row[field]}'
        for field, quantile in _QUANTILES.items()
    ]
    samples.append(f'{name}_seconds_count{{service="{label}"}} {row["count"]}')
    return samples


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
