"""Operators' endpoints of a routing daemon: metrics, and status rows by subject."""

from collections.abc import Callable
from dataclasses import asdict

from aiohttp import web

from marjoramstile.routes.status import SUBJECTS, FleetStatus

ROWS_PREFIX = "/v1/rows/"
NOT_FOUND = 404


class OperatorEndpoints:
    """Serves metrics and status queries on the internal port."""

    def __init__(self, metrics_text: Callable[[], str], status: FleetStatus):
        self._metrics_text = metrics_text
        self._status = status

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer GET /v1/rows/SUBJECT with rows, any other path with the metrics."""
        if not request.path.startswith(ROWS_PREFIX):
            return web.Response(text=self._metrics_text())
        name = request.path.removeprefix(ROWS_PREFIX)
        if name not in SUBJECTS:
            message = f"unknown subject {name}; there are {', '.join(SUBJECTS)}"
            body = {"error": {"code": NOT_FOUND, "message": message}}
            return web.json_response(body, status=NOT_FOUND)
        return web.json_response(asdict(await self._status.ask(name)))
