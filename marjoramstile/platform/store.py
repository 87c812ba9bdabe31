"""Client of the platform's metadata store.

The store may come back from an older copy, in a new era, and give its versions out
again. So versions leave this module with the era in which they were given out. The
version of a row doesn't prove that it is the row that was read: each conditional write
also writes a row of a random name, its mark, which the next one requires and removes.
"""

import asyncio
import base64
import binascii
import json
import secrets
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)
from result import Err, Ok, Result

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.json_fields import JSONObject, MalformedJSONError, parse_object
from marjoramstile.logs import get_logger
from marjoramstile.platform.answers import AnswerTooLongError, body_chunks, read_body
from marjoramstile.platform.connections import AnswerConnector
from marjoramstile.platform.documents import MalformedRowError
from marjoramstile.platform.eras import HEADER, StoreEras
from marjoramstile.platform.wholeness import AnswerFaults, fault_of
from marjoramstile.ports.feeds import (
    NUMBER_MAX,
    Changes,
    HistoryLostError,
    StoredRow,
    era_of,
    number_of,
    version_in_era,
)
from marjoramstile.ports.tables import ABSENT, Committed, Condition, StoreError, Write
from marjoramstile.routes.order_ports import TimestampedRow
from marjoramstile.routes.requests import AnswerLostError
from marjoramstile.utils import MILLISECONDS_PER_S, loop_time

# Longest time without data from the store, in addition to a feed's wait.
CALL_TIMEOUT_S = 0.8
# Additional time in which a response that has begun may arrive: links may be slow.
TRANSFER_TIMEOUT_S = 2.5
ROWS_PER_READ = 500
# Longest answer that is read; a page has at most 1 MB of rows.
ANSWER_MAX_BYTES = 8_388_608
# The store's name in the log line and the counter of answers that are not whole.
STORE_NAME = "store"
GONE = 410
# Status given to answers that are too long, as if the store had refused them.
TOO_LONG = 413
CONFLICT = 412
OK = 200
MARKS_TABLE = "marjoramstile-marks"
MARK_FIELD = "mark"
MARK_BYTES = 8
# Longest value that is kept without a decoder having accepted it.
KEPT_VALUE_BYTES = 512

# Decodes the value of a row, given its key; raises MalformedRowError.
RowDecoder = Callable[[str, bytes], object]

logger = get_logger(__name__)


@dataclass(frozen=True)
class Page:
    """One response of the store: rows, its version, and its clock in Unix seconds."""

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool
    now_s: float


def create_store_session() -> ClientSession:
    """Return a session in which each call has a connection of its own.

    Open connections may fall silent without a reset. One that is kept for later calls
    would cost each of them a timeout; new ones work.
    """
    return ClientSession(connector=AnswerConnector(limit=0, force_close=True))


