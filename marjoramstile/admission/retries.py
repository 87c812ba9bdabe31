"""Retry budget: limits retries to a share of the requests, against retry storms."""

BUDGET_MAX = 20.0
REFILL_PER_S = 0.5


class RetryBudget:
    """Token bucket of retries: each request adds a fraction, each retry consumes one.

    A slow refill lets requests in flight retry when no new ones arrive.
    """

    def __init__(self):
        self._balance = BUDGET_MAX
        self._refilled_at: float | None = None

    @property
    def balance(self) -> float:
        """Retries available now, without the refill since the last use."""
        return self._balance

    def record_request(self, percent: float) -> None:
        """Add ``percent`` of a retry for a new request."""
        self._add(percent / 100)

    def try_consume(self, now: float) -> bool:
        """Consume one retry; return False if none is available."""
        if self._refilled_at is not None:
            self._add((now - self._refilled_at) * REFILL_PER_S)
        self._refilled_at = now
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def _add(self, retries: float) -> None:
        self._balance = min(BUDGET_MAX, self._balance + retries)
