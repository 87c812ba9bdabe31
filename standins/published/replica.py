"""Stand-in for one replica over the published protocol, simulated by FakePool.

It writes its row into the store like a real replica. ``GET /control/runs`` returns how
often each request id ran and how long ago each request arrived; ``POST
/control/faults`` sets the replica's faults; ``POST /control/drain`` marks it as
draining.
"""

import asyncio
import base64
import contextlib
import json
import os
import time
from collections import Counter
from dataclasses import asdict, dataclass, replace
from typing import Any

import typer
from aiohttp import ClientError, ClientSession, web

from marjoramstile.platform.headers import shared_parts
from marjoramstile.routes.replica_types import Stage
from marjoramstile.routes.requests import (
    AnswerLostError,
    GenerationSize,
    Hold,
    KVHandle,
    NotExecutedError,
    NotSentError,
    RoutedRequest,
    SendOptions,
)
from marjoramstile.routes.table import Route, RouteKind
from marjoramstile.utils import loop_time
from standins.replica_pool import FakePool, Faults, ReplicaModel
from standins.serving import run

HEARTBEAT_S = 0.3
ROW_TTL_S = 3 * HEARTBEAT_S
# Requests in flight arrive for up to this long after a refusal; they don't count.
PAUSE_GRACE_S = 0.5
# Exit code of a replica that a request has crashed.
CRASHED_EXIT = 70
# Time after a raw answer in which the connection stays half open.
RAW_END_S = 1.0
ENDLESS_CHUNK = b"x" * 60_000
NOT_EXECUTED = {"X-Not-Executed": "1"}
_ROUTE = Route("r", "", "/", RouteKind.STREAM, 60.0, 1.0, 1, (), 9, True, None)


@dataclass(frozen=True)
class Identity:
    """Name, location and software version of the replica, and its store's address."""

    id: str
    service: str
    stage: str
    host: str
    port: int
    zone: str
    store: str
    version: str


