"""Stand-in for the platform's metadata store over the published protocol.

``POST /control/rows`` writes rows as the operator and the replicas do; a row with
``ttl_s`` expires. ``POST /control/faults`` sets faults: ``mode`` is "" or one of busy,
reset and silent, for all callers or those whose IP address is in ``only``; ``slow_s``
delays calls and ``late_s`` answers; ``lose_answers`` drops answers of writes;
``forget`` drops the history; ``era`` replaces the text of the header Store-Era, "-"
leaves it out. ``POST /control/restore`` lets the store be away for ``away_s`` and come
back from a copy that is ``age_s`` old. ``GET /control/calls`` returns the number of
calls so far by method and path.
"""

import asyncio
import base64
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import typer
from aiohttp import web

from standins.published.rows import HistoryGoneError, RowStore
from standins.serving import run

OPERATOR_TABLES = ("op", "servers")
SILENCE_S = 3600.0
EXPIRY_PERIOD_S = 0.1
NO_HEADER = "-"


@dataclass
class Faults:
    """Active faults of the store."""

    mode: str = ""
    only: tuple[str, ...] = ()
    slow_s: float = 0.0
    late_s: float = 0.0
    lose_answers: int = 0
    era: str = ""


@dataclass
class PublishedStore:
    """HTTP handlers of the store; owns its rows and faults."""

    store: RowStore = field(default_factory=RowStore)
    faults: Faults = field(default_factory=Faults)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    calls: Counter[str] = field(default_factory=Counter)

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Apply the active faults to everything but control requests."""
        if request.path.startswith("/control"):
            return await handler(request)
        self.calls[f"{request.method} {request.path}"] += 1
        faults = self.faults
        if faults.mode and (not faults.only or request.remote in faults.only):
            await self._refuse(request, faults.mode)
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        response = await handler(request)
        if faults.era != NO_HEADER:
            response.headers["Store-Era"] = faults.era or str(self.store.era)
        if faults.late_s:
            await asyncio.sleep(faults.late_s)
        if request.method == "POST" and faults.lose_answers > 0:
            faults.lose_answers -= 1
            request.transport.abort()
        return response

    async def _refuse(self, request: web.Request, mode: str) -> None:
        if mode == "busy":
            raise web.HTTPServiceUnavailable
        if mode == "reset":
            request.transport.abort()
        await asyncio.sleep(SILENCE_S)

    def _body(self, **fields: Any) -> dict[str, Any]:
        now_ms = round(time.monotonic() * 1000)
        return {**fields, "rowVersion": self.store.version, "nowMs": now_ms}

    async def get_rows(self, request: web.Request) -> web.Response:
        """Answer GET /v1/rows-get."""
        query = request.query
        limit = min(500, int(query.get("limit", 500)))
        rows = self.store.scan(
            query["table"], query.get("part", ""), query.get("from", ""), limit + 1
        )
        more = len(rows) > limit
        shown = [row.to_json() for row in rows[:limit]]
        return web.json_response(self._body(rows=shown, hasMore=more))

    async def feed(self, request: web.Request) -> web.Response:
        """Answer GET /v1/rows-feed on a change or after ``waitMs``."""
        table, after = request.query["table"], int(request.query["after"])
        wait_s = int(request.query.get("waitMs", 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.store.changes(table, after))
        except TimeoutError:
            pass
        except HistoryGoneError:
            return web.Response(status=410)
        rows = self.store.changes(table, after)
        return web.json_response(self._body(rows=[row.to_json() for row in rows]))

    async def transact(self, request: web.Request) -> web.Response:
        """Answer POST /v1/rows-tx."""
        body = await request.json()
        sets = [(_key(item), item["value"]) for item in body.get("setKeys", [])]
        drops = [(_key(item), None) for item in body.get("remove", [])]
        if any(key[0] in OPERATOR_TABLES for key, _ in sets + drops):
            return web.Response(status=403)
        conditions = body.get("expectedRevision", [])
        if any(self.store.version_of(_key(c)) != c["rowVersion"] for c in conditions):
            return web.json_response(self._body(rows=[]), status=412)
        version = await self._write(sets + drops)
        return web.json_response({**self._body(), "rowVersion": version})

    async def _write(self, writes: list) -> int:
        version = self.store.write(writes)
        async with self.changed:
            self.changed.notify_all()
        return version

    async def control_rows(self, request: web.Request) -> web.Response:
        """Write rows of the operator or a replica that changed; renew expiries."""
        body = await request.json()
        writes = []
        for item in body["rows"]:
            key = (item["table"], "", item["key"])
            known = self.store.rows.get(key)
            if known is None or _content(known.value) != _content(item["value"]):
                writes.append((key, item["value"]))
            if item.get("ttl_s"):
                self.store.expiries[key] = time.monotonic() + item["ttl_s"]
        if writes:
            await self._write(writes)
        return web.json_response({"rowVersion": self.store.version})

    async def control_faults(self, request: web.Request) -> web.Response:
        """Replace the faults; drop the history if ``forget`` is set."""
        body = await request.json()
        if body.pop("forget", False):
            self.store.forget_history()
        self.faults = Faults(**{**body, "only": tuple(body.get("only", ()))})
        return web.json_response({})

    async def control_restore(self, request: web.Request) -> web.Response:
        """Reset all calls for a while, then come back from an older copy."""
        body = await request.json()
        before, self.faults = self.faults, Faults(mode="reset")
        await asyncio.sleep(body.get("away_s", 0.0))
        self.store.restore(body["age_s"])
        self.faults = before
        async with self.changed:
            self.changed.notify_all()
        return web.json_response({"rowVersion": self.store.version})

    async def control_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls so far by method and path."""
        return web.json_response(self.calls)

    async def expire(self) -> None:
        """Copy all rows and expire those that aren't renewed, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.store.copy()
            if self.store.expire():
                async with self.changed:
                    self.changed.notify_all()


def _content(value: str) -> Any:
    """Return a row's value without ``sequence``, which alone is no change."""
    try:
        body = json.loads(base64.b64decode(value))
    except ValueError:
        return value
    if isinstance(body, dict):
        body.pop("sequence", None)
    return body


def _key(item: dict[str, Any]) -> tuple[str, str, str]:
    return (item["table"], item.get("part", ""), item["key"])


def create_app() -> web.Application:
    """Return the store's application."""
    published = PublishedStore()
    app = web.Application(middlewares=[published.inject_faults])
    app.router.add_get("/v1/rows-get", published.get_rows)
    app.router.add_get("/v1/rows-feed", published.feed)
    app.router.add_post("/v1/rows-tx", published.transact)
    app.router.add_post("/control/rows", published.control_rows)
    app.router.add_post("/control/faults", published.control_faults)
    app.router.add_post("/control/restore", published.control_restore)
    app.router.add_get("/control/calls", published.control_calls)

    async def run_expiry(app: web.Application):
        task = asyncio.create_task(published.expire())
        yield
        task.cancel()

    app.cleanup_ctx.append(run_expiry)
    return app


def main(host: str = typer.Option(...), port: int = typer.Option(...)) -> None:
    """Serve the store."""
    run(create_app, host, port)


if __name__ == "__main__":
    typer.run(main)
