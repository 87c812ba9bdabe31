"""Stand-in for a prefill or decode engine (docs/ENGINES.md).

A prefill takes its number of tokens divided by ``tokens_per_s``; its export expires
in under a second. A decode produces one token per step for every running request.
As on real engines with resumable streams, work continues after its caller's
connection closes, until it is cancelled. ``POST /control`` changes speed and faults.
"""

import asyncio
import json
import os
import uuid
from typing import Any

import typer
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from standins.engine_state import (
    KV_BYTES_PER_TOKEN,
    EngineSettings,
    EngineState,
    Work,
    count_tokens,
    pieces_of,
)
from standins.priority_lock import PriorityLock
from standins.serving import run
from standins.tokens import token_text

FETCH_TIMEOUT_S = 2.0


class EngineStandIn:
    """HTTP handlers of one engine; owns the engine's state."""

    def __init__(self, settings: EngineSettings):
        self._state = EngineState(settings)
        self._compute_lock = PriorityLock()

    @property
    def _settings(self) -> EngineSettings:
        return self._state.settings

    def _crash_on_word(self, prompt: str) -> None:
        """Exit like an aborted process if the prompt contains ``crash_word``."""
        if self._settings.crash_word and self._settings.crash_word in prompt:
            os._exit(134)

    async def prefill(self, request: web.Request) -> web.Response:
        """Prefill a prompt and keep its export for ``export_life_s``."""
        body = await request.json()
        prompt = body["prompt"]
        tokens = count_tokens(prompt + body["generated"])
        work = self._state.add(
            body["request_id"], body["incarnation"], pieces_of(tokens), "prefill"
        )
        finished = await asyncio.shield(self._compute(work, body, tokens))
        if not finished:
            raise web.HTTPConflict(text="cancelled")
        return web.json_response(self._export(work, tokens))

    async def _compute(self, work: Work, body: dict[str, Any], tokens: int) -> bool:
        """Wait for the engine and compute; return False if the work was cancelled."""
        self._state.queued_tokens += tokens
        try:
            async with self._compute_lock.acquire(body["priority"]):
                if work.ended.is_set():
                    return False
                duration_s = tokens / self._settings.tokens_per_s
                await asyncio.sleep(duration_s)
        finally:
            self._state.queued_tokens -= tokens
        self._state.prefilled_tokens += tokens
        self._state.record_prefix(body["prompt"], tokens)
        return not work.ended.is_set()

    def _export(self, work: Work, tokens: int) -> dict[str, Any]:
        export = {
            "export_id": uuid.uuid4().hex,
            "prompt_tokens": tokens,
            "kv_bytes": tokens * KV_BYTES_PER_TOKEN,
            "lives_s": self._settings.export_life_s,
        }
        self._state.exports[export["export_id"]] = export
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._settings.export_life_s,
            self._expire,
            export["export_id"],
            work.request_id,
        )
        return export

    def _expire(self, export_id: str, request_id: str) -> None:
        self._state.exports.pop(export_id, None)
        self._state.remove(request_id)

    async def fetch_export(self, request: web.Request) -> web.Response:
        """Serve an export to a decode engine until it expires."""
        export = self._state.exports.get(request.match_info["export_id"])
        if export is None:
            raise web.HTTPGone
        return web.json_response(export)

    async def import_kv(self, request: web.Request) -> web.Response:
        """Reserve memory and fetch an export over the link."""
        body = await request.json()
        if self._settings.stall_imports:
            await asyncio.Event().wait()
        settings = self._settings
        full = len(self._state.work) >= settings.slots
        if full or self._state.used_pieces() + body["pieces"] > settings.pieces:
            raise web.HTTPTooManyRequests
        work = self._state.add(
            body["request_id"], body["incarnation"], body["pieces"], "import"
        )
        try:
            await self._fetch(body["export"])
        except BaseException:
            self._state.remove(work.request_id)
            raise
        return web.json_response({})

    async def _fetch(self, export: dict[str, Any]) -> None:
        url = f"{export['engine_url']}/v1/exports/{export['export_id']}"
        await asyncio.sleep(export["kv_bytes"] / self._settings.link_bytes_per_s)
        timeout = ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with (
                ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                if response.status != 200:
                    raise web.HTTPGone
        except (TimeoutError, ClientError) as error:
            raise web.HTTPGone from error

    async def decode(self, request: web.Request) -> web.StreamResponse:
        """Stream tokens; production continues after the connection closes."""
        body = await request.json()
        work = self._state.work.get(body["request_id"])
        if work is None:
            raise web.HTTPGone(text="no KV cache of this request")
        self._crash_on_word(body["prompt"])
        work.phase = "decode"
        response = web.StreamResponse()
        await response.prepare(request)
        producer = asyncio.create_task(self._produce(work, body, response))
        await asyncio.shield(producer)
        return response

    async def _produce(
        self, work: Work, body: dict[str, Any], response: web.StreamResponse
    ) -> None:
        """Produce one token per step until ``max_tokens`` or a cancel."""
        for position in range(body["start"], body["max_tokens"]):
            await asyncio.sleep(self._settings.step_s)
            if work.ended.is_set():
                return
            self._state.decoded_tokens += 1
            text = token_text(body["prompt"], position)
            await self._send(response, {"position": position, "text": text})
        self._state.remove(work.request_id)
        await self._send(response, {"done": True})

    @staticmethod
    async def _send(response: web.StreamResponse, item: dict[str, Any]) -> None:
        try:
            await response.write(json.dumps(item).encode() + b"\n")
        except (ConnectionError, RuntimeError):
            return

    async def cancel(self, request: web.Request) -> web.Response:
        """Free what a request holds; the next ``ignore_cancels`` cancels hang."""
        body = await request.json()
        if self._settings.ignore_cancels > 0:
            self._settings.ignore_cancels -= 1
            await asyncio.Event().wait()
        held = self._state.remove(body["request_id"])
        return web.json_response({"held": held})

    async def list_work(self, request: web.Request) -> web.Response:
        """Return the requests that hold memory."""
        items = [work.to_item() for work in self._state.work.values()]
        return web.json_response({"work": items})

    async def load(self, request: web.Request) -> web.Response:
        """Return the load as it was ``load_lag_s`` ago."""
        return web.json_response(self._state.report_load())

    async def events(self, request: web.Request) -> web.Response:
        """Return cache events after a sequence number."""
        after = int(request.query.get("after", "0"))
        found = [item for item in self._state.events if item["sequence"] > after]
        return web.json_response({"events": found})

    async def order(self, request: web.Request) -> web.Response:
        """Execute an order; refuse a stale fencing token if fencing is checked."""
        body = await request.json()
        if self._settings.checks_fencing and body["fencing"] < self._state.fencing:
            raise web.HTTPConflict(text="old fencing number")
        self._state.fencing = max(self._state.fencing, body["fencing"])
        self._state.ordered[body["action"]] = body["argument"]
        self._state.order_count += 1
        return web.json_response({})

    async def control(self, request: web.Request) -> web.Response:
        """Change speed and faults; return the counters."""
        for name, value in (await request.json()).items():
            setattr(self._settings, name, value)
        return web.json_response(
            {
                "work": len(self._state.work),
                "prefilled_tokens": self._state.prefilled_tokens,
                "decoded_tokens": self._state.decoded_tokens,
                "orders": self._state.order_count,
            }
        )


def create_app(settings: EngineSettings) -> web.Application:
    """Return an engine's application."""
    standin = EngineStandIn(settings)
    app = web.Application()
    app.router.add_post("/v1/prefill", standin.prefill)
    app.router.add_get("/v1/exports/{export_id}", standin.fetch_export)
    app.router.add_post("/v1/import", standin.import_kv)
    app.router.add_post("/v1/decode", standin.decode)
    app.router.add_post("/v1/cancel", standin.cancel)
    app.router.add_get("/v1/work", standin.list_work)
    app.router.add_get("/v1/load", standin.load)
    app.router.add_get("/v1/events", standin.events)
    app.router.add_post("/v1/orders", standin.order)
    app.router.add_post("/control", standin.control)
    return app


def main(
    host: str = "127.0.0.1", port: int = 7100, checks_fencing: bool = True
) -> None:
    """Run an engine's stand-in."""
    settings = EngineSettings(checks_fencing=checks_fencing)
    run(lambda: create_app(settings), host, port)


if __name__ == "__main__":
    typer.run(main)
