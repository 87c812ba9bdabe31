"""Translates statements that change the configuration into edits of it."""

from collections.abc import Sequence
from functools import singledispatch
from typing import Any

from result import Err, Ok, Result

from marjoramstile.configuration.documents import Configuration
from marjoramstile.configuration.edits import LIMITS_SECTION, Edit
from marjoramstile.language.parser import closest_match
from marjoramstile.language.statements import (
    DeleteItem,
    Drain,
    Migrate,
    SetItem,
    Statement,
    StatementError,
)
from marjoramstile.utils import hash_secret

ITEM_SECTIONS = {
    "endpoint": "endpoints",
    "pool": "pools",
    "language_service": "language_services",
    "plain_service": "plain_services",
    "workspace": "workspaces",
    "limits": LIMITS_SECTION,
}

EditResult = Result[Edit, StatementError]


def to_edits(
    statements: Sequence[Statement], configuration: Configuration
) -> Result[tuple[Edit, ...], StatementError]:
    """Return the edits for all statements, or the first error."""
    edits = []
    for statement in statements:
        edit = to_edit(statement, configuration)
        if edit.is_err():
            return Err(edit.unwrap_err())
        edits.append(edit.unwrap())
    return Ok(tuple(edits))


@singledispatch
def to_edit(statement: Statement, configuration: Configuration) -> EditResult:
    """Return the edit for one statement; queries and orders are errors."""
    message = "queries and orders can't be mixed with changes"
    return Err(StatementError(message, 1))


@to_edit.register
def _(statement: SetItem, configuration: Configuration) -> EditResult:
    section = ITEM_SECTIONS.get(statement.kind)
    if section is None:
        return Err(_unknown_kind(statement.kind))
    fields = dict(statement.fields)
    keys = fields.pop("keys", None)
    if keys is not None:
        fields["key_hashes"] = [hash_secret(str(key)) for key in keys]
    return Ok(Edit(section, statement.name, fields))


@to_edit.register
def _(statement: DeleteItem, configuration: Configuration) -> EditResult:
    section = ITEM_SECTIONS.get(statement.kind)
    if section is None:
        return Err(_unknown_kind(statement.kind))
    return Ok(Edit(section, statement.name, None))


@to_edit.register
def _(statement: Drain, configuration: Configuration) -> EditResult:
    if statement.endpoint not in configuration.endpoints:
        return Err(_unknown_name(statement.endpoint, configuration.endpoints))
    return Ok(Edit("endpoints", statement.endpoint, {"leaving": statement.leaving}))


@to_edit.register
def _(statement: Migrate, configuration: Configuration) -> EditResult:
    service = configuration.plain_services.get(statement.service)
    if service is None:
        return Err(_unknown_name(statement.service, configuration.plain_services))
    if service.migration is None:
        message = f"{statement.service} has no old system to migrate from"
        return Err(StatementError(message, 1))
    migration = {"old": service.migration.old, "new_percent": statement.new_percent}
    return Ok(Edit("plain_services", statement.service, {"migration": migration}))


def _unknown_kind(kind: str) -> StatementError:
    return StatementError(
        f"unknown kind of item {kind}", 1, closest_match(kind, tuple(ITEM_SECTIONS))
    )


def _unknown_name(name: str, items: dict[str, Any]) -> StatementError:
    return StatementError(f"there is no {name}", 1, closest_match(name, tuple(items)))
