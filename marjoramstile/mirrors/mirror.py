"""A daemon's copy of one table of the platform's store."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from heapq import nsmallest
from typing import TypeVar

from marjoramstile.logs import get_logger
from marjoramstile.ports.feeds import (
    NO_VERSION,
    Changes,
    StoredRow,
    era_of,
    number_of,
)
from marjoramstile.utils import loop_time

# Number of deleted rows that are kept, so that peers receive the deletions. One that
# lacks an older one gets all rows that exist.
TOMBSTONES_MAX = 1024
# Time after a restore of the store in which writers write their rows again.
REWRITE_S = 2.0


@dataclass(frozen=True)
class PeerChanges:
    """Changes from a peer's mirror, which the store confirmed ``age_s`` ago.

    ``withheld`` means that the peer left out newer rows, as they are too long to be
    sent to many daemons over its link.
    """

    changes: Changes
    age_s: float
    withheld: bool = False


@dataclass(frozen=True)
class RestorePolicy:
    """What becomes of rows on which a mirror and a copy of the store disagree.

    A row that the copy lacks is kept for ``keep_missing_s``: its writer may write it
    again. One that was deleted before is left out for ``hold_returned_s``, unless it is
    written again: it expires meanwhile if its writer is gone.
    """

    keep_missing_s: float = REWRITE_S
    hold_returned_s: float = 0.0


DEFAULT_POLICY = RestorePolicy()

T = TypeVar("T")
Listener = Callable[[StoredRow], None]

logger = get_logger(__name__)


class TableMirror:
    """Rows by key with the version of the store that they reflect.

    Versions only grow, also over a restore of the store, which begins a new era. So
    changes may come from the store or from any peer in any order: those that are older
    than the copy are ignored. The first ones of a new era must be complete.
    """

    def __init__(self, table: str, policy: RestorePolicy = DEFAULT_POLICY):
        self._table = table
        self._policy = policy
        self._missing_until: dict[str, float] = {}
        self._returned: dict[str, tuple[StoredRow, float]] = {}
        self._rows: dict[str, StoredRow] = {}
        self._version = NO_VERSION
        self._position = NO_VERSION
        self._dropped_until = NO_VERSION
        self._listeners: list[Listener] = []
        self._on_failed_row: Callable[[str], None] = lambda table: None

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
    def position(self) -> int:
        """How new the newest row is; grows as rows change."""
        return self._position

    def covers(self, position: int) -> bool:
        """Return whether the copy has what one at ``position`` has."""
        return self._version >= position

    @property
    def resume_version(self) -> int:
        """Version after which a daemon that is ahead has what the copy lacks."""
        return self._version

    @property
    def rows(self) -> dict[str, StoredRow]:
        """Rows that exist, by key."""
        return {key: row for key, row in self._rows.items() if row.value is not None}

    def confirms(self, key: str) -> bool:
        """Return whether the store has a row, as far as this mirror knows."""
        row = self._rows.get(key)
        present = row is not None and row.value is not None
        return present and key not in self._missing_until

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each row that is new, changed or deleted."""
        self._listeners.append(listener)

    def on_failed_row(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the table's name for each row that isn't applied."""
        self._on_failed_row = listener

    def _apply_guarded(self, row: StoredRow, action: Callable[[], T]) -> T | None:
        """Run ``action`` for a row; an error is logged and hurts that row alone."""
        try:
            return action()
        except Exception as error:
            logger.error(
                "row_not_applied", table=self._table, row=row.key, error=repr(error)
            )
            self._on_failed_row(self._table)
            return None

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
            self._begin_era(changes)
        self._version = changes.version
        if changes.complete:
            self._delete_missing(changes)
        for row in changes.rows:
            self._apply_row(row)
        self._prune_tombstones()

    def _begin_era(self, changes: Changes) -> None:
        """Keep the rows that a copy lacks, and hold back those deleted before."""
        now = loop_time()
        listed = {row.key for row in changes.rows}
        missing = self.rows.keys() - listed
        for key in missing:
            self._missing_until[key] = now + self._policy.keep_missing_s
        for row in changes.rows:
            known = self._rows.get(row.key)
            if known is not None and known.value is None and row.value is not None:
                self._returned[row.key] = row, now + self._policy.hold_returned_s
        logger.warning(
            "table_restored",
            table=self._table,
            former_era=era_of(self._version),
            era=era_of(changes.version),
            former_version=number_of(self._version),
            version=number_of(changes.version),
            missing=len(missing),
            returned=len(self._returned),
        )

    def expire(self, now: float) -> None:
        """End the time for which rows of a restored store are kept or held back."""
        for key, until in list(self._missing_until.items()):
            if now >= until:
                self._apply_row(StoredRow(key, self._version, None))
        for key, (row, until) in list(self._returned.items()):
            if now >= until:
                del self._returned[key]
                self._apply_row(row)

    def _delete_missing(self, changes: Changes) -> None:
        listed = {row.key for row in changes.rows}
        for key in self.rows.keys() - listed - self._missing_until.keys():
            self._apply_row(StoredRow(key, changes.version, None))

    def _apply_row(self, row: StoredRow) -> None:
        current = self._rows.get(row.key)
        if current is not None and current.version >= row.version:
            return
        if row.key in self._returned:
            if row.version <= self._returned[row.key][0].version:
                return
            del self._returned[row.key]
        self._put_row(row)

    def _put_row(self, row: StoredRow) -> None:
        current = self._rows.get(row.key)
        self._missing_until.pop(row.key, None)
        self._rows[row.key] = row
        self._position = max(self._position, row.version)
        if current is not None and current.value == row.value:
            return
        for listener in self._listeners:
            self._apply_guarded(row, partial(listener, row))

    def _prune_tombstones(self) -> None:
        """Drop the oldest deletions, by when rows were deleted, not first written."""
        deleted = [row for row in self._rows.values() if row.value is None]
        excess = len(deleted) - TOMBSTONES_MAX
        if excess <= 0:
            return
        for row in nsmallest(excess, deleted, key=lambda row: row.version):
            del self._rows[row.key]
            self._dropped_until = max(self._dropped_until, row.version)

    def changes_after(self, version: int) -> Changes:
        """Return the changes that a peer whose copy is at ``version`` lacks.

        They are complete for a peer whose copy is of an earlier era, or from before a
        deletion that is no longer kept.
        """
        rows = self._rows.values()
        if self._returned:
            returned = {key: row for key, (row, _) in self._returned.items()}
            rows = {**self._rows, **returned}.values()
        is_behind = version < self._dropped_until or version == NO_VERSION
        if is_behind or era_of(version) < era_of(self._version):
            stored = tuple(
                row
                for row in rows
                if row.value is not None and row.key not in self._missing_until
            )
            return Changes(stored, self._version, complete=True)
        newer = tuple(row for row in rows if row.version > version)
        return Changes(newer, self._version, complete=False)


class DocumentMirror(TableMirror):
    """Rows whose values are documents with versions of their own, which never go back.

    The newest valid document stays, whatever the store contains.
    """

    def __init__(self, table: str, document_version: Callable[[bytes], int | None]):
        """``document_version`` returns None if a value is no valid document."""
        super().__init__(table)
        self._document_version = document_version
        self._versions: dict[str, int | None] = {}

    @property
    def position(self) -> int:
        """The newest document's version."""
        return max((item or 0 for item in self._versions.values()), default=0)

    def covers(self, position: int) -> bool:
        """Return whether the copy has a document of at least this version."""
        return self.position >= position

    @property
    def resume_version(self) -> int:
        """Whole tables are asked for: documents may be newer than their rows."""
        return NO_VERSION

    def apply(self, changes: Changes) -> None:
        """Apply changes; older ones may still hold a newer document."""
        if changes.version >= self._version and self.accepts(changes):
            super().apply(changes)
            return
        for row in changes.rows:
            self._apply_row(row)

    def _apply_row(self, row: StoredRow) -> None:
        current = self._rows.get(row.key)
        if row.value is not None:
            version = self._apply_guarded(
                row, partial(self._document_version, row.value)
            )
            if current is None or self._is_newer(row, version, current):
                self._versions[row.key] = version
                self._put_row(row)
                return
        self._missing_until.pop(row.key, None)
        if current is not None and row.version > current.version:
            self._rows[row.key] = replace(current, version=row.version)

    def _is_newer(
        self, row: StoredRow, version: int | None, current: StoredRow
    ) -> bool:
        """Return whether a row's document replaces the current one."""
        known = self._versions.get(row.key)
        if version is None or known is None:
            return known is None and row.version > current.version
        return version > known
