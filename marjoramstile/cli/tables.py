"""Rows as text tables."""

from typing import Any

from tabulate import tabulate


def format_rows(rows: list[dict[str, Any]]) -> str:
    """Return rows as an aligned table with a header."""
    if not rows:
        return "(no rows)"
    return tabulate(rows, headers="keys", missingval="-")
