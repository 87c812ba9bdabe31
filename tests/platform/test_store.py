"""The client of the metadata store against malformed responses and failures."""

import base64
import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession
from hypothesis import given, strategies as st

from marjoramstile.platform.documents import MalformedRowError
from marjoramstile.platform.store import decode_page
from marjoramstile.ports.feeds import Changes, HistoryLostError, StoredRow
from marjoramstile.ports.tables import Condition, Write
from tests.platform.support import raw_replica, store_client


@asynccontextmanager
async def replying_store(status: int, body: bytes, decoders=None):
    """Run a store that gives the same response to every call; yield its client."""

    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
            % (status, len(body), body)
        )

    async with raw_replica(script) as address, ClientSession() as session:
        yield store_client(session, address.address, decoders=decoders)


def page(*rows, **fields) -> bytes:
    """Return a response of the store with rows."""
    return json.dumps({"rowVersion": 9, "rows": list(rows), **fields}).encode()


ROW = {"key": "a", "rowVersion": 3, "value": "eA=="}


async def test_a_table_is_read():
    async with replying_store(200, page(ROW)) as store:
        changes = (await store.read_table("t")).unwrap()
    assert changes == Changes((StoredRow("a", 3, b"x"),), 9, complete=True)


async def test_undecodable_value_becomes_empty_bytes():
    async with replying_store(200, page({**ROW, "value": "%"})) as store:
        changes = (await store.read_table("t")).unwrap()
    assert changes.rows == (StoredRow("a", 3, b""),)


async def test_long_values_of_another_writer_are_kept():
    """Each daemon kept them all, and a start read them all at once."""
    readable = json.dumps({"version": "1", "padding": "x" * 2000}).encode()
    values = {"a": b"\xff" * 60_000, "b": readable, "c": b"\xff" * 10, "d": b"{}"}
    rows = [
        {"key": key, "rowVersion": 3, "value": base64.b64encode(value).decode()}
        for key, value in values.items()
    ]

    def decode(key: str, value: bytes) -> None:
        if not value.startswith(b"{"):
            raise MalformedRowError(key)

    async with replying_store(200, page(*rows), {"servers": decode}) as store:
        servers = (await store.read_table("servers")).unwrap()
    kept = {row.key: row.value for row in servers.rows}
    assert kept == {**values, "a": b""}


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b"{}",
        page(rowVersion=None),
        page({"rowVersion": 3}),
        page({"key": "a"}),
        page({**ROW, "rowVersion": "new"}),
        page(rows=7),
        page("row"),
        page(hasMore=True),
        page(nowMs="late"),
    ],
)
async def test_malformed_response_is_an_error(body):
    async with replying_store(200, body) as store:
        assert (await store.read_table("t")).is_err()
        assert (await store.read_row("t", "a")).is_err()
        assert (await store.wait_for_changes("t", 1, 0.1)).is_err()


@given(st.binary(max_size=60))
def test_decode_page_raises_only_value_error(answer):
    try:
        decode_page(answer, 0)
    except ValueError:
        return


async def test_lost_history_is_distinguished_from_an_outage():
    async with replying_store(410, b"") as store:
        error = (await store.wait_for_changes("t", 1, 0.1)).unwrap_err()
    assert error == HistoryLostError()
    async with replying_store(503, b"") as store:
        error = (await store.wait_for_changes("t", 1, 0.1)).unwrap_err()
    assert error.status == 503


async def test_failed_condition_is_not_an_error():
    write = Write("t", "a", {})
    async with replying_store(412, b"") as store:
        answer = await store.transact([Condition("t", "a", 3)], [write])
    assert answer.unwrap() is None
    async with replying_store(503, b"") as store:
        assert (await store.transact([], [write])).is_err()
