"""Client of the platform's metadata store."""

import base64
import binascii
import json
from collections.abc import Sequence
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from marjoramstile.ports.feeds import Changes, HistoryLostError, StoredRow
from marjoramstile.ports.tables import Committed, Condition, StoreError, Write
from marjoramstile.routes.order_ports import DatedRow

# Longest time from a call to its answer, beside the wait of a feed.
CALL_TIMEOUT_S = 0.8
ROWS_PER_READ = 500
MILLISECONDS_PER_S = 1000
GONE = 410
CONFLICT = 412
OK = 200


class PlatformStore:
    """Rows, feeds and transactions of the store; implements TableFeed."""

    def __init__(self, session: ClientSession, address: str):
        self._session = session
        self._url = f"http://{address}/v1"

    async def read_table(self, table: str) -> Result[Changes, StoreError]:
        """Read all rows of a table; pages that differ in version are read again."""
        rows: list[StoredRow] = []
        start = ""
        first_version = None
        while True:
            query = {"table": table, "part": "", "limit": str(ROWS_PER_READ)}
            if start:
                query["from"] = start
            answer = await self._call("GET", "/rows-get", query)
            if answer.is_err():
                return answer
            body = answer.unwrap()
            rows += _decode_rows(body)
            if first_version is None:
                first_version = body["rowVersion"]
            if not body.get("hasMore"):
                return Ok(Changes(tuple(rows), first_version, complete=True))
            start = rows[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Changes, StoreError | HistoryLostError]:
        """Return changes after a version; none if there were none for ``wait_s``."""
        wait_ms = round(wait_s * MILLISECONDS_PER_S)
        query = {"table": table, "after": str(after), "waitMs": str(wait_ms)}
        answer = await self._call(
            "GET", "/rows-feed", query, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        if answer.is_err():
            error = answer.unwrap_err()
            if error.message == _status_message(GONE):
                return Err(HistoryLostError())
            return answer
        body = answer.unwrap()
        version = max(after, body["rowVersion"])
        return Ok(Changes(tuple(_decode_rows(body)), version, complete=False))

    async def read_row(self, table: str, key: str) -> Result[DatedRow, StoreError]:
        """Read one row."""
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        answer = await self._call("GET", "/rows-get", query)
        if answer.is_err():
            return answer
        body = answer.unwrap()
        rows = [row for row in _decode_rows(body) if row.key == key]
        now_s = body.get("nowMs", 0) / MILLISECONDS_PER_S
        return Ok(DatedRow(rows[0] if rows else None, now_s))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[Committed | None, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold; None if one doesn't."""
        body = {
            "expectedRevision": [
                {**_row_name(item.table, item.key), "rowVersion": item.version}
                for item in conditions
            ],
            "setKeys": [
                {**_row_name(item.table, item.key), "value": _encode(item.value)}
                for item in writes
                if item.value is not None
            ],
            "remove": [
                _row_name(item.table, item.key) for item in writes if item.value is None
            ],
        }
        answer = await self._call("POST", "/rows-tx", {}, body)
        if answer.is_ok():
            return Ok(Committed(answer.unwrap()["rowVersion"]))
        if answer.unwrap_err().message == _status_message(CONFLICT):
            return Ok(None)
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[dict[str, Any], StoreError]:
        timeout = ClientTimeout(total=timeout_s, sock_connect=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._url + path, params=query, json=body, timeout=timeout
            ) as response:
                if response.status != OK:
                    return Err(StoreError(_status_message(response.status)))
                answer = json.loads(await response.read())
        except (TimeoutError, ClientError, OSError, ValueError) as error:
            return Err(StoreError(repr(error)))
        if not isinstance(answer, dict) or "rowVersion" not in answer:
            return Err(StoreError("the answer is no object with a version"))
        return Ok(answer)


def _status_message(status: int) -> str:
    return f"status {status}"


def _row_name(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _encode(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _decode_rows(body: dict[str, Any]) -> list[StoredRow]:
    rows = body.get("rows", [])
    return [_decode_row(row) for row in rows if row.get("part", "") == ""]


def _decode_row(row: dict[str, Any]) -> StoredRow:
    """Return a row; bytes that can't be decoded stay bytes that no reader accepts."""
    if row.get("tombstone"):
        return StoredRow(row["key"], row["rowVersion"], None)
    try:
        value = base64.b64decode(row.get("value") or "")
    except (binascii.Error, ValueError):
        value = b""
    return StoredRow(row["key"], row["rowVersion"], value)
