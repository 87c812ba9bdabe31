"""Circuit breakers: an endpoint that fails repeatedly gets no requests for a while."""

from dataclasses import dataclass

OPEN_AFTER_FAILURES = 3
OPEN_FIRST_S = 1.0
OPEN_MAX_S = 30.0


@dataclass(frozen=True)
class _Breaker:
    failures: int = 0
    open_s: float = 0.0
    open_until: float = float("-inf")


class CircuitBreakers:
    """One daemon's circuit breakers of all endpoints; other daemons have their own."""

    def __init__(self):
        self._breakers: dict[str, _Breaker] = {}

    def is_open(self, endpoint: str, now: float) -> bool:
        """Return whether the endpoint gets no requests at ``now``."""
        breaker = self._breakers.get(endpoint)
        return breaker is not None and now < breaker.open_until

    def record_success(self, endpoint: str) -> None:
        """Record a success, which closes the breaker."""
        self._breakers.pop(endpoint, None)

    def record_failure(self, endpoint: str, now: float) -> None:
        """Record a failure; open the breaker after OPEN_AFTER_FAILURES in a row.

        The breaker opens for twice as long each time, up to OPEN_MAX_S.
        """
        breaker = self._breakers.get(endpoint, _Breaker())
        failures = breaker.failures + 1
        if failures < OPEN_AFTER_FAILURES:
            self._breakers[endpoint] = _Breaker(failures, breaker.open_s)
            return
        open_s = min(OPEN_MAX_S, max(OPEN_FIRST_S, 2 * breaker.open_s))
        self._breakers[endpoint] = _Breaker(failures, open_s, now + open_s)

    def record_loss(self, endpoint: str, now: float) -> None:
        """Open the breaker at once: the endpoint's process has exited or stalls."""
        breaker = self._breakers.get(endpoint, _Breaker())
        self._breakers[endpoint] = _Breaker(OPEN_AFTER_FAILURES, breaker.open_s)
        self.record_failure(endpoint, now)
