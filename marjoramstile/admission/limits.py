"""Limits on the requests that a workspace has in flight on one daemon."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from marjoramstile.results import Failure, RequestFailedError, ResultCode

LIMIT_RETRY_AFTER_S = 1.0


class WorkspaceLimiter:
    """Counts requests in flight by workspace."""

    def __init__(self):
        self._running: Counter[str] = Counter()

    @property
    def running(self) -> dict[str, int]:
        """Requests in flight by workspace."""
        return dict(self._running)

    @contextmanager
    def admit(self, workspace: str, limit: int) -> Iterator[None]:
        """Count a request as in flight within the context.

        Raises RequestFailedError if the workspace has ``limit`` requests in flight.
        """
        if self._running[workspace] >= limit:
            raise RequestFailedError(
                Failure(
                    ResultCode.WORKSPACE_LIMIT,
                    f"the workspace has {limit} requests in flight",
                    retry_after_s=LIMIT_RETRY_AFTER_S,
                )
            )
        self._running[workspace] += 1
        try:
            yield
        finally:
            self._running[workspace] -= 1
            if not self._running[workspace]:
                del self._running[workspace]
