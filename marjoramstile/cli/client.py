"""HTTP client for the daemons' operator interfaces."""

from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

REQUEST_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class DaemonResponse:
    """A daemon's JSON response, or the reason why there is none."""

    body: dict[str, Any] = field(default_factory=dict)
    unreachable: str = ""


async def send_request(
    daemon: str, token: str, method: str, path: str, body: Any
) -> DaemonResponse:
    """Send one request to the daemon at ``daemon`` (HOST:PORT).

    ``unreachable`` is set if the connection fails, times out or returns no JSON.
    """
    headers = {"Authorization": f"Bearer {token}"}
    timeout = ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            ClientSession(headers=headers, timeout=timeout) as session,
            session.request(method, f"http://{daemon}{path}", json=body) as response,
        ):
            return DaemonResponse(await response.json())
    except (TimeoutError, ClientError, ValueError) as error:
        return DaemonResponse(unreachable=str(error) or "request timed out")
