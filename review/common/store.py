"""Stand-in of the platform's store: rows, conditional transactions, feeds."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from common.http import Exchange, Server

OPERATOR_TABLES = ("op", "servers")
JSON = {"Content-Type": "application/json"}
HEARTBEATS_MISSED = 3


@dataclass(eq=False)
class Store:
    """Rows by table, part and key; ``down`` makes all calls fail with 503."""

    host: str
    heartbeat_s: float = 1.2
    down: bool = False
    calls: int = 0
    _rows: dict[tuple[str, str, str], dict] = field(default_factory=dict)
    _beats: dict[str, float] = field(default_factory=dict)
    _version: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen and expire replicas' rows."""
        self.server = Server(self._handle, self.host)
        await self.server.start()
        self._expiring = asyncio.create_task(self._expire())

    @property
    def address(self) -> str:
        """The store's ``host:port``."""
        return f"{self.host}:{self.server.port}"

    def put(self, table: str, key: str, value: dict | bytes | None) -> None:
        """Write a row as the operator or a replica does; None drops it."""
        if value is None:
            encoded = None
        else:
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            encoded = base64.b64encode(raw).decode()
        self._write({(table, "", key): encoded})

    def beat(self, replica_id: str, entry: dict) -> bool:
        """Write a replica's entry; return whether the store is up."""
        if self.down:
            return False
        self._beats[replica_id] = time.monotonic()
        known = self._rows.get(("servers", "", replica_id))
        shown = {key: item for key, item in entry.items() if key != "sequence"}
        if known is not None and known.get("value"):
            stored = json.loads(base64.b64decode(known["value"]))
            stored.pop("sequence", None)
            if stored == shown:
                return True
        self.put("servers", replica_id, entry)
        return True

    def drop_beat(self, replica_id: str) -> None:
        """Drop the entry of a replica that has left."""
        if self._beats.pop(replica_id, None) is not None:
            self.put("servers", replica_id, None)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.down:
                # Entries don't lapse meanwhile, nor in the two seconds after.
                for key in self._beats:
                    self._beats[key] = now + 2.0
            for key, at in list(self._beats.items()):
                if now - at > HEARTBEATS_MISSED * self.heartbeat_s:
                    self.drop_beat(key)

    def _write(self, writes: dict[tuple[str, str, str], str | None]) -> int:
        self._version += 1
        for (table, part, key), value in writes.items():
            row = {"table": table, "part": part, "key": key}
            shown = {"tombstone": True} if value is None else {"value": value}
            self._rows[table, part, key] = {**row, **shown, "rowVersion": self._version}
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def _body(self, **fields) -> bytes:
        now_ms = round(time.monotonic() * 1000)
        body = {**fields, "rowVersion": self._version, "nowMs": now_ms}
        return json.dumps(body).encode()

    async def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        if self.down:
            await exchange.send(503, {"Store-Era": "1"})
            return
        await asyncio.sleep(0.004)
        url = urlsplit(exchange.request.target)
        query = {key: items[0] for key, items in parse_qs(url.query).items()}
        action = {
            "/v1/rows-get": self._get,
            "/v1/rows-feed": self._feed,
            "/v1/rows-tx": self._transact,
        }.get(url.path)
        status, body = (404, b"") if action is None else await action(exchange, query)
        if self.down:
            status, body = 503, b""
        await exchange.send(status, {**JSON, "Store-Era": "1"}, body)

    async def _get(self, exchange: Exchange, query: dict) -> tuple[int, bytes]:
        limit = min(500, int(query.get("limit", 500)))
        group = query["table"], query.get("part", "")
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key[:2] == group
            and key[2] >= query.get("from", "")
            and ("target" not in query or key[2] < query["target"])
            and "value" in row
        ]
        return 200, self._body(rows=rows[:limit], hasMore=len(rows) > limit)

    async def _feed(self, exchange: Exchange, query: dict) -> tuple[int, bytes]:
        after, until = int(query["after"]), time.monotonic()
        until += int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for (table, _, _), row in self._rows.items()
                if table == query["table"] and row["rowVersion"] > after
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0 or self.down:
                rows.sort(key=lambda row: row["rowVersion"])
                return 200, self._body(rows=rows)
            try:
                async with asyncio.timeout(min(left_s, 0.1)):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, exchange: Exchange, query: dict) -> tuple[int, bytes]:
        body = json.loads(exchange.request.body)
        writes = {_key(row): row["value"] for row in body.get("setKeys", [])}
        writes |= {_key(row): None for row in body.get("remove", [])}
        if any(key[0] in OPERATOR_TABLES for key in writes):
            return 403, b""
        for row in body.get("expectedRevision", []):
            known = self._rows.get(_key(row), {})
            version = known["rowVersion"] if "value" in known else 0
            if version != row["rowVersion"]:
                return 412, self._body(rows=[])
        self._write(writes)
        return 200, self._body()


def _key(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]
