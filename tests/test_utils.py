"""Tasks that run in the background."""

import asyncio

import pytest

from marjoramstile.utils import RESTART_MAX_S, BackgroundTasks


async def test_a_lasting_task_that_fails_is_started_again():
    """One that ended by an error stayed ended, and the daemon still said "ready"."""
    failures: list[str] = []
    tasks = BackgroundTasks(failures.append)
    starts = 0

    async def follow() -> None:
        nonlocal starts
        starts += 1
        if starts <= 3:
            raise RecursionError("a row")
        await asyncio.sleep(3600)

    tasks.start_retried(follow, "follow")
    await asyncio.sleep(1.0)
    assert starts == 4
    assert failures == ["follow"] * 3
    await tasks.close()


async def test_a_task_that_always_fails_is_not_started_more_than_once_a_second():
    tasks = BackgroundTasks()
    starts = 0

    async def fail() -> None:
        nonlocal starts
        starts += 1
        raise ValueError

    tasks.start_retried(fail, "fail")
    await asyncio.sleep(100 * RESTART_MAX_S)
    assert 90 <= starts <= 110
    await tasks.close()


async def test_a_task_that_is_done_is_not_started_again():
    tasks = BackgroundTasks()
    starts = 0

    async def load() -> None:
        nonlocal starts
        starts += 1

    await tasks.start_retried(load, "load")
    await asyncio.sleep(10.0)
    assert starts == 1


async def test_closing_ends_a_task_that_waits_to_be_started_again():
    tasks = BackgroundTasks()

    async def fail() -> None:
        raise ValueError

    task = tasks.start_retried(fail, "fail")
    await asyncio.sleep(5.0)
    await tasks.close()
    with pytest.raises(asyncio.CancelledError):
        await task
