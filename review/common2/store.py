"""Stand-in of the platform's store: rows, feeds, transactions and an outage."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs

from common2.raw_http import Head, Server, encode_answer, read_body

ROWS_PER_ANSWER = 500
BYTES_PER_ANSWER = 1_000_000
ERA = ("Store-Era", "1")
JSON = ("Content-Type", "application/json")


class Store(Server):
    """Keeps rows in memory. While ``is_down``, it answers all calls with 503."""

    def __init__(self, host: str, port: int):
        super().__init__(host, port)
        self.is_down = False
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._version = 0
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator or a replica does."""
        await self.put_bytes(table, key, json.dumps(value).encode())

    async def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a row that may hold any bytes."""
        await self._write([((table, key), base64.b64encode(value).decode())])

    async def _write(self, writes: list[tuple[tuple[str, str], str | None]]) -> None:
        self._version += 1
        for (table, key), value in writes:
            row = {"table": table, "part": "", "key": key, "rowVersion": self._version}
            if value is None:
                self._rows.pop((table, key), None)
                row["tombstone"] = True
            else:
                row["value"] = value
                self._rows[table, key] = row
            self._history.append(row)
        async with self._changed:
            self._changed.notify_all()

    async def handle(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call of a daemon."""
        body = await read_body(reader, head.headers)
        path, _, text = head.line.split()[1].partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        status, answer = 503, {}
        if not self.is_down:
            status, answer = await self._call(path, query, body)
        if self.is_down:
            status, answer = 503, {}
        now_ms = round(time.monotonic() * 1000)
        whole = {"rowVersion": self._version, "nowMs": now_ms, **answer}
        writer.write(encode_answer(status, (ERA, JSON), json.dumps(whole).encode()))
        return True

    async def _call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/v1/rows-get":
            return 200, self._get(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            return await self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(ROWS_PER_ANSWER, int(query.get("limit", ROWS_PER_ANSWER)))
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        page = _first_rows(rows[:limit])
        return {"rows": page, "hasMore": len(rows) > len(page)}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if after > self._version:
            return 410, {}

        def changes() -> list[dict[str, Any]]:
            newest = {
                row["key"]: row
                for row in self._history
                if row["table"] == query["table"] and row["rowVersion"] > after
            }
            return sorted(newest.values(), key=lambda row: row["rowVersion"])

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: changes() or self.is_down)
        except TimeoutError:
            pass
        return 200, {"rows": changes()}

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for item in body.get("expectedRevision", []):
            row = self._rows.get((item["table"], item["key"]))
            if (row["rowVersion"] if row else 0) != item["rowVersion"]:
                return 412, {"rows": []}
        sets = [
            ((item["table"], item["key"]), item["value"])
            for item in body.get("setKeys", [])
        ]
        drops = [
            ((item["table"], item["key"]), None) for item in body.get("remove", [])
        ]
        await self._write(sets + drops)
        return 200, {}


def _first_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the rows that fit into one answer; one at least."""
    size = 0
    for count, row in enumerate(rows):
        size += len(row["value"])
        if count and size > BYTES_PER_ANSWER:
            return rows[:count]
    return rows
