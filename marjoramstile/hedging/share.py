"""The share of a service's requests that may be sent a second time."""

# Hedges that a quiet time may save up for a slow one: a replica that pauses delays
# several of a daemon's calls at once.
SAVED_MAX = 5.0
# Share of the hedges that win while it pays to use the whole share. Where all replicas
# have queues, under half as many win, and each of the others only makes them longer.
WON_SHARE = 0.25
# Part of the share that is used at the least, to find out when hedges win again.
USED_MIN = 0.1
# Weight of the newest hedge in the moving average of those that win.
WON_WEIGHT = 0.2


class HedgeShare:
    """Allows hedges up to a share of the requests recorded so far.

    It starts empty, so that the share holds from the first request on. Less of the
    share is used while few hedges win.
    """

    def __init__(self, max_share: float):
        self._max_share = max_share
        self._left = 0.0
        self._won_share = WON_SHARE

    @property
    def used_part(self) -> float:
        """The part of the share that is used, by how many hedges have won."""
        return min(1.0, max(USED_MIN, (self._won_share / WON_SHARE) ** 2))

    @property
    def allows_one(self) -> bool:
        """Whether one more hedge is within the share."""
        return self._left >= 1.0

    def record_request(self) -> None:
        """Record a request that might be hedged."""
        earned = self._max_share * self.used_part
        self._left = min(SAVED_MAX, self._left + earned)

    def consume(self) -> None:
        """Record a hedge."""
        self._left -= 1.0

    def record_ended(self, won: bool) -> None:
        """Record whether a hedge has brought the answer."""
        self._won_share += WON_WEIGHT * (float(won) - self._won_share)
