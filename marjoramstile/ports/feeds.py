"""Rows of the platform's store and the feed of their changes: types and port."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from marjoramstile.ports.tables import StoreError

# Version of a mirror before its first read.
NO_VERSION = 0
# Bits of a version that hold the store's own number; those above hold the era.
NUMBER_BITS = 40
# Largest era for which versions fit into 64 bits with a sign.
ERA_MAX = 2 ** (63 - NUMBER_BITS) - 1


@dataclass(frozen=True)
class StoredRow:
    """A row's value as bytes; None marks a row that was deleted at ``version``."""

    key: str
    version: int
    value: bytes | None


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
