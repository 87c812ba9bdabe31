"""Turns at long work."""

import asyncio

from marjoramstile.fronts.turns import Turns


async def test_long_work_of_many_keeps_the_loop_from_other_callbacks():
    """Each turn is followed by whatever else is due."""
    loop = asyncio.get_running_loop()
    turns = Turns()
    order = []

    def work(name: str, count: int) -> None:
        order.append(name)
        loop.call_soon(order.append, "other")
        if count > 1:
            turns.add(lambda: work(name, count - 1))

    turns.add(lambda: work("a", 2))
    turns.add(lambda: work("b", 2))
    assert turns.waiting == 2
    while turns.waiting or order[-1] != "other":
        await asyncio.sleep(0)
    assert [name for name in order if name != "other"] == ["a", "b", "a", "b"]
    assert order[1::2] == ["other"] * 4, order


async def test_a_cancelled_wait_keeps_the_turns_of_others():
    turns = Turns()
    first = asyncio.create_task(turns.wait())
    second = asyncio.create_task(turns.wait())
    await asyncio.sleep(0)
    first.cancel()
    await second
    assert first.cancelled()
    assert turns.waiting == 0


async def test_an_error_in_a_turn_ends_the_turns_of_others():
    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    turns = Turns()
    turns.add(lambda: 1 / 0)
    await turns.wait()
    assert len(errors) == 1
