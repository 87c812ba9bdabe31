"""A budget of retries: a share of the requests, so that retries can't multiply."""

BUDGET_MAX = 20.0
REFILL_PER_S = 0.5


class RetryBudget:
    """Each request earns a part of a retry; each retry spends one.

    A slow refill lets the last waiting answers go on when no new requests come.
    """

    def __init__(self):
        self._balance = BUDGET_MAX
        self._refilled_at: float | None = None

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def earn(self, percent: float) -> None:
        """Note a new request that earns ``percent`` of a retry."""
        self._add(percent / 100)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        if self._refilled_at is not None:
            self._add((now - self._refilled_at) * REFILL_PER_S)
        self._refilled_at = now
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def _add(self, retries: float) -> None:
        self._balance = min(BUDGET_MAX, self._balance + retries)
