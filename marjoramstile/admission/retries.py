"""A budget of retries: a share of the requests, so that retries can't multiply."""

BUDGET_MAX = 20.0


class RetryBudget:
    """Each request earns a part of a retry; each retry spends one."""

    def __init__(self):
        self._balance = BUDGET_MAX

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def earn(self, percent: float) -> None:
        """Note a new request that earns ``percent`` of a retry."""
        self._balance = min(BUDGET_MAX, self._balance + percent / 100)

    def spend(self) -> bool:
        """Take one retry from the budget if there is one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
