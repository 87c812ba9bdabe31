"""Registries of subjects: the row sources that operators query by name."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

Row = dict[str, Any]
Sources = TypeVar("Sources")


@dataclass(frozen=True)
class Subject(Generic[Sources]):
    """A source of rows.

    If ``on_all_daemons`` is set, all daemons are queried, and ``join`` merges their
    rows into one list.
    """

    source: Callable[[Sources], list[Row]]
    on_all_daemons: bool
    join: Callable[[list[Row]], list[Row]]


class SubjectRegistry(Generic[Sources]):
    """Subjects by name, registered by decorators; rows are read from ``Sources``."""

    def __init__(self):
        self._subjects: dict[str, Subject[Sources]] = {}

    def register(
        self,
        name: str,
        on_all_daemons: bool,
        join: Callable[[list[Row]], list[Row]] = list,
    ):
        """Return a decorator that registers a source of rows."""

        def add(source: Callable[[Sources], list[Row]]):
            self._subjects[name] = Subject(source, on_all_daemons, join)
            return source

        return add

    def get(self, name: str) -> Subject[Sources] | None:
        """Return the subject registered as ``name``, if any."""
        return self._subjects.get(name)

    def __getitem__(self, name: str) -> Subject[Sources]:
        return self._subjects[name]

    def __contains__(self, name: str) -> bool:
        return name in self._subjects

    def __iter__(self) -> Iterator[str]:
        return iter(self._subjects)
