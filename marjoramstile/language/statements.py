"""Statements of the operators' language as frozen data classes."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Condition:
    """Compares a field of a row with a value."""

    field: str
    operator: str
    value: Any


@dataclass(frozen=True)
class Show:
    """Queries rows of a subject, filtered, ordered and limited."""

    subject: str
    conditions: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True)
class SetItem:
    """Creates or updates an item of the configuration; ``kind`` is singular."""

    kind: str
    name: str
    fields: dict[str, Any]


@dataclass(frozen=True)
class DeleteItem:
    """Deletes an item of the configuration."""

    kind: str
    name: str


@dataclass(frozen=True)
class Drain:
    """Starts draining an endpoint (no new work), or ends it if not ``leaving``."""

    endpoint: str
    leaving: bool


@dataclass(frozen=True)
class Migrate:
    """Routes ``new_percent`` of a service's workspaces to the new system."""

    service: str
    new_percent: float


@dataclass(frozen=True)
class OrderEngine:
    """Sends an order to an engine."""

    endpoint: str
    action: str
    argument: str


Statement = Show | SetItem | DeleteItem | Drain | Migrate | OrderEngine


@dataclass(frozen=True)
class StatementError:
    """An error in a statement, its column (from 1) and a suggested correction."""

    message: str
    column: int
    suggestion: str = ""

    def __str__(self) -> str:
        hint = f"; did you mean {self.suggestion}?" if self.suggestion else ""
        return f"column {self.column}: {self.message}{hint}"
