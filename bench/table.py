"""Turns results of ``python -m bench --json``, one per line, into a Markdown table."""

import json
import sys
from collections import defaultdict
from statistics import mean
from typing import Any

COLUMNS = ("goodput", "goodput_bound", "wasted_prefill", "late_whole")


def table(results: list[dict[str, Any]]) -> str:
    """Return rows by scenario and policy: mean and worst of all seeds."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    for result in results:
        groups[result["scenario"], result["policy"]].append(result)
    lines = [
        "| scenario | policy | seeds | goodput (worst) | bound | wasted (worst) "
        "| late whole (worst) | in time | refused | messages/request |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join(
        lines + [_row(*key, group) for key, group in sorted(groups.items())]
    )


def _row(scenario: str, policy: str, seed_results: list[dict[str, Any]]) -> str:
    means = {name: mean(result[name] for result in seed_results) for name in COLUMNS}
    in_time = mean(result["goodput_by_class"]["in_time"] for result in seed_results)
    refused = mean(sum(result["refusals"].values()) for result in seed_results)
    messages = mean(result["messages_per_request"] for result in seed_results)
    worst_waste = max(result["wasted_prefill"] for result in seed_results)
    cells = (
        scenario,
        policy,
        str(len(seed_results)),
        f"{means['goodput']:.3f} ({min(r['goodput'] for r in seed_results):.3f})",
        f"{means['goodput_bound']:.3f}",
        f"{means['wasted_prefill']:.4f} ({worst_waste:.4f})",
        f"{means['late_whole']:.3f} ({min(r['late_whole'] for r in seed_results):.3f})",
        f"{in_time:.3f}",
        f"{refused:.0f}",
        f"{messages:.1f}",
    )
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    print(table([json.loads(line) for line in sys.stdin if line.strip()]))
