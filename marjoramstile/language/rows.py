"""Filters, orders and limits the rows of a query."""

from collections.abc import Callable, Sequence
from fnmatch import fnmatchcase
from operator import eq, ge, gt, le, lt, ne
from typing import Any

from result import Err, Ok, Result

from marjoramstile.language.parser import closest_match
from marjoramstile.language.registry import Row
from marjoramstile.language.statements import Condition, Show, StatementError


def _like(value: Any, pattern: Any) -> bool:
    return fnmatchcase(str(value), str(pattern))


OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "=": eq,
    "!=": ne,
    "<": lt,
    "<=": le,
    ">": gt,
    ">=": ge,
    "like": _like,
}


def select(rows: Sequence[Row], show: Show) -> Result[list[Row], StatementError]:
    """Return the rows that ``show`` selects, or an error if a field is unknown."""
    fields = tuple(dict.fromkeys(field for row in rows for field in row))
    used = [condition.field for condition in show.conditions]
    if show.order_by:
        used.append(show.order_by)
    for field in used:
        if rows and field not in fields:
            message = f"{show.subject} have no field {field}"
            return Err(StatementError(message, 1, closest_match(field, fields)))
    selected = [
        row
        for row in rows
        if all(_matches(row, condition) for condition in show.conditions)
    ]
    if show.order_by:
        selected.sort(
            key=lambda row: _sort_key(row.get(show.order_by)), reverse=show.descending
        )
    return Ok(selected[: show.limit])


def _matches(row: Row, condition: Condition) -> bool:
    value = row.get(condition.field)
    try:
        return OPERATORS[condition.operator](value, condition.value)
    except TypeError:
        return False


def _sort_key(value: Any) -> tuple[int, Any]:
    """Order missing values first, then numbers, then everything else as text."""
    if value is None:
        return 0, 0
    if isinstance(value, (int, float)):
        return 1, value
    return 2, str(value)
