"""Cancels work on engines, retrying until the engine confirms."""

import asyncio

from marjoramstile.endpoints.engines import EngineClient
from marjoramstile.endpoints.errors import EndpointProblem
from marjoramstile.logs import get_logger
from marjoramstile.utils import BackgroundTasks, loop_time

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
CANCEL_TIMEOUT_S = 120.0

logger = get_logger(__name__)


class Canceller:
    """Cancels what engines still hold for requests that have ended."""

    def __init__(self, engines: EngineClient, tasks: BackgroundTasks):
        self._engines = engines
        self._tasks = tasks
        self._pending = 0

    @property
    def pending(self) -> int:
        """Number of cancellations that no engine has confirmed yet."""
        return self._pending

    def cancel(self, url: str, request_id: str) -> None:
        """Start a task that cancels ``request_id`` on the engine at ``url``.

        It retries with exponential backoff and gives up after ``CANCEL_TIMEOUT_S``.
        """
        self._pending += 1
        self._tasks.start(self._cancel(url, request_id), "cancel_work")

    async def _cancel(self, url: str, request_id: str) -> None:
        deadline = loop_time() + CANCEL_TIMEOUT_S
        backoff_s = INITIAL_BACKOFF_S
        try:
            while loop_time() < deadline:
                answer = await self._engines.cancel(url, request_id)
                if answer.is_ok():
                    return
                if answer.unwrap_err().problem == EndpointProblem.REFUSED:
                    return
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            logger.warning("cancel_given_up", engine=url, request_id=request_id)
        finally:
            self._pending -= 1
