"""The demonstration runs without a failed step."""

import os
from pathlib import Path

from demo.__main__ import run_demonstration


def child_processes() -> str:
    """Return the ids of this process's children."""
    task = Path("/proc/self/task") / str(os.getpid())
    return (task / "children").read_text()


async def test_the_demonstration_succeeds_and_leaves_no_child_processes():
    before = child_processes()
    assert await run_demonstration() == 0
    assert child_processes() == before
