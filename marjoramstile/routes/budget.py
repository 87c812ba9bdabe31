"""Budget of repeated sends that all daemons share without talking."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

# Part of the allowance that is used: daemons count windows at different moments.
SAFETY = 0.7


@dataclass(frozen=True)
class BudgetLimits:
    """Repeats allowed in ``window_s``: ``ratio`` of the requests plus ``slack``.

    The slack is that of all daemons together.
    """

    ratio: float
    window_s: float
    slack: float


class WindowBudget:
    """Counts requests and repeats of each service over a sliding window."""

    def __init__(self, limits: BudgetLimits, daemon_count: Callable[[], int]):
        self._limits = limits
        self._daemon_count = daemon_count
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)

    def note_request(self, service: str, now: float) -> None:
        """Note a caller's request for ``service``."""
        self._requests[service].append(now)
        self._trim(self._requests[service], now)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat if the window still allows it."""
        if self.left(service, now) < 1:
            return False
        self._repeats[service].append(now)
        return True

    def left(self, service: str, now: float) -> float:
        """Return the repeats that may still be made now."""
        requests = self._requests[service]
        repeats = self._repeats[service]
        self._trim(requests, now)
        self._trim(repeats, now)
        share = self._limits.slack / max(1, self._daemon_count())
        allowed = SAFETY * (self._limits.ratio * len(requests) + share)
        return allowed - len(repeats)

    def _trim(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._limits.window_s:
            times.popleft()
