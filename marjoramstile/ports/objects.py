"""The platform's object store: port and HTTP client."""

from typing import Protocol
from urllib.parse import quote

from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from marjoramstile.ports.tables import StoreError


class ObjectStore(Protocol):
    """Interface that marjoramstile needs from the platform's object store."""

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, or None if there is none."""

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object under ``name``."""


class HTTPObjectStore:
    """Client of the object store's HTTP interface."""

    def __init__(self, session: ClientSession, url: str, timeout_s: float):
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout_s)

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, or None if there is none."""
        answer = await self._call("GET", name, None)
        return answer.map(lambda found: found[1] if found[0] == 200 else None)

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object under ``name``."""
        answer = await self._call("PUT", name, data)
        return answer.map(lambda _: None)

    async def _call(
        self, method: str, name: str, data: bytes | None
    ) -> Result[tuple[int, bytes], StoreError]:
        url = f"{self._url}/objects/{quote(name, safe='')}"
        try:
            async with self._session.request(
                method, url, data=data, timeout=self._timeout
            ) as response:
                if response.status not in (200, 404):
                    return Err(StoreError(f"status {response.status}"))
                return Ok((response.status, await response.read()))
        except (TimeoutError, ClientError) as error:
            return Err(StoreError(repr(error)))
