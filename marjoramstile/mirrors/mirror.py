"""A daemon's copy of one table of the platform's store."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramstile.logs import get_logger
from marjoramstile.ports.feeds import (
    NO_VERSION,
    Changes,
    StoredRow,
    era_of,
    number_of,
)

# Number of deleted rows that are kept, so that peers receive the deletions.
TOMBSTONES_MAX = 1024


@dataclass(frozen=True)
class PeerChanges:
    """Changes from a peer's mirror, which the store confirmed ``age_s`` ago.

    ``withheld`` means that the peer left out newer rows, as they are too long to be
    sent to many daemons over its link.
    """

    changes: Changes
    age_s: float
    withheld: bool = False


Listener = Callable[[StoredRow], None]

logger = get_logger(__name__)


class TableMirror:
    """Rows by key with the version of the store that they reflect.

    Versions only grow, also over a restore of the store, which begins a new era. So
    changes may come from the store or from any peer in any order: those that are older
    than the copy are ignored. The first ones of a new era must be complete.
    """

    def __init__(self, table: str):
        self._table = table
        self._rows: dict[str, StoredRow] = {}
        self._version = NO_VERSION
        self._listeners: list[Listener] = []

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the store up to which the copy is current."""
        return self._version

    @property
    def loaded(self) -> bool:
        """Whether the table was read at least once."""
        return self._version != NO_VERSION

    @property
    def rows(self) -> dict[str, StoredRow]:
        """Rows that exist, by key."""
        return {key: row for key, row in self._rows.items() if row.value is not None}

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each row that is new, changed or deleted."""
        self._listeners.append(listener)

    def accepts(self, changes: Changes) -> bool:
        """Return whether changes continue the copy, or begin an era with all rows."""
        era = era_of(self._version)
        if not self.loaded or era_of(changes.version) == era:
            return True
        return era_of(changes.version) > era and changes.complete

    def apply(self, changes: Changes) -> None:
        """Apply changes, unless they are older than the copy."""
        if changes.version < self._version or not self.accepts(changes):
            return
        if self.loaded and era_of(changes.version) > era_of(self._version):
            self._log_new_era(changes)
        self._version = changes.version
        if changes.complete:
            self._delete_missing(changes)
        for row in changes.rows:
            self._apply_row(row)
        self._prune_tombstones()

    def _log_new_era(self, changes: Changes) -> None:
        listed = {row.key for row in changes.rows}
        logger.warning(
            "table_restored",
            table=self._table,
            former_era=era_of(self._version),
            era=era_of(changes.version),
            former_version=number_of(self._version),
            version=number_of(changes.version),
            missing=len(self.rows.keys() - listed),
        )

    def _delete_missing(self, changes: Changes) -> None:
        listed = {row.key for row in changes.rows}
        for key in self.rows.keys() - listed:
            self._apply_row(StoredRow(key, changes.version, None))

    def _apply_row(self, row: StoredRow) -> None:
        current = self._rows.get(row.key)
        if current is not None and current.version >= row.version:
            return
        self._rows[row.key] = row
        if current is not None and current.value == row.value:
            return
        for listener in self._listeners:
            listener(row)

    def _prune_tombstones(self) -> None:
        deleted = [key for key, row in self._rows.items() if row.value is None]
        for key in deleted[: max(0, len(deleted) - TOMBSTONES_MAX)]:
            del self._rows[key]

    def changes_after(self, version: int) -> Changes:
        """Return the changes that a peer whose copy is at ``version`` lacks.

        They are complete for a peer whose copy is of an earlier era.
        """
        if version == NO_VERSION or era_of(version) < era_of(self._version):
            return Changes(tuple(self.rows.values()), self._version, complete=True)
        newer = tuple(row for row in self._rows.values() if row.version > version)
        return Changes(newer, self._version, complete=False)
