"""Operators' endpoints of a routing daemon: metrics, status rows, and the blocklist."""

import json
from collections.abc import Callable
from dataclasses import asdict

from aiohttp import web

from marjoramstile.crashes.keys import is_key
from marjoramstile.crashes.sharing import BlocklistSharing
from marjoramstile.fronts.bodies import BodyReader, BodyRefusedError
from marjoramstile.fronts.listening import close_when_idle
from marjoramstile.logs import get_logger
from marjoramstile.routes.status import SUBJECTS, FleetStatus

ROWS_PREFIX = "/v1/rows/"
BLOCKLIST_PATH = "/v1/blocklist"
BAD_REQUEST = 400
NOT_FOUND = 404
BLOCK_MAX_BYTES = 65_536

logger = get_logger(__name__)


class OperatorEndpoints:
    """Serves metrics, status queries and changes of the blocklist, internally."""

    def __init__(
        self,
        metrics_text: Callable[[], str],
        status: FleetStatus,
        sharing: BlocklistSharing,
        bodies: BodyReader,
    ):
        self._metrics_text = metrics_text
        self._status = status
        self._sharing = sharing
        self._bodies = bodies

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer GET /v1/rows/SUBJECT with rows, any other GET with the metrics.

        POST /v1/blocklist blocks a key of a service, or lifts its block.
        """
        if request.method == "POST" and request.path == BLOCKLIST_PATH:
            return await self._set_block(request)
        if not request.path.startswith(ROWS_PREFIX):
            return web.Response(text=self._metrics_text())
        name = request.path.removeprefix(ROWS_PREFIX)
        if name not in SUBJECTS:
            message = f"unknown subject {name}; there are {', '.join(SUBJECTS)}"
            body = {"error": {"code": NOT_FOUND, "message": message}}
            return web.json_response(body, status=NOT_FOUND)
        return web.json_response(asdict(await self._status.ask(name)))

    async def _set_block(self, request: web.BaseRequest) -> web.Response:
        try:
            async with self._bodies.read_body(request, BLOCK_MAX_BYTES) as data:
                body = json.loads(data)
            service, key, blocked = body["service"], body["key"], body["blocked"]
        except BodyRefusedError as error:
            close_when_idle(request)
            return _error_response(error.status, str(error))
        except (ValueError, KeyError, TypeError, RecursionError):
            return _bad_request("the body needs service, key and blocked")
        if not isinstance(service, str) or not is_key(key) or blocked not in (0, 1):
            return _bad_request("a key is part/ID or content/FINGERPRINT")
        entry = self._sharing.set_block(service, key, bool(blocked))
        logger.warning(
            "block_set", service=service, key=key, blocked=bool(blocked), by=entry.by
        )
        return web.json_response(asdict(entry))


def _bad_request(message: str) -> web.Response:
    return _error_response(BAD_REQUEST, message)


def _error_response(status: int, message: str) -> web.Response:
    body = {"error": {"code": status, "message": message}}
    return web.json_response(body, status=status)
