"""Turns at work that would keep the event loop from everything else."""

import asyncio
from collections import deque
from collections.abc import Callable

# Number of those that may wait before long work is refused, and turns of long work.
WAITING_MAX = 16
LONG_WORK_TURNS = 64


class Turns:
    """Calls what waits for a turn, one callback in each iteration of the event loop.

    Whatever else is due in the loop runs between two turns.
    """

    def __init__(self):
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    @property
    def waiting(self) -> int:
        """Number of callbacks that wait for their turn."""
        return len(self._waiting)

    def refuses(self, taken: int) -> bool:
        """Return whether work that has had some turns may not have another one.

        Turns of many share the processor evenly, so that long work would not end in
        time.
        """
        return taken >= LONG_WORK_TURNS and len(self._waiting) >= WAITING_MAX

    def add(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, after all that wait already."""
        self._waiting.append(callback)
        self._schedule()

    async def wait(self) -> None:
        """Wait for a turn."""
        turn = asyncio.get_running_loop().create_future()
        self.add(lambda: turn.done() or turn.set_result(None))
        await turn

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        try:
            self._waiting.popleft()()
        finally:
            self._is_scheduled = False
            self._schedule()
