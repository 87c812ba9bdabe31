"""The table service's state: rows with versions and atomic transactions."""

from dataclasses import dataclass, field
from typing import Any

RowKey = tuple[str, str]


@dataclass
class TableState:
    """Rows by table and key, and the number of the last transaction."""

    rows: dict[RowKey, tuple[int, dict[str, Any]]] = field(default_factory=dict)
    last_version: int = 0
    reads: int = 0
    writes: int = 0

    def read(self, table: str, key: str) -> dict[str, Any]:
        """Return one row; version 0 and no value if there is none."""
        self.reads += 1
        return self._row(table, key)

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, value = self.rows.get((table, key), (0, None))
        return {"table": table, "key": key, "version": version, "value": value}

    def scan(self, table: str) -> list[dict[str, Any]]:
        """Return all rows of a table in the order of their keys."""
        self.reads += 1
        keys = sorted(key for name, key in self.rows if name == table)
        return [self._row(table, key) for key in keys]

    def transact(
        self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]
    ) -> dict[str, Any]:
        """Apply all writes if all conditions hold, else return the rows that differ."""
        self.writes += 1
        current = [self._row(item["table"], item["key"]) for item in conditions]
        conflicting = [
            row
            for row, item in zip(current, conditions, strict=True)
            if row["version"] != item["version"]
        ]
        if conflicting:
            return {"committed": False, "rows": conflicting}
        self.last_version += 1
        for item in writes:
            self._write((item["table"], item["key"]), item["value"])
        return {"committed": True, "version": self.last_version}

    def _write(self, row_key: RowKey, value: dict[str, Any] | None) -> None:
        if value is None:
            self.rows.pop(row_key, None)
        else:
            self.rows[row_key] = (self.last_version, value)
