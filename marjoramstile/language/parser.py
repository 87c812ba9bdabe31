"""Parses the operators' language; errors give a column and a suggestion."""

import json
from difflib import get_close_matches
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import UnexpectedEOF, UnexpectedToken
from result import Err, Ok, Result

from marjoramstile.language.statements import (
    Condition,
    DeleteItem,
    Drain,
    Migrate,
    OrderEngine,
    SetItem,
    Show,
    Statement,
    StatementError,
)

KEYWORDS = (
    "show",
    "set",
    "delete",
    "drain",
    "undrain",
    "migrate",
    "order",
    "where",
    "and",
    "by",
    "limit",
    "limits",
    "endpoint",
    "to",
)
_PARSER = Lark.open(
    str(Path(__file__).with_name("grammar.lark")),
    parser="lalr",
    lexer="contextual",
    propagate_positions=True,
)


class _StatementBuilder(Transformer):
    """Builds statements from the parse tree; each method handles one grammar rule."""

    def start(self, statements: list[Statement]) -> tuple[Statement, ...]:
        return tuple(statements)

    def show(self, parts: list[Any]) -> Show:
        fields: dict[str, Any] = {"subject": str(parts[0])}
        for part in parts[1:]:
            fields.update(part)
        return Show(**fields)

    def where(self, conditions: list[Condition]) -> dict[str, Any]:
        return {"conditions": tuple(conditions)}

    def condition(self, parts: list[Any]) -> Condition:
        return Condition(str(parts[0]), str(parts[1]), parts[2])

    def ordering(self, parts: list[Token]) -> dict[str, Any]:
        descending = len(parts) > 1 and parts[1] == "desc"
        return {"order_by": str(parts[0]), "descending": descending}

    def limit(self, parts: list[Token]) -> dict[str, Any]:
        return {"limit": int(parts[0])}

    def set_item(self, parts: list[Any]) -> SetItem:
        return SetItem(str(parts[0]), str(parts[1]), dict(parts[2:]))

    def set_limits(self, parts: list[Any]) -> SetItem:
        return SetItem("limits", "", dict(parts))

    def delete(self, parts: list[Token]) -> DeleteItem:
        return DeleteItem(str(parts[0]), str(parts[1]))

    def drain(self, parts: list[Token]) -> Drain:
        return Drain(str(parts[0]), leaving=True)

    def undrain(self, parts: list[Token]) -> Drain:
        return Drain(str(parts[0]), leaving=False)

    def migrate(self, parts: list[Token]) -> Migrate:
        return Migrate(str(parts[0]), float(parts[1]))

    def order(self, parts: list[Any]) -> OrderEngine:
        return OrderEngine(str(parts[0]), str(parts[1]), str(parts[2]))

    def assignment(self, parts: list[Any]) -> tuple[str, Any]:
        return str(parts[0]), parts[1]

    def list_value(self, values: list[Any]) -> list[Any]:
        return [value for value in values if value is not None]

    def number(self, parts: list[Token]) -> int | float:
        return float(parts[0]) if "." in parts[0] else int(parts[0])

    def boolean(self, parts: list[Token]) -> bool:
        return parts[0] == "true"

    def string(self, parts: list[Token]) -> str:
        return json.loads(parts[0])

    def word(self, parts: list[Token]) -> str:
        return str(parts[0])


def parse_statements(text: str) -> Result[tuple[Statement, ...], StatementError]:
    """Parse one or more statements, separated by semicolons."""
    try:
        return Ok(_StatementBuilder().transform(_PARSER.parse(text)))
    except UnexpectedInput as error:
        return Err(_describe(text, error))


def _describe(text: str, error: UnexpectedInput) -> StatementError:
    if isinstance(error, UnexpectedEOF) or _is_at_end(error):
        return StatementError("the statement is not complete", len(text) + 1)
    column = max(1, error.column)
    word = _word_at(text, column)
    return StatementError(f"unexpected {word!r}", column, closest_match(word, KEYWORDS))


def _is_at_end(error: UnexpectedInput) -> bool:
    return isinstance(error, UnexpectedToken) and error.token.type == "$END"


def _word_at(text: str, column: int) -> str:
    rest = text[column - 1 :].split()
    return rest[0] if rest else ""


def closest_match(word: str, choices: tuple[str, ...]) -> str:
    """Return the choice closest to ``word``, or an empty string if none is close."""
    return next(iter(get_close_matches(word, choices, n=1)), "")
