"""Pacing of requests under a limit: a shared token bucket, and a fixed share of it.

Both are pure; ``now`` is the time of the event loop in seconds.
"""

import random

# Time whose requests a bucket may save up, so that short gaps in demand waste nothing.
BURST_S = 0.5
# Limits below this are treated as this: one request in a while shows their end.
LIMIT_MIN_PER_S = 0.2
# Time over which denied daemons ask again after the next free token, for each daemon
# and at most: it bounds how often a coordinator is asked.
RETURN_SPREAD_PER_DAEMON_S = 0.005
RETURN_SPREAD_MAX_S = 1.0
# Rounding error of a sum of tokens.
EPSILON = 1e-9


class TokenBucket:
    """Tokens for the requests of all daemons; empty at first, as others may have sent.

    Uses that are recorded without asking may overdraw it by its capacity.
    """

    def __init__(self, limit_per_s: float, now: float):
        self._per_s = _effective(limit_per_s)
        self._tokens = 0.0
        self._updated_at = now
        self._promised_until = now

    def set_limit(self, limit_per_s: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self._per_s = _effective(limit_per_s)

    @property
    def _capacity(self) -> float:
        return max(1.0, BURST_S * self._per_s)

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._updated_at) * self._per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent; 0 if one may be sent now."""
        self._refill(now)
        lacking = 1.0 - self._tokens
        return 0.0 if lacking <= EPSILON else lacking / self._per_s

    def record_use(self, now: float) -> None:
        """Take a token for a request that is sent."""
        self._refill(now)
        self._tokens = max(-self._capacity, self._tokens - 1.0)

    def give_back(self, now: float) -> None:
        """Return the token of a request that was not sent."""
        self._refill(now)
        self._tokens = min(self._capacity, self._tokens + 1.0)

    def promise_s(self, daemons: int, rng: random.Random, now: float) -> float:
        """Return after how many seconds a denied daemon should ask again.

        Each gets a time of its own, at the rate of the limit; if there are too many
        for that, the times are random within a spread after the next free token.
        """
        spread_s = min(RETURN_SPREAD_PER_DAEMON_S * daemons, RETURN_SPREAD_MAX_S)
        first_s = self.wait_s(now)
        promised_s = max(first_s, self._promised_until - now)
        if promised_s > first_s + spread_s:
            return first_s + rng.uniform(0.0, spread_s)
        self._promised_until = now + promised_s + 1.0 / self._per_s
        return promised_s


class FairShare:
    """One daemon's equal share of a limit, for use without any message.

    Its first request has a random time within the interval, so that all daemons that
    lose their coordinator at once don't send at once.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_at: float | None = None

    def wait_s(self, limit_per_s: float, daemons: int, now: float) -> float:
        """Return the time until this daemon may send a request; 0 if it may now."""
        interval_s = daemons / _effective(limit_per_s)
        if self._next_at is None or now > self._next_at + interval_s:
            self._next_at = now + self._rng.uniform(0.0, interval_s)
        return max(0.0, self._next_at - now)

    def record_use(self, limit_per_s: float, daemons: int, now: float) -> None:
        """Start the interval until the next request."""
        self._next_at = now + daemons / _effective(limit_per_s)


def _effective(limit_per_s: float) -> float:
    return max(limit_per_s, LIMIT_MIN_PER_S)
