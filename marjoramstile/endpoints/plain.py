"""Client for plain services and for the old system."""

from dataclasses import dataclass
from typing import Protocol

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from result import Err, Ok, Result

from marjoramstile.endpoints.engines import CONNECT_TIMEOUT_S, to_endpoint_error
from marjoramstile.endpoints.errors import EndpointError, EndpointProblem


@dataclass(frozen=True)
class PlainCall:
    """A call to forward; ``path`` begins with a slash."""

    method: str
    path: str
    body: bytes
    content_type: str
    workspace: str
    idempotency_key: str


@dataclass(frozen=True)
class PlainAnswer:
    """The endpoint's answer, returned to the caller unchanged."""

    status: int
    content_type: str
    body: bytes


class PlainClient(Protocol):
    """The operation that the daemon uses on a plain service's endpoint at ``url``."""

    async def call(
        self, url: str, call: PlainCall, timeout_s: float
    ) -> Result[PlainAnswer, EndpointError]:
        """Forward a call once, without retries."""


class HTTPPlainClient:
    """Forwards calls over HTTP, each on a new connection.

    A reused connection may break while a call is in flight, which leaves it unknown
    whether the call ran; a new connection that is refused proves that it did not.
    """

    def __init__(self, session: ClientSession):
        self._session = session

    async def call(
        self, url: str, call: PlainCall, timeout_s: float
    ) -> Result[PlainAnswer, EndpointError]:
        """Forward a call once, without retries."""
        headers = {"X-Workspace": call.workspace, "Connection": "close"}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        timeout = ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                call.method,
                url + call.path,
                data=call.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
                content_type = response.headers.get("Content-Type", "")
                return Ok(PlainAnswer(response.status, content_type, body))
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return Err(EndpointError(EndpointProblem.UNREACHABLE, str(error)))
        except (TimeoutError, ClientError) as error:
            return Err(to_endpoint_error(error))
