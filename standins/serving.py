"""Runs a stand-in's aiohttp application until the process is killed."""

import asyncio
from collections.abc import Callable

from aiohttp import web

# Whatever the routing daemons accept of callers.
HEAD_MAX_BYTES = 65_536


async def serve(app: web.Application, host: str, port: int) -> None:
    """Serve ``app`` until cancelled."""
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=0.1,
        max_line_size=HEAD_MAX_BYTES,
        max_field_size=HEAD_MAX_BYTES,
        max_headers=HEAD_MAX_BYTES,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


def run(create_app: Callable[[], web.Application], host: str, port: int) -> None:
    """Create the application inside a new event loop and serve it."""

    async def main() -> None:
        await serve(create_app(), host, port)

    asyncio.run(main())
