"""The header Store-Era: which answers count, and which are of a store before."""

import asyncio

import pytest

from marjoramstile.platform.eras import StoreEras
from marjoramstile.utils import loop_time
from tests.support import captured_logs


async def answer(eras: StoreEras, header: str | None) -> int | None:
    """Receive an answer to a call that was sent after all earlier answers."""
    await asyncio.sleep(0.01)
    return eras.era_of_answer(header, loop_time())


async def eras_at(header: str | None) -> StoreEras:
    """Return eras after a first answer."""
    eras = StoreEras()
    await answer(eras, header)
    return eras


async def test_a_new_era_begins_with_the_second_answer_that_names_it():
    eras = await eras_at("1")
    ended = eras.ended
    assert await answer(eras, "2") is None
    assert eras.current == 1
    assert await answer(eras, "2") == 2
    assert eras.current == 2
    assert ended.is_set()
    assert not eras.ended.is_set()


async def test_answers_from_before_a_restore_are_dropped():
    eras = await eras_at("1")
    sent_at = loop_time()
    await answer(eras, "2")
    await answer(eras, "2")
    assert eras.era_of_answer("1", sent_at) is None


async def test_answers_under_way_do_not_begin_an_era():
    """Both calls were sent before either was answered."""
    eras = await eras_at("1")
    sent_at = loop_time()
    await asyncio.sleep(0.01)
    assert eras.era_of_answer("2", sent_at) is None
    assert eras.era_of_answer("2", sent_at) is None
    assert eras.current == 1


@pytest.mark.parametrize("header", [None, "", "x", "-3", "1.5", "9" * 40, "²", "1"])
async def test_an_era_that_is_missing_malformed_or_lower_loses_nothing(header):
    eras = await eras_at("2")
    with captured_logs() as logs:
        assert await answer(eras, header) == 2
        assert await answer(eras, header) == 2
    assert logs.getvalue().count("store_era_unusable") == 1


async def test_one_answer_that_names_another_era_is_forgotten():
    eras = await eras_at("1")
    assert await answer(eras, "7") is None
    assert await answer(eras, "1") == 1
    assert await answer(eras, "7") is None
    assert eras.current == 1


async def test_a_store_that_sends_no_era_stays_at_none():
    eras = await eras_at(None)
    with captured_logs() as logs:
        assert await answer(eras, None) == 0
    assert "store_era" not in logs.getvalue()
