"""The demonstration's steps, asserted."""

from demo.__main__ import run_demonstration


async def test_every_step_of_the_demonstration_is_right():
    assert await run_demonstration() == 0
