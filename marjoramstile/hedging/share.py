"""The share of a service's requests that may be sent a second time."""

# Hedges that a quiet time may save up for a slow one: a replica that pauses delays
# several of a daemon's calls at once.
SAVED_MAX = 5.0


class HedgeShare:
    """Allows hedges up to a share of the requests recorded so far.

    It starts empty, so that the share holds from the first request on.
    """

    def __init__(self, max_share: float):
        self._max_share = max_share
        self._left = 0.0

    @property
    def allows_one(self) -> bool:
        """Whether one more hedge is within the share."""
        return self._left >= 1.0

    def record_request(self) -> None:
        """Record a request that might be hedged."""
        self._left = min(SAVED_MAX, self._left + self._max_share)

    def consume(self) -> None:
        """Record a hedge."""
        self._left -= 1.0