class PublishedReplica:
    """HTTP handlers of one replica."""

    def __init__(self, identity: Identity, model: ReplicaModel, faults: Faults):
        self._identity = identity
        self._pool = FakePool()
        # Runs are printed, so that they can be counted after the replica was killed.
        self._pool.on_run = lambda request_id: print("run", request_id, flush=True)
        self._pool.on_crash = lambda: os._exit(CRASHED_EXIT)
        stage = Stage(identity.stage) if identity.stage else None
        self._fake = self._pool.add(
            identity.id, identity.service, stage, model, identity.version
        )
        address = replace(self._fake.replica, host=identity.host, port=identity.port)
        self._fake.replica = address
        self._fake.faults = faults
        self._started_at_ms = round(time.time() * 1000)
        self._state = "ready"
        self._orders = 0
        self._fencing_token = 0
        self._sequence = 0
        self._paused_at: dict[str, float] = {}
        self._in_pause: Counter[str] = Counter()
        self._arrivals: list[float] = []

    @web.middleware
    async def refuse_during_pause(self, request: web.Request, handler):
        """Refuse requests while the replica asks for a pause."""
        faults = self._fake.faults
        if request.path.startswith("/control/"):
            return await handler(request)
        if faults.pause_s:
            return self._refuse_with_pause(str(request.remote), faults.pause_s)
        return await handler(request)

    async def add_notices(self, request: web.Request, response: web.StreamResponse):
        """Add to an answer that the replica leaves, and the limit that it names."""
        if request.path.startswith("/control/"):
            return
        faults = self._fake.faults
        if faults.leaving:
            response.headers["Server-Leaving"] = "1"
        if faults.limit_per_s:
            response.headers["Server-Limit"] = str(faults.limit_per_s)

    def _refuse_with_pause(self, caller: str, pause_s: float) -> web.Response:
        """Refuse with Retry-After; count requests sent within that time."""
        now = loop_time()
        since_s = now - self._paused_at.setdefault(caller, now)
        if PAUSE_GRACE_S < since_s < pause_s:
            self._in_pause[caller] += 1
        headers = {**NOT_EXECUTED, "Retry-After": str(max(0.0, pause_s - since_s))}
        return web.Response(status=503, headers=headers)

    def _request(self, request: web.Request, body: bytes) -> RoutedRequest:
        headers = request.headers
        counts = headers.get("X-Token-Count")
        size = None
        if counts:
            prompt, output = (int(part) for part in counts.split(","))
            size = GenerationSize(prompt, output, output)
        return RoutedRequest(
            id=headers["X-Request-Id"],
            method=request.method,
            target=request.raw_path,
            headers=(),
            body=body,
            route=_ROUTE,
            service=self._identity.service,
            arrived=loop_time(),
            deadline=loop_time() + int(headers.get("X-Deadline-Ms", 10_000)) / 1000,
            size=size,
            shared_parts=shared_parts(tuple(headers.items())),
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run a prefill, a plain call or a stream, as the headers request."""
        expected = request.headers.get("X-Expect-Instance")
        if expected is not None and expected != self._identity.id:
            return web.Response(status=421, headers=NOT_EXECUTED)
        self._arrivals.append(loop_time())
        if self._fake.faults.endless_answers:
            return await self._answer_endlessly(request)
        if self._fake.faults.raw_answers:
            return await self._answer_raw(request)
        routed = self._request(request, await request.read())
        left_s = routed.deadline - loop_time()
        replica = self._fake.replica
        try:
            if request.headers.get("X-Stage") == "prefill":
                handle = await self._pool.prefill(replica, routed, left_s)
                body = {"kvHandle": handle.id, "tokens": routed.size.prompt}
                headers = {"X-Request-Id": routed.id}
                return web.json_response({**body, "version": 1}, headers=headers)
            if routed.size is None:
                reply = await self._pool.call(replica, routed, left_s)
                return web.Response(
                    status=reply.status, body=reply.body, headers=self._stamp(routed)
                )
            return await self._stream(request, routed, left_s)
        except NotExecutedError:
            return web.Response(status=503, headers=NOT_EXECUTED)
        except (AnswerLostError, NotSentError):
            request.transport.abort()
            return web.Response(status=500)

    async def _answer_endlessly(self, request: web.Request) -> web.StreamResponse:
        """Send a body until the caller closes the connection."""
        faults = self._fake.faults
        faults.endless_answers -= 1
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        response = web.StreamResponse(status=faults.endless_status, headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            while True:
                await response.write(ENDLESS_CHUNK)
        return response

    async def _answer_raw(self, request: web.Request) -> web.StreamResponse:
        """Send a text in place of an answer, and end the connection by FIN."""
        faults = self._fake.faults
        faults.raw_answers -= 1
        answer = faults.raw_answer.replace("ID", request.headers["X-Request-Id"])
        request.transport.pause_reading()
        request.transport.write(answer.encode())
        request.transport.write_eof()
        await asyncio.sleep(RAW_END_S)
        request.transport.abort()
        return web.Response(status=500)

    def _stamp(self, routed: RoutedRequest) -> dict[str, str]:
        return {"X-Request-Id": routed.id, "X-Server-Stamp": self._identity.id}

    async def _stream(
        self, request: web.Request, routed: RoutedRequest, left_s: float
    ) -> web.StreamResponse:
        headers = request.headers
        hold = headers.get("X-Kv-Hold")
        last = headers.get("Last-Event-Id")
        options = SendOptions(
            hold=Hold(hold, 0) if hold else None,
            resume_after=int(last) if last else None,
        )
        source = headers.get("X-Kv-Source")
        if source and not await self._fetch_handle(*source.split("/")):
            raise NotExecutedError(503)
        if source:
            # The fetched KV cache covers the prompt, so it is not prefilled here.
            options = replace(options, source=self._local_handle(routed.id))
        async with self._pool.stream(
            self._fake.replica, routed, left_s, options
        ) as answer:
            response = web.StreamResponse(headers=self._stamp(routed))
            if self._fake.faults.unframed:
                response.force_close()
            else:
                response.enable_chunked_encoding()
            await response.prepare(request)
            async for chunk in answer.chunks:
                await response.write(chunk)
            await response.write_eof()
            return response

    async def _fetch_handle(self, address: str, handle: str) -> bool:
        """Fetch a handle from the replica that prefilled; return False if invalid."""
        url = f"http://{address}/control/take/{handle}"
        try:
            async with ClientSession() as session, session.post(url) as answer:
                return answer.status == 200
        except (ClientError, OSError):
            return False

    def _local_handle(self, request_id: str) -> KVHandle:
        name = f"fetched-{request_id}"
        self._fake.handles[name] = loop_time() + 1.0
        return KVHandle(self._fake.replica.address, name)

    async def serve_handle(self, request: web.Request) -> web.Response:
        """Answer a replica that fetches a handle; a handle can be fetched once."""
        expires = self._fake.handles.pop(request.match_info["id"], 0.0)
        return web.Response(status=200 if expires > loop_time() else 404)

    async def release_handle(self, request: web.Request) -> web.Response:
        """Answer DELETE /v1/kv-handle/ID."""
        self._fake.handles.pop(request.match_info["id"], None)
        return web.Response()

    async def acquire_hold(self, request: web.Request) -> web.Response:
        """Answer POST /v1/hold-take."""
        body = await request.json()
        hold = await self._pool.acquire_hold(
            self._fake.replica, body["tokens"], body["ttlMs"] / 1000
        )
        if hold is None:
            return web.Response(status=503, headers=NOT_EXECUTED)
        return web.json_response({"hold": hold.id})

    async def release_hold(self, request: web.Request) -> web.Response:
        """Answer DELETE /v1/hold-drop/ID."""
        self._fake.holds.pop(request.match_info["id"], None)
        return web.Response()

    async def report(self, request: web.Request) -> web.Response:
        """Answer GET /v1/report."""
        stage = self._fake.replica.stage
        body = {"stage": stage, "busy": False, "sequence": self._orders}
        born = {"born": self._started_at_ms}
        return web.json_response({**body, **born, "kvUsed": self._fake.used_tokens})

    async def order(self, request: web.Request) -> web.Response:
        """Answer POST /v1/order: the stage changes at once."""
        body = await request.json()
        if body["fencingToken"] < self._fencing_token:
            return web.Response(status=412)
        self._fencing_token = body["fencingToken"]
        if body.get("expectedRevision", self._orders) != self._orders:
            return web.Response(status=409)
        self._orders += 1
        stage = Stage(body["stage"])
        self._fake.replica = replace(self._fake.replica, stage=stage)
        return web.Response(status=202)

    async def runs(self, request: web.Request) -> web.Response:
        """Return how often each request ran, and what is held at the moment."""
        held = {"running": len(self._fake.running), "tokens": self._fake.used_tokens}
        counts_by_id = {"runs": dict(self._pool.runs), "in_pause": dict(self._in_pause)}
        now = loop_time()
        ages_s = [now - arrived for arrived in self._arrivals]
        return web.json_response({**counts_by_id, **held, "ages_s": ages_s})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the replica's faults."""
        self._fake.faults = Faults(**await request.json())
        return web.json_response(asdict(self._fake.faults))

    async def drain(self, request: web.Request) -> web.Response:
        """Mark the replica as draining in its row."""
        self._state = "draining"
        return web.Response()

    def _row(self) -> dict[str, Any]:
        identity = self._identity
        value = {
            "service": identity.service,
            "address": f"{identity.host}:{identity.port}",
            "zone": identity.zone,
            "version": identity.version,
            "slots": self._fake.model.slots,
            "state": self._state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._started_at_ms,
        }
        if self._fake.replica.stage is not None:
            value["stage"] = str(self._fake.replica.stage)
            value["models"] = [{"name": "m", "version": 1, "adapters": []}]
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": "servers", "key": identity.id, "value": encoded}
        return {**row, "ttl_s": ROW_TTL_S}

    async def heartbeat(self) -> None:
        """Write the row every ``HEARTBEAT_S`` until cancelled."""
        url = f"http://{self._identity.store}/control/rows"
        async with ClientSession() as session:
            while True:
                self._sequence += 1
                try:
                    async with session.post(url, json={"rows": [self._row()]}):
                        pass
                except (ClientError, OSError) as error:
                    print(f"heartbeat failed: {error!r}", flush=True)
                await asyncio.sleep(HEARTBEAT_S)


def create_app(
    identity: Identity, model: ReplicaModel, faults: Faults
) -> web.Application:
    """Return the replica's application."""
    replica = PublishedReplica(identity, model, faults)
    app = web.Application(
        client_max_size=8_388_608, middlewares=[replica.refuse_during_pause]
    )
    app.on_response_prepare.append(replica.add_notices)
    router = app.router
    router.add_post("/v1/hold-take", replica.acquire_hold)
    router.add_delete("/v1/hold-drop/{id}", replica.release_hold)
    router.add_delete("/v1/kv-handle/{id}", replica.release_handle)
    router.add_get("/v1/report", replica.report)
    router.add_post("/v1/order", replica.order)
    router.add_post("/control/take/{id}", replica.serve_handle)
    router.add_get("/control/runs", replica.runs)
    router.add_post("/control/faults", replica.set_faults)
    router.add_post("/control/drain", replica.drain)
    router.add_route("*", "/{path:.*}", replica.handle)

    async def run_heartbeat(app: web.Application):
        task = asyncio.create_task(replica.heartbeat())
        yield
        task.cancel()

    app.cleanup_ctx.append(run_heartbeat)
    return app


def main(
    replica_id: str = typer.Option(..., "--id"),
    service: str = typer.Option(...),
    stage: str = typer.Option(""),
    host: str = typer.Option(...),
    port: int = typer.Option(...),
    zone: str = typer.Option("a"),
    store: str = typer.Option(...),
    version: str = typer.Option("v1", help="Version of the replica's software."),
    work_s: float = typer.Option(0.03),
    faults: str = typer.Option("{}", help="Faults from the start, as JSON."),
) -> None:
    """Serve one replica."""
    identity = Identity(replica_id, service, stage, host, port, zone, store, version)
    model = ReplicaModel(work_s=work_s)
    run(lambda: create_app(identity, model, Faults(**json.loads(faults))), host, port)


if __name__ == "__main__":
    typer.run(main)
