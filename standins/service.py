"""Stand-in for a plain service or the old system; counts every execution.

``POST /control`` sets ``delay_s``, the delay before an answer, and ``fail_after_run``,
which aborts that many connections after the execution and before the answer.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import typer
from aiohttp import web

from standins.serving import run


@dataclass
class ServiceStandIn:
    """HTTP handlers of one service; counts executions by idempotency key or path."""

    name: str
    delay_s: float = 0.0
    fail_after_run: int = 0
    executions: Counter[str] = field(default_factory=Counter)

    async def execute(self, request: web.Request) -> web.Response:
        """Execute a call; repeated calls are executed again."""
        key = request.headers.get("Idempotency-Key") or request.path
        self.executions[key] += 1
        await asyncio.sleep(self.delay_s)
        if self.fail_after_run > 0:
            self.fail_after_run -= 1
            request.transport.abort()
        body = {
            "service": self.name,
            "path": request.path,
            "workspace": request.headers.get("X-Workspace"),
            "execution": self.executions[key],
        }
        return web.json_response(body)

    async def control(self, request: web.Request) -> web.Response:
        """Set faults; return the executions."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({"executions": dict(self.executions)})


def create_app(name: str) -> web.Application:
    """Return a service's application."""
    standin = ServiceStandIn(name)
    app = web.Application()
    app.router.add_post("/control", standin.control)
    app.router.add_route("*", "/{path:.*}", standin.execute)
    return app


def main(
    host: str = "127.0.0.1", port: int = 7300, name: str = "plain-service"
) -> None:
    """Run a plain service's stand-in."""
    run(lambda: create_app(name), host, port)


if __name__ == "__main__":
    typer.run(main)
