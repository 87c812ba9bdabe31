"""Stand-in for the platform: table service, object store, list of VMs.

``POST /control`` sets faults: ``outage`` answers every request with 503, ``slow_s``
delays requests, ``lose_answers`` drops the answers of that many writes after they
took effect. ``vms`` sets the list of VMs, which changes ``list_lag_s`` later.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import typer
from aiohttp import web

from standins.serving import run
from standins.tables import TableState


@dataclass
class PlatformFaults:
    """Active faults of the platform."""

    outage: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0


@dataclass
class PlatformStandIn:
    """HTTP handlers and state of the platform."""

    tables: TableState = field(default_factory=TableState)
    objects: dict[str, bytes] = field(default_factory=dict)
    vms: list[dict[str, Any]] = field(default_factory=list)
    faults: PlatformFaults = field(default_factory=PlatformFaults)

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Apply the active faults to everything but control requests."""
        if request.path == "/control":
            return await handler(request)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        response = await handler(request)
        changes = request.method in ("POST", "PUT")
        if changes and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return response

    async def read(self, request: web.Request) -> web.Response:
        """Return a row."""
        names = request.match_info
        return web.json_response(self.tables.read(names["table"], names["key"]))

    async def scan(self, request: web.Request) -> web.Response:
        """Return a table."""
        rows = self.tables.scan(request.match_info["table"])
        return web.json_response({"rows": rows})

    async def transact(self, request: web.Request) -> web.Response:
        """Commit a transaction."""
        body = await request.json()
        outcome = self.tables.transact(body["conditions"], body["writes"])
        return web.json_response(outcome)

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object."""
        data = self.objects.get(request.match_info["name"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        self.objects[request.match_info["name"]] = await request.read()
        return web.json_response({})

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the list of VMs."""
        return web.json_response({"vms": self.vms})

    async def control(self, request: web.Request) -> web.Response:
        """Set faults or the list of VMs; return the counters."""
        body = await request.json()
        if "vms" in body:
            vms = body.pop("vms")
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.list_lag_s, self._set_vms, vms)
        for name, value in body.items():
            setattr(self.faults, name, value)
        counts = {"reads": self.tables.reads, "writes": self.tables.writes}
        return web.json_response(counts)

    def _set_vms(self, vms: list[dict[str, Any]]) -> None:
        self.vms = vms


def create_app() -> web.Application:
    """Return the platform's application."""
    standin = PlatformStandIn()
    app = web.Application(middlewares=[standin.inject_faults])
    app.router.add_get("/tables/{table}/rows", standin.scan)
    app.router.add_get("/tables/{table}/rows/{key:.+}", standin.read)
    app.router.add_post("/transactions", standin.transact)
    app.router.add_get("/objects/{name}", standin.get_object)
    app.router.add_put("/objects/{name}", standin.put_object)
    app.router.add_get("/vms", standin.list_vms)
    app.router.add_post("/control", standin.control)
    return app


def main(host: str = "127.0.0.1", port: int = 7000) -> None:
    """Run the platform's stand-in."""
    run(create_app, host, port)


if __name__ == "__main__":
    typer.run(main)
