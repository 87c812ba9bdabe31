"""The platform's transactional table service: types, port and HTTP client.

A transaction lists rows with the version each must have (0: absent) and the rows
to write. It commits as a whole, or reports the rows whose version did not match.
The rows that it writes all get its number as version; numbers are never reused.
"""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any, Protocol
from urllib.parse import quote

from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

ABSENT = 0


@dataclass(frozen=True)
class Row:
    """A stored row; ``version`` grows with each write, ABSENT if there is no row."""

    table: str
    key: str
    version: int
    value: dict[str, Any] | None


@dataclass(frozen=True)
class Condition:
    """A row must have ``version`` for the transaction to commit.

    On the platform it must also have been written by the write that ``mark`` names.
    """

    table: str
    key: str
    version: int
    mark: str = ""


@dataclass(frozen=True)
class Write:
    """Sets a row's value, or deletes the row when ``value`` is None."""

    table: str
    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True)
class Committed:
    """The transaction took effect; the rows written have ``version`` now."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The transaction took no effect; ``rows`` are those that did not match."""

    rows: tuple[Row, ...]


@dataclass(frozen=True)
class StoreError:
    """The service gave no usable response; a write may still have taken effect.

    ``status`` is set by clients that report an HTTP status other than 200.
    """

    message: str
    status: int | None = None


class TableService(Protocol):
    """Interface that marjoramstile needs from the platform's table service."""

    async def read(self, table: str, key: str) -> Result[Row, StoreError]:
        """Read one row."""

    async def scan(self, table: str) -> Result[tuple[Row, ...], StoreError]:
        """Read all rows of a table."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold."""


class HTTPTableService:
    """Client of the table service's JSON interface."""

    def __init__(self, session: ClientSession, url: str, timeout_s: float):
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout_s)

    async def read(self, table: str, key: str) -> Result[Row, StoreError]:
        """Read one row."""
        path = f"/tables/{quote(table, safe='')}/rows/{quote(key, safe='')}"
        answer = await self._call("GET", path)
        return answer.map(lambda body: Row(**body))

    async def scan(self, table: str) -> Result[tuple[Row, ...], StoreError]:
        """Read all rows of a table."""
        answer = await self._call("GET", f"/tables/{quote(table, safe='')}/rows")
        return answer.map(lambda body: tuple(Row(**row) for row in body["rows"]))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold."""
        body = {
            "conditions": [
                {"table": item.table, "key": item.key, "version": item.version}
                for item in conditions
            ],
            "writes": [asdict(write) for write in writes],
        }
        answer = await self._call("POST", "/transactions", body)
        return answer.map(_to_outcome)

    async def _call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Result[dict[str, Any], StoreError]:
        try:
            async with self._session.request(
                method, self._url + path, json=body, timeout=self._timeout
            ) as response:
                if response.status != 200:
                    return Err(StoreError(f"status {response.status}"))
                return Ok(await response.json())
        except (TimeoutError, ClientError, ValueError) as error:
            return Err(StoreError(repr(error)))


def _to_outcome(body: dict[str, Any]) -> Committed | Conflict:
    if body["committed"]:
        return Committed(body["version"])
    return Conflict(tuple(Row(**row) for row in body["rows"]))
