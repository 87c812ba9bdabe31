"""Rows of the platform's store and the feed of their changes: types and port.

The store may come back from an older copy and give its versions out again, in a new
era. Versions of this package contain the era, so they grow over restores as well.
"""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from marjoramstile.ports.tables import ABSENT, Condition, StoreError

# Version of a mirror before its first read.
NO_VERSION = 0
# Bits of a version that hold the store's own number; those above hold the era.
NUMBER_BITS = 40
NUMBER_MAX = 2**NUMBER_BITS - 1
# Largest era for which versions fit into 64 bits with a sign.
ERA_MAX = 2 ** (63 - NUMBER_BITS) - 1


def version_in_era(era: int, number: int) -> int:
    """Return the version that the store calls ``number`` in an era."""
    return (era << NUMBER_BITS) | number


def era_of(version: int) -> int:
    """Return the era in which the store gave a version out."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number that the store calls a version."""
    return version & ((1 << NUMBER_BITS) - 1)


@dataclass(frozen=True)
class StoredRow:
    """A row's value as bytes; None marks a row that was deleted at ``version``.

    ``mark`` names the conditional write that wrote the row, if it is known.
    """

    key: str
    version: int
    value: bytes | None
    mark: str = ""


def unchanged(table: str, key: str, row: StoredRow | None) -> Condition:
    """Return the condition that a row is as it was read; None: that there is none."""
    if row is None:
        return Condition(table, key, ABSENT)
    return Condition(table, key, row.version, row.mark)


@dataclass(frozen=True)
class Changes:
    """Rows changed up to the store's ``version``.

    ``complete`` means that rows which are not listed don't exist.
    """

    rows: tuple[StoredRow, ...]
    version: int
    complete: bool


@dataclass(frozen=True)
class HistoryLostError:
    """The store no longer has the requested changes; read the whole table."""


class TableFeed(Protocol):
    """Interface that a mirror needs from the platform's store."""

    async def read_table(self, table: str) -> Result[Changes, StoreError]:
        """Read all rows of a table."""

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Changes, StoreError | HistoryLostError]:
        """Return changes after a version; empty if there were none for ``wait_s``."""
