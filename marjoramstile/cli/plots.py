"""Plots of report rows."""

from pathlib import Path
from typing import Any

FIGURE_INCHES = (8, 4)
SUSTAINABLE_BURN = 1.0


def plot_burn(rows: list[dict[str, Any]], path: Path) -> None:
    """Write a bar chart of burn rates by service and window."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=FIGURE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    names = list(dict.fromkeys(_label(row) for row in rows))
    windows = list(dict.fromkeys(row["window"] for row in rows))
    width = 0.8 / max(1, len(windows))
    for index, window in enumerate(windows):
        rates = {
            _label(row): row["burn_rate"] for row in rows if row["window"] == window
        }
        positions = [tick + index * width for tick in range(len(names))]
        axes.bar(positions, [rates.get(name, 0) for name in names], width, label=window)
    axes.axhline(SUSTAINABLE_BURN, linestyle="--", color="black", linewidth=1)
    label_offset = width * (len(windows) - 1) / 2
    axes.set_xticks([tick + label_offset for tick in range(len(names))], names)
    axes.set_ylabel("burn rate (1 = error budget used exactly)")
    if windows:
        axes.legend(title="window")
    figure.savefig(path)


def _label(row: dict[str, Any]) -> str:
    return f"{row['service']}\n{row['service_class']}"