class PlatformStore:
    """Rows, feeds and transactions; implements TableFeed and OrderStore."""

    def __init__(
        self,
        session: ClientSession,
        address: str,
        buffers: BufferBudget,
        faults: AnswerFaults | None = None,
        decoders: Mapping[str, RowDecoder] | None = None,
    ):
        """Answers are read into ``buffers``; ``faults`` records those not whole.

        ``decoders`` are those of tables that others write, by the table's name. Long
        values that they refuse are not kept.
        """
        self._decoders = decoders or {}
        self._session = session
        self._buffers = buffers
        self._faults = faults or AnswerFaults()
        self._url = f"http://{address}/v1"
        self._eras = StoreEras()

    async def read_table(self, table: str) -> Result[Changes, StoreError]:
        """Read all rows of a table, page by page.

        Rows that change between two pages are not missed: the version returned is
        that of the first page, from which the feed continues.
        """
        rows: list[StoredRow] = []
        start = ""
        first_version = None
        while True:
            query = {"table": table, "part": "", "limit": str(ROWS_PER_READ)}
            if start:
                query["from"] = start
            answer = await self._call("GET", "/rows-get", query)
            if answer.is_err():
                return answer
            page = answer.unwrap()
            rows += self._without_unreadable(table, page.rows)
            if first_version is None:
                first_version = page.version
            if era_of(page.version) != era_of(first_version):
                return Err(StoreError("the store was restored during a read"))
            if not page.has_more:
                return Ok(Changes(tuple(rows), first_version, complete=True))
            start = rows[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Changes, StoreError | HistoryLostError]:
        """Return changes after a version; empty if there were none for ``wait_s``.

        The history is lost with the end of the version's era, also during the call, and
        if it is too long for one answer: whole tables are read page by page.
        """
        if era_of(after) < self._eras.current:
            return Err(HistoryLostError())
        call = asyncio.ensure_future(self._feed(table, after, wait_s))
        ended = asyncio.ensure_future(self._eras.ended.wait())
        try:
            await asyncio.wait({call, ended}, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else Err(HistoryLostError())
        finally:
            call.cancel()
            ended.cancel()

    async def _feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[Changes, StoreError | HistoryLostError]:
        wait_ms = round(wait_s * MILLISECONDS_PER_S)
        query = {"table": table, "after": str(number_of(after)), "waitMs": str(wait_ms)}
        answer = await self._call(
            "GET", "/rows-feed", query, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        if answer.is_err():
            if answer.unwrap_err().status in (GONE, TOO_LONG):
                return Err(HistoryLostError())
            return answer
        page = answer.unwrap()
        if era_of(page.version) != era_of(after):
            return Err(HistoryLostError())
        version = max(after, page.version)
        rows = self._without_unreadable(table, page.rows)
        return Ok(Changes(rows, version, complete=False))

    def _without_unreadable(
        self, table: str, rows: tuple[StoredRow, ...]
    ) -> tuple[StoredRow, ...]:
        """Return rows; long values that can't be decoded become empty.

        Their number has no bound, and no decoder accepts an empty value either.
        """
        decode = self._decoders.get(table)
        if decode is None:
            return rows
        return tuple(_without_unreadable_value(row, decode) for row in rows)

    async def read_row(
        self, table: str, key: str
    ) -> Result[TimestampedRow, StoreError]:
        """Read one row."""
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        answer = await self._call("GET", "/rows-get", query)
        if answer.is_err():
            return answer
        page = answer.unwrap()
        rows = [_with_mark(row) for row in page.rows if row.key == key]
        return Ok(
            TimestampedRow(
                rows[0] if rows else None,
                page.now_s,
                era_of(page.version),
                self._eras.restored_ago_s,
            )
        )

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[Committed | None, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold; None if one doesn't."""
        if any(self._is_outdated(item) for item in conditions):
            return Ok(None)
        changes = _TransactionBody(conditions, writes)
        answer = await self._call("POST", "/rows-tx", {}, changes.to_json())
        if answer.is_ok():
            return Ok(Committed(answer.unwrap().version))
        if answer.unwrap_err().status == CONFLICT:
            return Ok(None)
        return answer

    def _is_outdated(self, condition: Condition) -> bool:
        """Return whether a condition is on a row that was read in an earlier era."""
        version = condition.version
        return version != ABSENT and era_of(version) != self._eras.current

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[Page, StoreError]:
        timeout = ClientTimeout(
            total=timeout_s + TRANSFER_TIMEOUT_S,
            sock_connect=CALL_TIMEOUT_S,
            sock_read=timeout_s,
        )
        sent_at = loop_time()
        try:
            async with self._session.request(
                method, self._url + path, params=query, json=body, timeout=timeout
            ) as response:
                header = response.headers.get(HEADER)
                era = self._eras.era_of_answer(header, sent_at)
                if response.status != OK:
                    status = response.status
                    return Err(StoreError(f"status {status}", status))
                if era is None:
                    return Err(StoreError("the store was restored", GONE))
                return Ok(decode_page(await self._read(response), era))
        except AnswerTooLongError as error:
            return Err(StoreError(str(error), TOO_LONG))
        except (AnswerLostError, ClientError, OSError, ValueError) as error:
            fault = fault_of(error)
            if fault is not None:
                self._faults.record(STORE_NAME, fault)
            return Err(StoreError(repr(error)))

    async def _read(self, response: ClientResponse) -> bytes:
        chunks = body_chunks(response)
        return (await read_body(chunks, self._buffers, ANSWER_MAX_BYTES)).to_bytes()


class _TransactionBody:
    """A transaction's entries; conditional writes get marks and require the last ones.

    Rows without a mark were written by older builds.
    """

    def __init__(self, conditions: Sequence[Condition], writes: Sequence[Write]):
        self._expected: list[dict[str, Any]] = []
        self._set: list[dict[str, Any]] = []
        self._removed: list[dict[str, Any]] = []
        conditional = {(item.table, item.key) for item in conditions}
        for item in conditions:
            self._expect(item.table, item.key, item.version)
            if item.mark:
                self._expect(MARKS_TABLE, item.mark, item.version)
        written = {(item.table, item.key) for item in writes}
        for item in conditions:
            if item.mark and (item.table, item.key) in written:
                self._removed.append(_row_reference(MARKS_TABLE, item.mark))
        for item in writes:
            self._write(item, marked=(item.table, item.key) in conditional)

    def _expect(self, table: str, key: str, version: int) -> None:
        reference = _row_reference(table, key)
        self._expected.append({**reference, "rowVersion": number_of(version)})

    def _write(self, write: Write, marked: bool) -> None:
        reference = _row_reference(write.table, write.key)
        if write.value is None:
            self._removed.append(reference)
            return
        value = write.value
        if marked:
            mark = secrets.token_hex(MARK_BYTES)
            value = {**value, MARK_FIELD: mark}
            row = _row_reference(MARKS_TABLE, mark)
            named = {"table": write.table, "key": write.key}
            self._set.append({**row, "value": _encode(named)})
        self._set.append({**reference, "value": _encode(value)})

    def to_json(self) -> dict[str, Any]:
        """Return the body of the call."""
        return {
            "expectedRevision": self._expected,
            "setKeys": self._set,
            "remove": self._removed,
        }


def _with_mark(row: StoredRow) -> StoredRow:
    """Return a row with the mark that its value names."""
    if row.value is None:
        return row
    try:
        return replace(row, mark=parse_object(row.value).text(MARK_FIELD, ""))
    except MalformedJSONError:
        return row


def _without_unreadable_value(row: StoredRow, decode: RowDecoder) -> StoredRow:
    if row.value is None or len(row.value) <= KEPT_VALUE_BYTES:
        return row
    try:
        decode(row.key, row.value)
    except MalformedRowError as error:
        logger.warning(
            "row_value_unreadable",
            row=row.key,
            version=row.version,
            size=len(row.value),
            reason=str(error),
        )
        return replace(row, value=b"")
    return row


def _row_reference(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _encode(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def decode_page(answer: bytes, era: int) -> Page:
    """Decode a response of an era; raises MalformedJSONError if it is malformed."""
    body = parse_object(answer)
    rows = [_decode_row(row, era) for row in body.objects("rows", [])]
    page = Page(
        rows=tuple(row for row in rows if row is not None),
        version=version_in_era(era, body.integer("rowVersion", maximum=NUMBER_MAX)),
        has_more=body.flag("hasMore", False),
        now_s=body.number("nowMs", default=0.0) / MILLISECONDS_PER_S,
    )
    if page.has_more and not page.rows:
        raise MalformedJSONError("a page without rows has hasMore set")
    return page


def _decode_row(row: JSONObject, era: int) -> StoredRow | None:
    """Decode a row; None if it is in a part of its own.

    An undecodable value becomes empty, which all decoders reject.
    """
    key = row.data("key")
    if not key:
        raise MalformedJSONError("a row has no key")
    version = version_in_era(era, row.integer("rowVersion", maximum=NUMBER_MAX))
    if row.data("part"):
        return None
    if row.flag("tombstone", False):
        return StoredRow(key, version, None)
    try:
        return StoredRow(key, version, base64.b64decode(row.data("value")))
    except (binascii.Error, ValueError):
        logger.warning("row_value_undecodable", row=key, version=version)
        return StoredRow(key, version, b"")
