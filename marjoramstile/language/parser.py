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

    def show(self, children: list[Any]) -> Show:
        fields: dict[str, Any] = {"subject": str(children[0])}
        for child in children[1:]:
            fields.update(child)
        return Show(**fields)

    def where(self, conditions: list[Condition]) -> dict[str, Any]:
        return {"conditions": tuple(conditions)}

    def condition(self, children: list[Any]) -> Condition:
        return Condition(str(children[0]), str(children[1]), children[2])

    def ordering(self, children: list[Token]) -> dict[str, Any]:
        descending = len(children) > 1 and children[1] == "desc"
        return {"order_by": str(children[0]), "descending": descending}

    def limit(self, children: list[Token]) -> dict[str, Any]:
        return {"limit": int(children[0])}

    def set_item(self, children: list[Any]) -> SetItem:
        return SetItem(str(children[0]), str(children[1]), dict(children[2:]))

    def set_limits(self, children: list[Any]) -> SetItem:
        return SetItem("limits", "", dict(children))

    def delete(self, children: list[Token]) -> DeleteItem:
        return DeleteItem(str(children[0]), str(children[1]))

    def drain(self, children: list[Token]) -> Drain:
        return Drain(str(children[0]), leaving=True)

    def undrain(self, children: list[Token]) -> Drain:
        return Drain(str(children[0]), leaving=False)

    def migrate(self, children: list[Token]) -> Migrate:
        return Migrate(str(children[0]), float(children[1]))

    def order(self, children: list[Any]) -> OrderEngine:
        return OrderEngine(str(children[0]), str(children[1]), str(children[2]))

    def assignment(self, children: list[Any]) -> tuple[str, Any]:
        return str(children[0]), children[1]

    def list_value(self, values: list[Any]) -> list[Any]:
        return [value for value in values if value is not None]

    def number(self, children: list[Token]) -> int | float:
        return float(children[0]) if "." in children[0] else int(children[0])

    def boolean(self, children: list[Token]) -> bool:
        return children[0] == "true"

    def string(self, children: list[Token]) -> str:
        return json.loads(children[0])

    def word(self, children: list[Token]) -> str:
        return str(children[0])


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
