"""Circuit breakers: an endpoint that keeps failing rests for a while."""

from dataclasses import dataclass

OPEN_AFTER_FAILURES = 3
OPEN_FIRST_S = 1.0
OPEN_MAX_S = 30.0


@dataclass(frozen=True)
class _Breaker:
    failures: int = 0
    open_s: float = 0.0
    open_until: float = float("-inf")


class BreakerBoard:
    """Breakers of all endpoints as one daemon sees them."""

    def __init__(self):
        self._breakers: dict[str, _Breaker] = {}

    def is_open(self, endpoint: str, now: float) -> bool:
        """Tell whether the endpoint gets no requests now."""
        breaker = self._breakers.get(endpoint)
        return breaker is not None and now < breaker.open_until

    def succeeded(self, endpoint: str) -> None:
        """Note an answer; closes the breaker."""
        self._breakers.pop(endpoint, None)

    def failed(self, endpoint: str, now: float) -> None:
        """Note a failure; opens the breaker after several, each time for longer."""
        breaker = self._breakers.get(endpoint, _Breaker())
        failures = breaker.failures + 1
        if failures < OPEN_AFTER_FAILURES:
            self._breakers[endpoint] = _Breaker(failures, breaker.open_s)
            return
        open_s = min(OPEN_MAX_S, max(OPEN_FIRST_S, 2 * breaker.open_s))
        self._breakers[endpoint] = _Breaker(failures, open_s, now + open_s)

    def lost(self, endpoint: str, now: float) -> None:
        """Open the breaker at once: the endpoint's process is gone, or stalls."""
        breaker = self._breakers.get(endpoint, _Breaker())
        self._breakers[endpoint] = _Breaker(OPEN_AFTER_FAILURES, breaker.open_s)
        self.failed(endpoint, now)
