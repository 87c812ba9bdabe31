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
    """Asks for rows of a subject, filtered, ordered and limited."""

    subject: str
    conditions: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True)
class SetItem:
    """Sets fields of an item of the configuration; ``kind`` is singular."""

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
    """Lets an endpoint get no new work, or lets it get work again."""

    endpoint: str
    leaving: bool


@dataclass(frozen=True)
class Migrate:
    """Moves a share of a service's workspaces to the new system."""

    service: str
    new_percent: float


@dataclass(frozen=True)
class OrderEngine:
    """Orders an engine to do something."""

    endpoint: str
    action: str
    argument: str


Statement = Show | SetItem | DeleteItem | Drain | Migrate | OrderEngine


@dataclass(frozen=True)
class StatementError:
    """A fault in a statement's text: where it is and what may be meant."""

    message: str
    column: int
    suggestion: str = ""

    def __str__(self) -> str:
        hint = f"; did you mean {self.suggestion}?" if self.suggestion else ""
        return f"column {self.column}: {self.message}{hint}"
