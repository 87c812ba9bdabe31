"""Tests of what daemons' processes have in common."""

import asyncio

from marjoramstile.process import complete_unless


async def test_a_step_is_cancelled_when_a_stop_is_requested():
    stopping = asyncio.Event()
    step = asyncio.ensure_future(asyncio.sleep(3600.0))
    asyncio.get_running_loop().call_later(1.0, stopping.set)
    assert not await complete_unless(stopping, step)
    assert step.cancelled()


async def test_a_step_that_completes_is_told_and_its_error_raised():
    assert await complete_unless(asyncio.Event(), asyncio.sleep(1.0))

    async def fail():
        raise ValueError

    try:
        await complete_unless(asyncio.Event(), fail())
    except ValueError:
        return
    raise AssertionError("the error was lost")
