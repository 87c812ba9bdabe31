"""The store's client over a restore of the published stand-in from an older copy."""

import asyncio
from contextlib import asynccontextmanager

from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from marjoramstile.platform.store import PlatformStore
from marjoramstile.ports.feeds import HistoryLostError, era_of, number_of, unchanged
from marjoramstile.ports.tables import ABSENT, Condition, Write
from standins.published.store import create_app
from tests.platform.support import store_client

TABLE = "t"
KEY = "k"
COPY_AGE_S = 0.3


@asynccontextmanager
async def restorable_store():
    """Run a store; yield two clients and a function that restores it."""
    server = TestServer(create_app())
    async with server, ClientSession() as session:
        address = f"{server.host}:{server.port}"

        async def restore() -> None:
            body = {"age_s": COPY_AGE_S}
            url = f"http://{address}/control/restore"
            async with session.post(url, json=body) as response:
                response.raise_for_status()

        yield (
            store_client(session, address),
            store_client(session, address),
            restore,
        )


async def write(store: PlatformStore, value: str):
    """Replace the row; return the version, or None if it was changed meanwhile."""
    row = (await store.read_row(TABLE, KEY)).unwrap().row
    return await replace_row(store, row, value)


async def replace_row(store: PlatformStore, row, value: str):
    """Replace the row if it is still as it was read."""
    condition = unchanged(TABLE, KEY, row)
    written = [Write(TABLE, KEY, {"value": value})]
    committed = (await store.transact([condition], written)).unwrap()
    return committed and committed.version


async def test_a_write_decided_on_a_row_before_the_restore_is_not_committed():
    """The row's version was given out again, and the writer knows of no restore."""
    async with restorable_store() as (first, second, restore):
        await write(first, "copied")
        await asyncio.sleep(2 * COPY_AGE_S)
        await write(first, "lost")
        read = (await first.read_row(TABLE, KEY)).unwrap().row
        await restore()
        while (again := await write(second, "new")) is None:
            pass
        assert number_of(again) == number_of(read.version)
        assert await replace_row(first, read, "late") is None
        kept = (await second.read_row(TABLE, KEY)).unwrap().row
        assert b"new" in kept.value


async def test_versions_that_the_store_gives_out_grow_over_a_restore():
    async with restorable_store() as (first, second, restore):
        await write(first, "copied")
        await asyncio.sleep(2 * COPY_AGE_S)
        before = await write(first, "lost")
        await restore()
        while (after := await write(second, "new")) is None:
            pass
        assert era_of(after) == era_of(before) + 1
        assert after > before


async def test_an_open_feed_call_ends_with_the_era():
    async with restorable_store() as (first, second, restore):
        await write(first, "copied")
        version = (await first.read_table(TABLE)).unwrap().version
        waiting = asyncio.create_task(first.wait_for_changes(TABLE, version, 10.0))
        await asyncio.sleep(2 * COPY_AGE_S)
        await restore()
        await first.read_table("other")
        await first.read_table("other")
        async with asyncio.timeout(1.0):
            answer = await waiting
        assert isinstance(answer.unwrap_err(), HistoryLostError)


async def test_a_row_keeps_one_mark_over_many_writes():
    async with restorable_store() as (first, _, _):
        for number in range(5):
            assert await write(first, str(number)) is not None
        marks = (await first.read_table("marjoramstile-marks")).unwrap().rows
        assert len(marks) == 1


async def test_a_row_of_an_older_build_without_a_mark_can_be_replaced():
    async with restorable_store() as (first, _, _):
        plain = [Write(TABLE, KEY, {"value": "old"})]
        await first.transact([], plain)
        assert await write(first, "new") is not None
        absent = [Condition(TABLE, KEY, ABSENT)]
        assert (await first.transact(absent, plain)).unwrap() is None
