"""Edits: the unit of change of the configuration, applied in order or not at all."""

import json
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from marjoramstile.configuration.documents import (
    Configuration,
    Endpoint,
    LanguageService,
    Limits,
    PlainService,
    Pool,
    Workspace,
    describe_fault,
    reference_faults,
)

LIMITS_SECTION = "limits"
SECTION_ADAPTERS = {
    "endpoints": TypeAdapter(Endpoint),
    "pools": TypeAdapter(Pool),
    "language_services": TypeAdapter(LanguageService),
    "plain_services": TypeAdapter(PlainService),
    "workspaces": TypeAdapter(Workspace),
    LIMITS_SECTION: TypeAdapter(Limits),
}


@dataclass(frozen=True)
class Edit:
    """Sets the fields given in ``value`` of an item, or deletes it (None).

    ``name`` is empty for the section ``limits``, which has no items.
    """

    section: str
    name: str
    value: dict[str, Any] | None


def apply_edits(
    configuration: Configuration, edits: Sequence[Edit]
) -> Result[Configuration, list[str]]:
    """Return the configuration with all ``edits`` applied, or the faults found."""
    for edit in edits:
        applied = _apply(configuration, edit)
        if applied.is_err():
            return Err([applied.unwrap_err()])
        configuration = applied.unwrap()
    faults = reference_faults(configuration)
    return Err(faults) if faults else Ok(configuration)


def _apply(configuration: Configuration, edit: Edit) -> Result[Configuration, str]:
    adapter = SECTION_ADAPTERS.get(edit.section)
    if adapter is None:
        return Err(f"unknown section {edit.section}")
    if edit.section == LIMITS_SECTION:
        return _apply_limits(configuration, edit, adapter)
    items = dict(getattr(configuration, edit.section))
    if edit.value is None:
        if items.pop(edit.name, None) is None:
            return Err(f"{edit.section}.{edit.name}: no such item")
    else:
        validated = _validate(adapter, items.get(edit.name), edit)
        if validated.is_err():
            return validated
        items[edit.name] = validated.unwrap()
    return Ok(replace(configuration, **{edit.section: items}))


def _apply_limits(
    configuration: Configuration, edit: Edit, adapter: TypeAdapter
) -> Result[Configuration, str]:
    if edit.value is None:
        return Err("limits: can't be deleted")
    validated = _validate(adapter, configuration.limits, edit)
    return validated.map(lambda limits: replace(configuration, limits=limits))


def _validate(adapter: TypeAdapter, old: Any, edit: Edit) -> Result[Any, str]:
    fields = adapter.dump_python(old, mode="json") if old is not None else {}
    fields.update(edit.value or {})
    try:
        return Ok(adapter.validate_python(fields))
    except ValidationError as error:
        fault = describe_fault(error.errors()[0])
        return Err(f"{edit.section}.{edit.name}.{fault}")


def edits_between(old: Configuration, new: Configuration) -> tuple[Edit, ...]:
    """Return edits that turn ``old`` into ``new``, referenced items first."""
    edits = []
    for section in SECTION_ADAPTERS:
        if section != LIMITS_SECTION:
            edits += _section_edits(
                section, getattr(old, section), getattr(new, section)
            )
    if old.limits != new.limits:
        edits.append(Edit(LIMITS_SECTION, "", _dump(LIMITS_SECTION, new.limits)))
    return tuple(edits)


def _section_edits(section: str, old: dict, new: dict) -> list[Edit]:
    changed = [
        Edit(section, name, _dump(section, item))
        for name, item in new.items()
        if old.get(name) != item
    ]
    deleted = [Edit(section, name, None) for name in old if name not in new]
    return changed + deleted


def _dump(section: str, item: Any) -> dict[str, Any]:
    return SECTION_ADAPTERS[section].dump_python(item, mode="json")


def edits_to_json(edits: Sequence[Edit]) -> str:
    """Return ``edits`` as JSON, as sent to members and stored in rows."""
    return json.dumps([[edit.section, edit.name, edit.value] for edit in edits])


def edits_from_json(text: str) -> tuple[Edit, ...]:
    """Return the edits that ``edits_to_json`` wrote."""
    return tuple(Edit(*item) for item in json.loads(text))
