"""Rows of the published store: versions, conditions, history and expiry."""

import time
from collections import deque
from dataclasses import dataclass, field

HISTORY_KEPT = 2000
COPIES_KEPT_S = 15.0
# Replicas' rows of a copy that aren't written again expire after this time.
RESTORED_ROW_S = 1.5
REPLICAS_TABLE = "servers"

Key = tuple[str, str, str]


@dataclass(frozen=True)
class Row:
    """A row; a value of None marks a deleted one (a tombstone)."""

    table: str
    part: str
    key: str
    value: str | None
    version: int

    def to_json(self) -> dict:
        """Return the row in its wire form."""
        body = {"table": self.table, "part": self.part, "key": self.key}
        if self.value is None:
            return {**body, "rowVersion": self.version, "tombstone": True}
        return {**body, "value": self.value, "rowVersion": self.version}


class HistoryGoneError(Exception):
    """The requested changes are no longer in the history."""


@dataclass(frozen=True)
class Copy:
    """All rows at a moment of the monotonic clock, and the version then."""

    at: float
    rows: dict[Key, Row]
    version: int


@dataclass
class RowStore:
    """All rows of a store; the history is complete after version ``kept_after``.

    ``era`` rises by one each time the store is restored from a copy.
    """

    rows: dict[Key, Row] = field(default_factory=dict)
    history: deque[Row] = field(default_factory=lambda: deque(maxlen=HISTORY_KEPT))
    version: int = 0
    kept_after: int = 0
    era: int = 1
    copies: deque[Copy] = field(default_factory=deque)
    expiries: dict[Key, float] = field(default_factory=dict)

    def write(self, writes: list[tuple[Key, str | None]]) -> int:
        """Apply writes as one transaction; return its version."""
        self.version += 1
        for key, value in writes:
            row = Row(*key, value, self.version)
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
            if len(self.history) == HISTORY_KEPT:
                self.kept_after = self.history[0].version
            self.history.append(row)
        return self.version

    def version_of(self, key: Key) -> int:
        """Return a row's version, 0 if there is none."""
        row = self.rows.get(key)
        return row.version if row else 0

    def scan(self, table: str, part: str, first: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows from key ``first`` on, ordered by key."""
        found = [
            row
            for (row_table, row_part, key), row in self.rows.items()
            if row_table == table and row_part == part and key >= first
        ]
        return sorted(found, key=lambda row: row.key)[:limit]

    def changes(self, table: str, after: int) -> list[Row]:
        """Return rows of a table changed after a version, the newest of each."""
        if after < self.kept_after or after > self.version:
            raise HistoryGoneError
        newest = {
            (row.part, row.key): row
            for row in self.history
            if row.table == table and row.version > after
        }
        return sorted(newest.values(), key=lambda row: row.version)

    def forget_history(self) -> None:
        """Drop the history, as the real store may at any time."""
        self.history.clear()
        self.kept_after = self.version

    def copy(self) -> None:
        """Keep a copy of all rows; drop those that are too old."""
        now = time.monotonic()
        self.copies.append(Copy(now, dict(self.rows), self.version))
        while self.copies[0].at < now - COPIES_KEPT_S:
            self.copies.popleft()

    def restore(self, age_s: float) -> None:
        """Go back to the newest copy that is at least ``age_s`` old, in a new era."""
        until = time.monotonic() - age_s
        old_enough = [copy for copy in self.copies if copy.at <= until]
        copy = old_enough[-1] if old_enough else Copy(until, {}, 0)
        self.rows, self.version = dict(copy.rows), copy.version
        self.era += 1
        until = time.monotonic() + RESTORED_ROW_S
        self.expiries = {key: until for key in self.rows if key[0] == REPLICAS_TABLE}
        self.copies.clear()
        self.forget_history()

    def expire(self) -> bool:
        """Drop rows that were not renewed in time; return whether any were dropped."""
        now = time.monotonic()
        expired = [key for key, until in self.expiries.items() if until < now]
        for key in expired:
            del self.expiries[key]
        deletions = [(key, None) for key in expired if key in self.rows]
        if deletions:
            self.write(deletions)
        return bool(deletions)
