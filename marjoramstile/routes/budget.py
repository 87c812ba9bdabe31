"""Retry budget that all daemons share without communicating."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

# Share of the allowance that is used: daemons measure their windows at different times.
SAFETY_FACTOR = 0.7
# Share of its slack that a daemon may use right after its start.
START_SLACK_SHARE = 0.25


@dataclass(frozen=True)
class BudgetLimits:
    """Retries allowed in ``window_s``: ``ratio`` of the requests plus ``slack``.

    The slack is the total of all daemons.
    """

    ratio: float
    window_s: float
    slack: float


class WindowedRetryBudget:
    """Counts requests and retries of each service over a sliding window."""

    def __init__(
        self,
        limits: BudgetLimits,
        daemon_count: Callable[[], int | None],
        started: float,
    ):
        """``daemon_count`` returns None while the other daemons are unknown."""
        self._limits = limits
        self._daemon_count = daemon_count
        self._started = started
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str, now: float) -> None:
        """Record a caller's request for ``service``."""
        self._requests[service].append(now)
        self._trim(self._requests[service], now)

    def try_consume(self, service: str, now: float) -> bool:
        """Consume one retry if the window still allows it."""
        if self.remaining(service, now) < 1:
            return False
        self._retries[service].append(now)
        return True

    def remaining(self, service: str, now: float) -> float:
        """Return the retries that are still allowed now."""
        requests = self._requests[service]
        retries = self._retries[service]
        self._trim(requests, now)
        self._trim(retries, now)
        allowed = self._limits.ratio * len(requests) + self._slack_share(now)
        return SAFETY_FACTOR * allowed - len(retries)

    def _slack_share(self, now: float) -> float:
        """Return this daemon's share of the slack.

        It grows over the first window, since the process before this one may have used
        the share up. It is 0 while the number of daemons is unknown.
        """
        count = self._daemon_count()
        if count is None:
            return 0.0
        elapsed_share = min(1.0, (now - self._started) / self._limits.window_s)
        share = START_SLACK_SHARE + (1 - START_SLACK_SHARE) * elapsed_share
        return share * self._limits.slack / max(1, count)

    def _trim(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._limits.window_s:
            times.popleft()
