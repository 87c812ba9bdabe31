"""Client for prefill and decode engines (docs/ENGINES.md)."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from marjoramstile.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointProblem,
)
from marjoramstile.slots.reservations import WorkItem

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 1.0
PREFILL_TIMEOUT_S = 30.0
TOKEN_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class PrefillOrder:
    """A request to prefill a prompt and the answer generated so far.

    ``incarnation`` identifies the daemon process that owns the work.
    """

    request_id: str
    incarnation: str
    prompt: str
    generated: str
    priority: int


@dataclass(frozen=True)
class Export:
    """A prefill's KV cache, which its engine keeps for ``lives_s`` seconds."""

    export_id: str
    engine_url: str
    prompt_tokens: int
    kv_bytes: int
    lives_s: float


@dataclass(frozen=True)
class DecodeOrder:
    """A request to decode from the imported KV cache, from token ``start`` on."""

    request_id: str
    incarnation: str
    prompt: str
    start: int
    max_tokens: int
    priority: int


@dataclass(frozen=True)
class Token:
    """One token of an answer and its position."""

    position: int
    text: str


@dataclass(frozen=True)
class EngineLoad:
    """An engine's load report; ``instance`` changes when its process restarts.

    ``settings`` maps the action of each executed order to its last argument.
    """

    instance: str
    queued_tokens: int
    tokens_per_s: float
    running: int = 0
    used_pieces: int = 0
    settings: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class EngineOrder:
    """An operator's order to an engine; ``fencing`` is its fencing token."""

    fencing: int
    action: str
    argument: str


class EngineClient(Protocol):
    """Operations that the daemon uses on an engine at ``url``."""

    async def prefill(
        self, url: str, order: PrefillOrder
    ) -> Result[Export, EndpointError]:
        """Prefill a prompt and export its KV cache."""

    async def import_kv(
        self,
        url: str,
        request_id: str,
        incarnation: str,
        pieces: int,
        export: Export,
        timeout_s: float,
    ) -> Result[None, EndpointError]:
        """Make the decode engine fetch an export."""

    def decode(self, url: str, order: DecodeOrder) -> AsyncIterator[Token]:
        """Stream tokens; raises EndpointFailedError if the stream fails."""

    async def cancel(self, url: str, request_id: str) -> Result[None, EndpointError]:
        """Cancel a request and release what the engine holds for it."""

    async def work(self, url: str) -> Result[tuple[WorkItem, ...], EndpointError]:
        """List the work that the engine holds."""

    async def load(self, url: str) -> Result[EngineLoad, EndpointError]:
        """Read the engine's load report."""

    async def order(self, url: str, order: EngineOrder) -> Result[None, EndpointError]:
        """Send an order; REFUSED if its fencing token is outdated."""


class HTTPEngineClient:
    """Engine client that uses HTTP with JSON bodies."""

    def __init__(self, session: ClientSession):
        self._session = session

    async def prefill(
        self, url: str, order: PrefillOrder
    ) -> Result[Export, EndpointError]:
        """Prefill a prompt and export its KV cache."""
        answer = await self._post(url, "prefill", asdict(order), PREFILL_TIMEOUT_S)
        return answer.map(lambda body: Export(engine_url=url, **body))

    async def import_kv(
        self,
        url: str,
        request_id: str,
        incarnation: str,
        pieces: int,
        export: Export,
        timeout_s: float,
    ) -> Result[None, EndpointError]:
        """Make the decode engine fetch an export."""
        body = {
            "request_id": request_id,
            "incarnation": incarnation,
            "pieces": pieces,
            "export": asdict(export),
        }
        answer = await self._post(url, "import", body, timeout_s)
        return answer.map(lambda _: None)

    async def decode(self, url: str, order: DecodeOrder) -> AsyncIterator[Token]:
        """Stream tokens; raises EndpointFailedError if the stream fails."""
        timeout = ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=TOKEN_TIMEOUT_S
        )
        try:
            async with self._session.post(
                f"{url}/v1/decode", json=asdict(order), timeout=timeout
            ) as response:
                if response.status != 200:
                    error = _status_error(response.status, await response.text())
                    raise EndpointFailedError(url, error)
                async for line in response.content:
                    item = json.loads(line)
                    if item.get("done"):
                        return
                    yield Token(item["position"], item["text"])
        except (TimeoutError, ClientError, ValueError, KeyError) as error:
            raise EndpointFailedError(url, to_endpoint_error(error)) from error
        lost = EndpointError(
            EndpointProblem.LOST, "the stream ended before it was done"
        )
        raise EndpointFailedError(url, lost)

    async def cancel(self, url: str, request_id: str) -> Result[None, EndpointError]:
        """Cancel a request and release what the engine holds for it."""
        answer = await self._post(url, "cancel", {"request_id": request_id})
        return answer.map(lambda _: None)

    async def work(self, url: str) -> Result[tuple[WorkItem, ...], EndpointError]:
        """List the work that the engine holds."""
        answer = await self._call("GET", f"{url}/v1/work", None, CONTROL_TIMEOUT_S)
        return answer.map(lambda body: tuple(WorkItem(**item) for item in body["work"]))

    async def load(self, url: str) -> Result[EngineLoad, EndpointError]:
        """Read the engine's load report."""
        answer = await self._call("GET", f"{url}/v1/load", None, CONTROL_TIMEOUT_S)
        return answer.map(
            lambda body: EngineLoad(
                body["instance"],
                body["queued_tokens"],
                body["tokens_per_s"],
                body["running"],
                body["used_pieces"],
                body.get("settings", {}),
            )
        )

    async def order(self, url: str, order: EngineOrder) -> Result[None, EndpointError]:
        """Send an order; REFUSED if its fencing token is outdated."""
        answer = await self._post(url, "orders", asdict(order))
        return answer.map(lambda _: None)

    async def _post(
        self,
        url: str,
        method: str,
        body: dict[str, Any],
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Result[dict[str, Any], EndpointError]:
        return await self._call("POST", f"{url}/v1/{method}", body, timeout_s)

    async def _call(
        self, method: str, url: str, body: dict[str, Any] | None, timeout_s: float
    ) -> Result[dict[str, Any], EndpointError]:
        timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    text = await response.text()
                    return Err(_status_error(response.status, text))
                return Ok(await response.json())
        except (TimeoutError, ClientError, ValueError) as error:
            return Err(to_endpoint_error(error))


def _status_error(status: int, text: str) -> EndpointError:
    problem = EndpointProblem.GONE if status == 410 else EndpointProblem.REFUSED
    if status >= 500:
        problem = EndpointProblem.LOST
    return EndpointError(problem, f"status {status}: {text[:200]}")


def to_endpoint_error(error: Exception) -> EndpointError:
    """Classify an exception of the HTTP client."""
    if isinstance(error, ClientConnectorError):
        return EndpointError(EndpointProblem.UNREACHABLE, str(error))
    if isinstance(error, asyncio.TimeoutError):
        return EndpointError(EndpointProblem.TIMEOUT, "no answer in time")
    return EndpointError(EndpointProblem.LOST, repr(error))
